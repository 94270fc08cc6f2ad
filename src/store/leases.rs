//! Leases: the keys attached to a lease are deleted when it expires or is revoked.

use std::time::{Duration, Instant};

use hyper::Method;

use super::client::{parse_body, Store, StoreRequest, REQUEST_TIMEOUT};
use super::error::{Operation, StoreError};
use crate::wire::LeaseGrant;

impl Store {
    /// Grants a lease that expires `lifetime` after its last renewal; returns its id.
    pub async fn grant_lease(&self, lifetime: Duration) -> Result<u64, StoreError> {
        self.request_budget.acquire(1.0).await;
        let operation = || Operation::GrantLease;
        let body = format!("{{\"life_ms\":{}}}", lifetime.as_millis()).into_bytes();
        let request = StoreRequest {
            method: Method::POST,
            path: "/holds",
            body: Some(body),
            timeout: REQUEST_TIMEOUT,
        };
        let response = self.send_request(request, operation).await?;
        match response.status {
            200 => Ok(parse_body::<LeaseGrant>(&response, operation)?.lease),
            status => Err(StoreError::from_status(operation(), status)),
        }
    }

    /// Renews a lease. The renewal counts against the request budget but never waits for
    /// it, as it must not queue behind other requests.
    pub async fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        self.request_budget.take(1.0, Instant::now());
        let operation = || Operation::RenewLease { lease };
        let request = StoreRequest {
            method: Method::POST,
            path: &format!("/holds/{lease}/touch"),
            body: Some(b"{}".to_vec()),
            timeout,
        };
        let response = self.send_request(request, operation).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(StoreError::LeaseNotFound {
                operation: operation(),
            }),
            status => Err(StoreError::from_status(operation(), status)),
        }
    }

    /// Revokes a lease; succeeds also if it has expired or was revoked already. The
    /// request is not taken from the budget.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let operation = || Operation::RevokeLease { lease };
        let request = StoreRequest {
            method: Method::DELETE,
            path: &format!("/holds/{lease}"),
            body: None,
            timeout: REQUEST_TIMEOUT,
        };
        let response = self.send_request(request, operation).await?;
        match response.status {
            200 | 404 => Ok(()),
            status => Err(StoreError::from_status(operation(), status)),
        }
    }
}
