//! The client's connection, budgets and reachability; the requests are in the
//! sibling modules.

use std::time::{Duration, Instant};

use hyper::Method;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use tracing::info;

use super::error::{Operation, StoreError};
use super::rate_limiter::RateLimiter;
use crate::http::{HttpClient, Response};
use crate::settings::StateLimits;

/// The limits of the state service hold for all controllers together. All but a
/// few requests are the leader's, so each controller keeps to this share of the
/// requests per second.
const REQUEST_SHARE: f64 = 0.6;
/// The same of the changes per second.
const CHANGE_SHARE: f64 = 0.7;

/// The state service counts as unreachable after failing for so long.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(4);

/// How long an ordinary request may take.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the state service. It keeps this controller's share of the state
/// service's limits on requests and changes per second, whoever calls it.
#[derive(Debug)]
pub struct Store {
    http: HttpClient,
    address: String,
    /// Budget of requests.
    pub(super) requests: RateLimiter,
    /// Budget of puts and deletes.
    pub(super) changes: RateLimiter,
    pub(super) limits: StateLimits,
    /// Since when all requests have failed; `None` if the latest one succeeded.
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

/// Reads the body of a successful response.
pub(super) fn parse<T: DeserializeOwned>(
    response: &Response,
    operation: impl FnOnce() -> Operation,
) -> Result<T, StoreError> {
    serde_json::from_slice(&response.body).map_err(|e| StoreError::malformed(operation(), e))
}

impl Store {
    /// A client of the state service at `address` (`host:port`) that keeps its
    /// share of `limits`.
    pub fn new(http: HttpClient, address: String, limits: &StateLimits) -> Self {
        let request_rate = limits.rps * REQUEST_SHARE;
        let change_rate = limits.write_rps * CHANGE_SHARE;
        Self {
            http,
            address,
            requests: RateLimiter::new(request_rate, request_rate),
            changes: RateLimiter::new(change_rate, change_rate),
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

    /// How many changes the budget allows within `period`, one at least.
    pub fn max_changes_within(&self, period: Duration) -> f64 {
        (self.changes.rate() * period.as_secs_f64()).max(1.0)
    }

    fn record_reachability(&self, succeeded: bool) {
        let mut failing_since = self.failing_since.lock();
        if succeeded {
            *failing_since = None;
        } else {
            failing_since.get_or_insert_with(Instant::now);
        }
    }

    /// Sends a request outside the budget, which the caller has to respect.
    pub(super) async fn call(
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
        let response = self.http.call(method, &self.address, path, body, timeout).await;
        self.record_reachability(response.as_ref().is_ok_and(|r| r.status != 503));
        if response.as_ref().is_ok_and(|r| r.status == 429) {
            self.lower_rates();
        }
        response.map_err(|e| StoreError::no_response(operation(), e))
    }

    /// Goes down to the announced rates after a refusal for the rate. They begin to
    /// hold without notice, so that a refusal is the only sign of it.
    fn lower_rates(&self) {
        let now = Instant::now();
        let request_rate = self.limits.min_rps() * REQUEST_SHARE;
        let change_rate = self.limits.min_write_rps() * CHANGE_SHARE;
        let lowered = [
            self.requests.lower_rate(request_rate, now),
            self.changes.lower_rate(change_rate, now),
        ];
        if lowered.contains(&true) {
            info!("the state service refuses for its rate, lowering to the announced limits");
        }
    }
}
