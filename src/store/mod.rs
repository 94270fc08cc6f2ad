//! Client of the state service: guarded transactions, leases and watches, within
//! a budget ([`rate_limiter`]); the leader's group commit ([`writer`]).

pub mod rate_limiter;
pub mod writer;

use std::time::{Duration, Instant};

use hyper::Method;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use tracing::info;

use crate::http::{HttpClient, HttpError, Response};
use crate::settings::StateLimits;
use crate::wire::{Change, KeyPage, KeyValue, LeaseGrant, Transaction, TransactionResult, WatchResponse};
use rate_limiter::RateLimiter;

/// Why the state service did not do it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Refused for now; it was not executed.
    #[error("state service unavailable")]
    Unavailable,
    /// No answer; it may have been executed, or still be.
    #[error("state service did not answer")]
    Unanswered,
    /// Conditions that did not hold.
    #[error("conditions failed: {0:?}")]
    Conflict(Vec<String>),
    /// The lease is over.
    #[error("no such lease")]
    NoLease,
    /// Larger than the limits allow, so it was not sent.
    #[error("larger than the state service's limits allow")]
    TooLarge,
    /// The watched revision is too old.
    #[error("revision too old")]
    TooOld,
    /// It will never be taken.
    #[error("rejected with status {0}")]
    Rejected(u16),
}

/// What a read of one key found.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyRead {
    /// The key exists.
    Found(KeyValue),
    /// The key does not exist at this revision of the store.
    Missing {
        /// The store's revision at the time of the read.
        revision: u64,
    },
}

/// All keys with a prefix, as of one or more pages read one after the other.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The keys with their values, in key order.
    pub items: Vec<KeyValue>,
    /// The store's revision when the last page was read.
    pub revision: u64,
}

/// The client.
#[derive(Debug)]
pub struct Store {
    http: HttpClient,
    addr: String,
    requests: RateLimiter,
    writes: RateLimiter,
    limits: StateLimits,
    /// Since when it fails to answer.
    failing: Mutex<Option<Instant>>,
}

/// The limits of the state service hold for all controllers together. All but a
/// few requests are the leader's, so each keeps to this share of the requests...
const REQUEST_SHARE: f64 = 0.6;
/// ...and to this share of the changes.
const WRITE_SHARE: f64 = 0.7;

/// The state service counts as out of reach after failing for so long.
const UNREACHABLE: Duration = Duration::from_secs(4);

/// How long a user's question may wait for the budget.
const SOON: Duration = Duration::from_millis(250);
/// How long an ordinary request may take.
const PATIENCE: Duration = Duration::from_millis(1500);

fn parse<T: DeserializeOwned>(r: &Response) -> Result<T, StoreError> {
    serde_json::from_slice(&r.body).map_err(|_| StoreError::Unanswered)
}

fn refusal(status: u16) -> StoreError {
    match status {
        429 | 503 => StoreError::Unavailable,
        500..=599 => StoreError::Unanswered,
        s => StoreError::Rejected(s),
    }
}

impl From<HttpError> for StoreError {
    fn from(e: HttpError) -> Self {
        match e {
            HttpError::Unsent => StoreError::Unavailable,
            HttpError::Unanswered => StoreError::Unanswered,
        }
    }
}

impl Store {
    /// A client with its share of the limits.
    pub fn new(http: HttpClient, addr: String, limits: &StateLimits) -> Self {
        let (rps, write_rps) = (limits.rps * REQUEST_SHARE, limits.write_rps * WRITE_SHARE);
        Self {
            http,
            addr,
            requests: RateLimiter::new(rps, rps),
            writes: RateLimiter::new(write_rps, write_rps),
            limits: limits.clone(),
            failing: Mutex::new(None),
        }
    }

    /// Whether it answered of late, or hasn't been failing for long.
    pub fn is_reachable(&self) -> bool {
        self.failing.lock().is_none_or(|t| t.elapsed() < UNREACHABLE)
    }

    /// How many changes the budget allows within a time.
    pub fn max_changes_within(&self, time: Duration) -> f64 {
        (self.writes.rate() * time.as_secs_f64()).max(1.0)
    }

    fn note(&self, answered: bool) {
        let mut failing = self.failing.lock();
        if answered {
            *failing = None;
        } else {
            failing.get_or_insert_with(Instant::now);
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let r = self.http.call(method, &self.addr, path, body, timeout).await;
        self.note(r.as_ref().is_ok_and(|r| r.status != 503));
        if r.as_ref().is_ok_and(|r| r.status == 429) {
            self.slow_down();
        }
        Ok(r?)
    }

    /// The state service takes less than it was asked: the announced limits may
    /// hold by now. They don't come with a notice, so this is how they show.
    fn slow_down(&self) {
        let now = Instant::now();
        let requests = self.limits.min_rps() * REQUEST_SHARE;
        let writes = self.limits.min_write_rps() * WRITE_SHARE;
        let slower = [
            self.requests.lower_rate(requests, now),
            self.writes.lower_rate(writes, now),
        ];
        if slower.contains(&true) {
            info!("the state service refuses for its rate; the announced limits are kept from now on");
        }
    }

    /// Whether a transaction keeps within the limits that hold now and those that
    /// are announced. Every writer passes here.
    fn check_size(&self, t: &Transaction) -> Result<(), StoreError> {
        let largest = self.limits.value_bytes();
        let too_large = |change: &Change| match change {
            Change::Put { value, .. } => serde_json::to_vec(value).map_or(true, |v| v.len() > largest),
            Change::Delete { .. } => false,
        };
        if t.changes.len() > self.limits.min_txn_ops() || t.changes.iter().any(too_large) {
            return Err(StoreError::TooLarge);
        }
        Ok(())
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<KeyRead, StoreError> {
        self.requests.acquire(1.0).await;
        self.read(key, PATIENCE).await
    }

    /// [`Store::get`] for one who waits for the answer: where the budget is used
    /// up for longer than a moment, as in a flood of questions, it is refused at
    /// once, and what the leader needs for its own doesn't queue behind it.
    pub async fn get_soon(&self, key: &str) -> Result<KeyRead, StoreError> {
        if !self.requests.acquire_within(1.0, SOON).await {
            return Err(StoreError::Unavailable);
        }
        self.read(key, Duration::from_millis(900)).await
    }

    async fn read(&self, key: &str, timeout: Duration) -> Result<KeyRead, StoreError> {
        let r = self
            .call(Method::GET, &format!("/kv/{key}"), None, timeout)
            .await?;
        match r.status {
            200 => Ok(KeyRead::Found(parse(&r)?)),
            404 => Ok(KeyRead::Missing {
                revision: parse::<TransactionResult>(&r)?.revision,
            }),
            s => Err(refusal(s)),
        }
    }

    /// Reads all keys with a prefix, page by page.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut items: Vec<KeyValue> = Vec::new();
        loop {
            self.requests.acquire(1.0).await;
            let since = items
                .last()
                .map(|i| format!("&since={}", i.key))
                .unwrap_or_default();
            let path = format!("/kv?starts={prefix}{since}&limit=500");
            let r = self.call(Method::GET, &path, None, PATIENCE * 2).await?;
            if r.status != 200 {
                return Err(refusal(r.status));
            }
            let page: KeyPage = parse(&r)?;
            let end = page.items.is_empty() || !page.more;
            items.extend(page.items);
            if end {
                return Ok(Listing {
                    items,
                    revision: page.revision,
                });
            }
        }
    }

    /// Carries out an urgent transaction; its revision.
    pub async fn transact(&self, t: &Transaction, timeout: Duration) -> Result<u64, StoreError> {
        self.transact_above_reserve(t, timeout, 0.0).await
    }

    /// Carries out a transaction that leaves a share of the budget of changes
    /// to urgent ones.
    pub async fn transact_above_reserve(
        &self,
        t: &Transaction,
        timeout: Duration,
        reserve: f64,
    ) -> Result<u64, StoreError> {
        self.check_size(t)?;
        self.requests.acquire(1.0).await;
        if !t.changes.is_empty() {
            self.writes
                .acquire_above_reserve(t.changes.len() as f64, reserve)
                .await;
        }
        let body = serde_json::to_vec(t).map_err(|_| StoreError::Rejected(0))?;
        let r = self.call(Method::POST, "/multi", Some(body), timeout).await?;
        match r.status {
            200 => Ok(parse::<TransactionResult>(&r)?.revision),
            409 => Err(StoreError::Conflict(parse::<TransactionResult>(&r)?.failed)),
            400 if r.body.windows(7).any(|w| w == b"no such") => Err(StoreError::NoLease),
            s => Err(refusal(s)),
        }
    }

    /// Grants a lease.
    pub async fn grant_lease(&self, life: Duration) -> Result<u64, StoreError> {
        self.requests.acquire(1.0).await;
        let body = format!("{{\"life_ms\":{}}}", life.as_millis()).into_bytes();
        let r = self.call(Method::POST, "/holds", Some(body), PATIENCE).await?;
        match r.status {
            200 => Ok(parse::<LeaseGrant>(&r)?.lease),
            s => Err(refusal(s)),
        }
    }

    /// Renews a lease. Not paced: it must not wait behind other requests.
    pub async fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        self.requests.take(1.0, Instant::now());
        let r = self
            .call(
                Method::POST,
                &format!("/holds/{lease}/touch"),
                Some(b"{}".to_vec()),
                timeout,
            )
            .await?;
        match r.status {
            200 => Ok(()),
            404 => Err(StoreError::NoLease),
            s => Err(refusal(s)),
        }
    }

    /// Ends a lease at once.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let r = self
            .call(Method::DELETE, &format!("/holds/{lease}"), None, PATIENCE)
            .await?;
        match r.status {
            200 | 404 => Ok(()),
            s => Err(refusal(s)),
        }
    }

    /// Waits for a change of some key with the prefix.
    pub async fn watch(&self, prefix: &str, since: u64, hold: Duration) -> Result<WatchResponse, StoreError> {
        self.requests.acquire(1.0).await;
        let path = format!(
            "/watch?starts={prefix}&since={since}&hold_ms={}",
            hold.as_millis()
        );
        let r = self
            .call(Method::GET, &path, None, hold + Duration::from_secs(3))
            .await?;
        match r.status {
            200 => parse(&r),
            410 => Err(StoreError::TooOld),
            s => Err(refusal(s)),
        }
    }
}
