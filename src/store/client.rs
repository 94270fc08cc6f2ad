//! The client's HTTP connections, rate limits and reachability; the requests are in
//! the sibling modules.

use std::time::{Duration, Instant};

use hyper::Method;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use tracing::info;

use super::error::{Operation, StoreError};
use super::rate_limiter::RateLimiter;
use crate::http::{HttpClient, Response};
use crate::settings::StateLimits;

/// Share of the state service's limit on requests per second that each controller
/// uses. The limit holds for all controllers together, but all except a few requests
/// are the leader's.
const REQUEST_SHARE: f64 = 0.6;
/// Share of the limit on puts and deletes per second, likewise.
const CHANGE_SHARE: f64 = 0.7;

/// The state service counts as unreachable once requests have failed for this long.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(4);

/// Timeout of a request that has no timeout of its own.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the state service. All its callers share this controller's budgets of
/// requests and changes per second.
#[derive(Debug)]
pub struct Store {
    http: HttpClient,
    address: String,
    /// Budget of requests per second.
    pub(super) request_budget: RateLimiter,
    /// Budget of puts and deletes per second.
    pub(super) change_budget: RateLimiter,
    pub(super) limits: StateLimits,
    /// When requests began to fail without a success since; `None` if the latest request
    /// succeeded or none has been sent.
    failing_since: Mutex<Option<Instant>>,
}

/// A request before it is sent.
pub(super) struct StoreRequest<'a> {
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    pub body: Option<Vec<u8>>,
    pub timeout: Duration,
}

/// Parses the body of a response.
pub(super) fn parse_body<T: DeserializeOwned>(
    response: &Response,
    operation: impl FnOnce() -> Operation,
) -> Result<T, StoreError> {
    serde_json::from_slice(&response.body).map_err(|e| StoreError::malformed(operation(), e))
}

impl Store {
    /// Creates a client of the state service at `address` (`host:port`) that uses its
    /// share of `limits`.
    pub fn new(http: HttpClient, address: String, limits: &StateLimits) -> Self {
        let request_rate = limits.rps * REQUEST_SHARE;
        let change_rate = limits.write_rps * CHANGE_SHARE;
        Self {
            http,
            address,
            request_budget: RateLimiter::new(request_rate, request_rate),
            change_budget: RateLimiter::new(change_rate, change_rate),
            limits: limits.clone(),
            failing_since: Mutex::new(None),
        }
    }

    /// Whether the latest request succeeded, or requests have failed for less than
    /// `UNREACHABLE_AFTER`.
    pub fn is_reachable(&self) -> bool {
        self.failing_since
            .lock()
            .is_none_or(|since| since.elapsed() < UNREACHABLE_AFTER)
    }

    /// Number of changes that the budget allows within `period`, at least 1.
    pub fn max_changes_within(&self, period: Duration) -> f64 {
        (self.change_budget.rate() * period.as_secs_f64()).max(1.0)
    }

    /// Records the result of a request: it failed if it got no response or status 503.
    fn record_reachability(&self, succeeded: bool) {
        let mut failing_since = self.failing_since.lock();
        if succeeded {
            *failing_since = None;
        } else {
            failing_since.get_or_insert_with(Instant::now);
        }
    }

    /// Sends a request without taking it from the budgets, which is up to the caller.
    pub(super) async fn send_request(
        &self,
        request: StoreRequest<'_>,
        operation: impl FnOnce() -> Operation,
    ) -> Result<Response, StoreError> {
        let StoreRequest {
            method,
            path,
            body,
            timeout,
        } = request;
        let response = self
            .http
            .send_request(method, &self.address, path, body, timeout)
            .await;
        self.record_reachability(response.as_ref().is_ok_and(|r| r.status != 503));
        if response.as_ref().is_ok_and(|r| r.status == 429) {
            self.lower_rates();
        }
        response.map_err(|e| StoreError::no_response(operation(), e))
    }

    /// Lowers the budgets to this controller's shares of the announced limits after a
    /// refusal for the rate. These limits take effect without notice; a refusal is the
    /// only sign of it.
    fn lower_rates(&self) {
        let now = Instant::now();
        let request_rate = self.limits.max_requests_per_s() * REQUEST_SHARE;
        let change_rate = self.limits.max_changes_per_s() * CHANGE_SHARE;
        let lowered = [
            self.request_budget.lower_rate(request_rate, now),
            self.change_budget.lower_rate(change_rate, now),
        ];
        if lowered.contains(&true) {
            info!(
                "state service refused a request for its rate, lowering the budgets to the announced limits"
            );
        }
    }
}
