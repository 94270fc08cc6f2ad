//! Client of the cloud that machines are rented from. It stays under the cloud's
//! rate limit. Of a request without a response it is unknown whether the cloud
//! executed it, or still will.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::http::{HttpClient, HttpError};
use crate::store::rate_limiter::RateLimiter;
use crate::wire::{
    ListedMachine, MachineId, MachineNames, MachinePage, MachineType, MachineTypeList, RentalRequest,
};

/// What the client saw of a request that failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No response.
    #[error("{0}")]
    Http(#[source] Box<HttpError>),
    /// A response with this HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// A response of success whose body can't be read.
    #[error("malformed response: {0}")]
    MalformedResponse(#[source] serde_json::Error),
}

/// Why a request to the cloud failed. The variants differ in what the caller may
/// conclude about its execution.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The cloud has no machine of this kind now: nothing was rented.
    #[error("no capacity: {path}")]
    NoCapacity {
        /// Path of the request.
        path: String,
    },
    /// The caller refused to send when the request was due: it was not executed.
    #[error("withheld: {path}")]
    Withheld {
        /// Path of the request.
        path: String,
    },
    /// Refused for now: it was not executed.
    #[error("cloud unavailable: {path}: {source}")]
    Unavailable {
        /// Path of the request.
        path: String,
        /// What the client saw.
        source: Failure,
    },
    /// No usable response: it may have been executed, or may still be.
    #[error("cloud did not answer: {path}: {source}")]
    Unanswered {
        /// Path of the request.
        path: String,
        /// What the client saw.
        source: Failure,
    },
    /// Rejected for good: the same request would be rejected again.
    #[error("rejected with status {status}: {path}")]
    Rejected {
        /// Path of the request.
        path: String,
        /// HTTP status of the response.
        status: u16,
    },
    /// The request can't be put into JSON, so it was not sent.
    #[error("can't be serialized: {path}: {source}")]
    Unserializable {
        /// Path of the request.
        path: String,
        /// What failed.
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

    /// No response. Of a request that was never sent it is known that it was not
    /// executed.
    fn no_response(path: &str, source: HttpError) -> Self {
        let path = path.to_owned();
        let unsent = matches!(source, HttpError::Unsent { .. });
        let source = Failure::Http(Box::new(source));
        if unsent {
            Self::Unavailable { path, source }
        } else {
            Self::Unanswered { path, source }
        }
    }

    /// A response with a status other than 200.
    fn refused(path: &str, status: u16, body: &[u8]) -> Self {
        let path = path.to_owned();
        let source = Failure::Status(status);
        match status {
            503 if says_no_capacity(body) => Self::NoCapacity { path },
            429 | 503 => Self::Unavailable { path, source },
            500..=599 => Self::Unanswered { path, source },
            _ => Self::Rejected { path, status },
        }
    }
}

/// What the body of a 503 has if there is no machine of the wanted kind.
const NO_CAPACITY: &[u8] = b"no capacity";

fn says_no_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY.len())
        .any(|window| window == NO_CAPACITY)
}

/// Client of the cloud.
#[derive(Debug)]
pub struct Cloud {
    http: HttpClient,
    address: String,
    requests: RateLimiter,
}

/// How long a request may take once it is sent.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the cloud's rate limit that is used; bursts may take a second's worth.
const RATE_SHARE: f64 = 0.85;
/// Machines read with one request of a listing.
const PAGE_SIZE: usize = 500;

/// For requests that change nothing, and so are always allowed.
fn always() -> bool {
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
    /// A client of the cloud at `address` (`host:port`), which takes at most
    /// `max_rps` requests per second.
    pub fn new(http: HttpClient, address: String, max_rps: f64) -> Self {
        Self {
            http,
            address,
            requests: RateLimiter::new(max_rps * RATE_SHARE, max_rps),
        }
    }

    /// [`Cloud::send`], and reads the response's body.
    async fn call<T: DeserializeOwned>(
        &self,
        request: CloudRequest<'_>,
        may_send: impl FnOnce() -> bool,
    ) -> Result<T, CloudError> {
        let path = request.path;
        let body = self.send(request, may_send).await?;
        serde_json::from_slice(&body).map_err(|e| CloudError::Unanswered {
            path: path.to_owned(),
            source: Failure::MalformedResponse(e),
        })
    }

    /// Sends a request once the budget allows it, if `may_send` is true at that
    /// moment; the body of a successful response.
    async fn send(
        &self,
        request: CloudRequest<'_>,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Bytes, CloudError> {
        let CloudRequest { method, path, body } = request;
        self.requests.acquire(1.0).await;
        if !may_send() {
            return Err(CloudError::Withheld {
                path: path.to_owned(),
            });
        }
        let response = self
            .http
            .call(method, &self.address, path, body, REQUEST_TIMEOUT)
            .await
            .map_err(|e| CloudError::no_response(path, e))?;
        match response.status {
            200 => Ok(response.body),
            status => Err(CloudError::refused(path, status, &response.body)),
        }
    }

    /// The machine types on offer.
    pub async fn list_machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let request = CloudRequest::get("/machine_types");
        let listed: MachineTypeList = self.call(request, always).await?;
        Ok(listed.types)
    }

    /// Rents machines, if `may_send` is true when the request is due; the machines
    /// that were rented, which may be fewer than wanted.
    pub async fn rent(
        &self,
        rental: &RentalRequest,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Vec<MachineId>, CloudError> {
        let request = CloudRequest::post("/hosts", rental)?;
        let rented: MachineNames = self.call(request, may_send).await?;
        Ok(rented.machines)
    }

    /// Releases machines, if `may_send` is true when the request is due. Once this
    /// succeeds nothing runs on them any more.
    pub async fn release(
        &self,
        machines: &[MachineId],
        may_send: impl FnOnce() -> bool,
    ) -> Result<(), CloudError> {
        let machines = MachineNames {
            machines: machines.to_vec(),
        };
        let request = CloudRequest::post("/hosts/release", &machines)?;
        self.send(request, may_send).await.map(drop)
    }

    /// All machines that the cloud lists, page by page. The list lags behind rentals
    /// and releases.
    pub async fn list_machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let since = all
                .last()
                .map(|machine| format!("since={}&", machine.id))
                .unwrap_or_default();
            let path = format!("/hosts?{since}limit={PAGE_SIZE}");
            let page: MachinePage = self.call(CloudRequest::get(&path), always).await?;
            let is_last = page.machines.is_empty() || !page.has_more;
            all.extend(page.machines);
            if is_last {
                return Ok(all);
            }
        }
    }
}
