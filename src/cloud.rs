//! Client of the cloud that machines are rented from. It stays below the cloud's rate
//! limit. If a request gets no response, the cloud may have executed it, or may still.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::http::{HttpClient, HttpError};
use crate::store::rate_limiter::RateLimiter;
use crate::wire::{
    ListedMachine, MachineId, MachineIds, MachinePage, MachineType, MachineTypeList, RentalRequest,
};

/// How a request failed, as the client saw it.
#[derive(Debug, thiserror::Error)]
pub enum FailureCause {
    /// No response: connecting, sending or receiving failed or timed out.
    #[error("{0}")]
    Http(#[source] Box<HttpError>),
    /// A response with this HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// A successful response whose body can't be parsed.
    #[error("malformed response: {0}")]
    MalformedResponse(#[source] serde_json::Error),
}

/// Why a request to the cloud failed. The variants differ in what the caller may
/// conclude about its execution.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The cloud has no machine of the requested kind now: nothing was rented.
    #[error("cloud has no capacity: {path}")]
    NoCapacity {
        /// Path of the rental request.
        path: String,
    },
    /// The caller no longer permitted the request when it was due: it was not sent.
    #[error("request withheld: {path}")]
    Withheld {
        /// Path of the request that was not sent.
        path: String,
    },
    /// Not sent, or refused for now: the request was not executed.
    #[error("cloud unavailable: {path}: {source}")]
    Unavailable {
        /// Path of the request, which may be sent again.
        path: String,
        /// Why it was not sent, or how it was refused.
        source: FailureCause,
    },
    /// No usable response: the request may have been executed, or may still be.
    #[error("cloud did not answer: {path}: {source}")]
    Unanswered {
        /// Path of the request, whose effect is in doubt.
        path: String,
        /// Why there is no response, or why it can't be used.
        source: FailureCause,
    },
    /// Rejected permanently: the same request would be rejected again.
    #[error("cloud rejected the request with status {status}: {path}")]
    Rejected {
        /// Path of the request, which must not be repeated as it is.
        path: String,
        /// HTTP status of the response.
        status: u16,
    },
    /// The request can't be serialized as JSON, so it was not sent.
    #[error("request can't be serialized: {path}: {source}")]
    Unserializable {
        /// Path of the request that was not sent.
        path: String,
        /// Why the serializer failed.
        source: serde_json::Error,
    },
}

impl CloudError {
    /// Whether the same request may succeed if it is sent again soon.
    pub fn is_retryable(&self) -> bool {
        match self {
            Self::Unanswered { .. } | Self::Unavailable { .. } | Self::Withheld { .. } => true,
            Self::NoCapacity { .. } | Self::Rejected { .. } | Self::Unserializable { .. } => false,
        }
    }

    /// Error of a request without a response. One that was never sent was certainly not
    /// executed.
    fn no_response(path: &str, source: HttpError) -> Self {
        let path = path.to_owned();
        let unsent = matches!(source, HttpError::Unsent { .. });
        let source = FailureCause::Http(Box::new(source));
        if unsent {
            Self::Unavailable { path, source }
        } else {
            Self::Unanswered { path, source }
        }
    }

    /// Error of a response with a status other than 200. After a 5xx other than 503 the
    /// request may have been executed.
    fn from_status(path: &str, status: u16, body: &[u8]) -> Self {
        let path = path.to_owned();
        let source = FailureCause::Status(status);
        match status {
            503 if says_no_capacity(body) => Self::NoCapacity { path },
            429 | 503 => Self::Unavailable { path, source },
            500..=599 => Self::Unanswered { path, source },
            _ => Self::Rejected { path, status },
        }
    }
}

/// Text in the body of a 503 response if there is no machine of the requested kind.
const NO_CAPACITY: &[u8] = b"no capacity";

fn says_no_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY.len())
        .any(|window| window == NO_CAPACITY)
}

/// Client of the cloud's API, within its rate limit.
#[derive(Debug)]
pub struct Cloud {
    http: HttpClient,
    address: String,
    request_budget: RateLimiter,
}

/// Timeout of a request, from the moment of sending.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the cloud's rate limit that the client uses on average; a burst may use the
/// limit of one whole second.
const RATE_SHARE: f64 = 0.85;
/// Machines per request of a listing.
const PAGE_SIZE: usize = 500;

/// The check before sending for requests that change nothing: they are always permitted.
fn always_permitted() -> bool {
    true
}

/// A request before it is sent.
struct CloudRequest<'a> {
    method: Method,
    /// Path and query.
    path: &'a str,
    body: Option<Vec<u8>>,
}

impl<'a> CloudRequest<'a> {
    fn get(path: &'a str) -> Self {
        Self {
            method: Method::GET,
            path,
            body: None,
        }
    }

    fn post(path: &'a str, body: &impl Serialize) -> Result<Self, CloudError> {
        let body = serde_json::to_vec(body).map_err(|source| CloudError::Unserializable {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self {
            method: Method::POST,
            path,
            body: Some(body),
        })
    }
}

impl Cloud {
    /// Creates a client of the cloud at `address` (`host:port`), whose rate limit is
    /// `max_rps` requests per second.
    pub fn new(http: HttpClient, address: String, max_rps: f64) -> Self {
        Self {
            http,
            address,
            request_budget: RateLimiter::new(max_rps * RATE_SHARE, max_rps),
        }
    }

    /// Sends a request like [`Cloud::send_request`], and parses the body of the response.
    async fn request_json<T: DeserializeOwned>(
        &self,
        request: CloudRequest<'_>,
        may_send: impl FnOnce() -> bool,
    ) -> Result<T, CloudError> {
        let path = request.path;
        let body = self.send_request(request, may_send).await?;
        serde_json::from_slice(&body).map_err(|e| CloudError::Unanswered {
            path: path.to_owned(),
            source: FailureCause::MalformedResponse(e),
        })
    }

    /// Sends a request once the budget allows it, if `may_send` returns true at that
    /// moment. Returns the body of a successful response.
    async fn send_request(
        &self,
        request: CloudRequest<'_>,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Bytes, CloudError> {
        let CloudRequest { method, path, body } = request;
        self.request_budget.acquire(1.0).await;
        if !may_send() {
            return Err(CloudError::Withheld {
                path: path.to_owned(),
            });
        }
        let response = self
            .http
            .send_request(method, &self.address, path, body, REQUEST_TIMEOUT)
            .await
            .map_err(|e| CloudError::no_response(path, e))?;
        match response.status {
            200 => Ok(response.body),
            status => Err(CloudError::from_status(path, status, &response.body)),
        }
    }

    /// Fetches the machine types that the cloud offers.
    pub async fn list_machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let request = CloudRequest::get("/machine_types");
        let listed: MachineTypeList = self.request_json(request, always_permitted).await?;
        Ok(listed.machine_types)
    }

    /// Rents machines, if `may_send` returns true when the request is due. Returns the
    /// rented machines, which may be fewer than requested.
    pub async fn rent(
        &self,
        rental: &RentalRequest,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Vec<MachineId>, CloudError> {
        let request = CloudRequest::post("/hosts", rental)?;
        let rented: MachineIds = self.request_json(request, may_send).await?;
        Ok(rented.machines)
    }

    /// Releases machines, if `may_send` returns true when the request is due. Once this
    /// succeeds, nothing runs on them any more.
    pub async fn release(
        &self,
        machines: &[MachineId],
        may_send: impl FnOnce() -> bool,
    ) -> Result<(), CloudError> {
        let machines = MachineIds {
            machines: machines.to_vec(),
        };
        let request = CloudRequest::post("/hosts/release", &machines)?;
        self.send_request(request, may_send).await.map(drop)
    }

    /// Fetches all machines that the cloud lists, page by page. The list lags behind
    /// rentals and releases.
    pub async fn list_machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let since = all
                .last()
                .map(|machine| format!("since={}&", machine.id))
                .unwrap_or_default();
            let path = format!("/hosts?{since}limit={PAGE_SIZE}");
            let page: MachinePage = self
                .request_json(CloudRequest::get(&path), always_permitted)
                .await?;
            let is_last = page.machines.is_empty() || !page.has_more;
            all.extend(page.machines);
            if is_last {
                return Ok(all);
            }
        }
    }
}
