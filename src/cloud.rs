//! Client of the cloud, paced under its limit. What is unanswered is unknown.

use std::time::Duration;

use hyper::Method;

use crate::http::{HttpClient, HttpError};
use crate::store::rate_limiter::RateLimiter;
use crate::wire::{ListedMachine, MachineId, MachineNames, MachinePage, MachineType, MachineTypes, Rental};

/// Why the cloud did not do it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    /// Nothing to rent of this kind.
    #[error("no capacity")]
    NoCapacity,
    /// Refused for now, not carried out.
    #[error("cloud unavailable")]
    Unavailable,
    /// Unanswered; it may have been carried out, or still be.
    #[error("cloud did not answer")]
    Unanswered,
    /// It will never be taken.
    #[error("rejected with status {0}")]
    Rejected(u16),
}

/// The client.
#[derive(Debug)]
pub struct Cloud {
    http: HttpClient,
    addr: String,
    pace: RateLimiter,
}

const PATIENCE: Duration = Duration::from_secs(4);

impl Cloud {
    /// A client that stays under `rps`.
    pub fn new(http: HttpClient, addr: String, rps: f64) -> Self {
        Self {
            http,
            addr,
            pace: RateLimiter::new(rps * 0.85, rps),
        }
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        go: impl Fn() -> bool,
    ) -> Result<T, CloudError> {
        let body = self.send(method, path, body, go).await?;
        serde_json::from_slice(&body).map_err(|_| CloudError::Unanswered)
    }

    /// Sends a request once it is due, if `go` still allows it then; the body of
    /// its 200.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        go: impl Fn() -> bool,
    ) -> Result<bytes::Bytes, CloudError> {
        self.pace.acquire(1.0).await;
        if !go() {
            return Err(CloudError::Unavailable);
        }
        let r = self
            .http
            .call(method, &self.addr, path, body, PATIENCE)
            .await
            .map_err(|e| match e {
                HttpError::Unsent => CloudError::Unavailable,
                HttpError::Unanswered => CloudError::Unanswered,
            })?;
        match r.status {
            200 => Ok(r.body),
            503 if r.body.windows(11).any(|w| w == b"no capacity") => Err(CloudError::NoCapacity),
            429 | 503 => Err(CloudError::Unavailable),
            500..=599 => Err(CloudError::Unanswered),
            s => Err(CloudError::Rejected(s)),
        }
    }

    /// The machine types on offer.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        Ok(self
            .call::<MachineTypes>(Method::GET, "/machine_types", None, || true)
            .await?
            .types)
    }

    /// Rents machines, if `go` still allows it when the request is due.
    pub async fn rent(&self, rental: &Rental, go: impl Fn() -> bool) -> Result<Vec<MachineId>, CloudError> {
        let body = serde_json::to_vec(rental).map_err(|_| CloudError::Rejected(0))?;
        Ok(self
            .call::<MachineNames>(Method::POST, "/hosts", Some(body), go)
            .await?
            .machines)
    }

    /// Gives machines back, if `go` still allows it when the request is due; once
    /// this returns they are gone.
    pub async fn release(&self, machines: &[MachineId], go: impl Fn() -> bool) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames {
            machines: machines.to_vec(),
        })
        .map_err(|_| CloudError::Rejected(0))?;
        self.send(Method::POST, "/hosts/release", Some(body), go)
            .await
            .map(drop)
    }

    /// The (lagging) list of machines.
    pub async fn machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let since = all.last().map(|m| format!("since={}&", m.id)).unwrap_or_default();
            let page: MachinePage = self
                .call(Method::GET, &format!("/hosts?{since}limit=500"), None, || true)
                .await?;
            let end = page.machines.is_empty() || !page.more;
            all.extend(page.machines);
            if end {
                return Ok(all);
            }
        }
    }
}
