//! client of the state service: guarded transactions, leases, watches, a rate
//! budget, and the leader's group commit.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::{oneshot, Notify};
use tracing::{debug, info};

use crate::http::{Http, HttpError, Response};
use crate::settings::StateLimits;
use crate::wire::{Change, Guard, Item, LeaseGrant, Listing, Outcome, Transaction, Watched};

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

/// A budget of so many units a second, with bursts of a second's worth.
#[derive(Debug)]
pub struct Pace {
    state: Mutex<PaceState>,
}

#[derive(Debug)]
struct PaceState {
    rate: f64,
    burst: f64,
    /// Units at hand; below 0: owed.
    units: f64,
    refilled: Instant,
}

impl PaceState {
    fn refill(&mut self, now: Instant) {
        let earned = now.saturating_duration_since(self.refilled).as_secs_f64() * self.rate;
        self.units = (self.units + earned).min(self.burst);
        self.refilled = now;
    }

    /// How long until so many units are at hand.
    fn time_until(&self, units: f64) -> Duration {
        Duration::from_secs_f64(((units - self.units) / self.rate).max(0.0))
    }
}

impl Pace {
    /// A full budget.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            state: Mutex::new(PaceState {
                rate,
                burst,
                units: burst,
                refilled: Instant::now(),
            }),
        }
    }

    /// Units a second.
    pub fn rate(&self) -> f64 {
        self.state.lock().rate
    }

    /// Slows down to a rate, if it is lower, with bursts of a second's worth.
    /// Whether it was.
    pub fn slow_to(&self, rate: f64, now: Instant) -> bool {
        let mut s = self.state.lock();
        if rate >= s.rate {
            return false;
        }
        s.refill(now);
        s.rate = rate;
        s.burst = rate.max(1.0);
        s.units = s.units.min(s.burst);
        true
    }

    /// Takes units, and tells how long to wait before going on.
    pub fn take(&self, units: f64, now: Instant) -> Duration {
        let mut s = self.state.lock();
        s.refill(now);
        s.units -= units;
        s.time_until(0.0)
    }

    /// Takes units if as many are there and a part of the burst is left for
    /// what is urgent; else how long to wait before trying again.
    pub fn take_leaving(&self, units: f64, reserve: f64, now: Instant) -> Duration {
        let mut s = self.state.lock();
        s.refill(now);
        // What is larger than the rest of the burst goes when the budget is full.
        let need = (units + reserve * s.burst).min(s.burst);
        if s.units + 1e-9 >= need {
            s.units -= units;
            return Duration::ZERO;
        }
        s.time_until(need).max(Duration::from_millis(1))
    }

    /// Takes units once they are due, if that is soon; else takes none.
    async fn pass_soon(&self, units: f64, soon: Duration) -> bool {
        let wait = {
            let mut s = self.state.lock();
            s.refill(Instant::now());
            let wait = s.time_until(units);
            if wait > soon {
                return false;
            }
            s.units -= units;
            wait
        };
        tokio::time::sleep(wait).await;
        true
    }

    /// Takes units once they are due.
    pub async fn pass(&self, units: f64) {
        let wait = self.take(units, Instant::now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Takes units once they are there beside the reserve.
    async fn pass_leaving(&self, units: f64, reserve: f64) {
        loop {
            let wait = self.take_leaving(units, reserve, Instant::now());
            if wait.is_zero() {
                return;
            }
            tokio::time::sleep(wait).await;
        }
    }
}

/// The client.
#[derive(Debug)]
pub struct Store {
    http: Http,
    addr: String,
    requests: Pace,
    writes: Pace,
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
    pub fn new(http: Http, addr: String, limits: &StateLimits) -> Self {
        let (rps, write_rps) = (limits.rps * REQUEST_SHARE, limits.write_rps * WRITE_SHARE);
        Self {
            http,
            addr,
            requests: Pace::new(rps, rps),
            writes: Pace::new(write_rps, write_rps),
            limits: limits.clone(),
            failing: Mutex::new(None),
        }
    }

    /// Whether it answered of late, or hasn't been failing for long.
    pub fn reachable(&self) -> bool {
        self.failing.lock().is_none_or(|t| t.elapsed() < UNREACHABLE)
    }

    /// How many changes the budget allows within a time.
    pub fn changes_within(&self, time: Duration) -> f64 {
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
        let requests = self.limits.least_rps() * REQUEST_SHARE;
        let writes = self.limits.least_write_rps() * WRITE_SHARE;
        let slower = [
            self.requests.slow_to(requests, now),
            self.writes.slow_to(writes, now),
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
        if t.changes.len() > self.limits.least_txn_ops() || t.changes.iter().any(too_large) {
            return Err(StoreError::TooLarge);
        }
        Ok(())
    }

    /// Reads a key. `Err(revision)` inside: it does not exist at that revision.
    pub async fn get(&self, key: &str) -> Result<Result<Item, u64>, StoreError> {
        self.requests.pass(1.0).await;
        self.read(key, PATIENCE).await
    }

    /// [`Store::get`] for one who waits for the answer: where the budget is used
    /// up for longer than a moment, as in a flood of questions, it is refused at
    /// once, and what the leader needs for its own doesn't queue behind it.
    pub async fn get_soon(&self, key: &str) -> Result<Result<Item, u64>, StoreError> {
        if !self.requests.pass_soon(1.0, SOON).await {
            return Err(StoreError::Unavailable);
        }
        self.read(key, Duration::from_millis(900)).await
    }

    async fn read(&self, key: &str, timeout: Duration) -> Result<Result<Item, u64>, StoreError> {
        let r = self
            .call(Method::GET, &format!("/kv/{key}"), None, timeout)
            .await?;
        match r.status {
            200 => Ok(Ok(parse(&r)?)),
            404 => Ok(Err(parse::<Outcome>(&r)?.revision)),
            s => Err(refusal(s)),
        }
    }

    /// Reads all keys with a prefix, page by page.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<Item>, u64), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            self.requests.pass(1.0).await;
            let since = items
                .last()
                .map(|i| format!("&since={}", i.key))
                .unwrap_or_default();
            let path = format!("/kv?starts={prefix}{since}&limit=500");
            let r = self.call(Method::GET, &path, None, PATIENCE * 2).await?;
            if r.status != 200 {
                return Err(refusal(r.status));
            }
            let page: Listing = parse(&r)?;
            let end = page.items.is_empty() || !page.more;
            items.extend(page.items);
            if end {
                return Ok((items, page.revision));
            }
        }
    }

    /// Carries out an urgent transaction; its revision.
    pub async fn transact(&self, t: &Transaction, timeout: Duration) -> Result<u64, StoreError> {
        self.transact_leaving(t, timeout, 0.0).await
    }

    /// Carries out a transaction that leaves a share of the budget of changes
    /// to urgent ones.
    pub async fn transact_leaving(
        &self,
        t: &Transaction,
        timeout: Duration,
        reserve: f64,
    ) -> Result<u64, StoreError> {
        self.check_size(t)?;
        self.requests.pass(1.0).await;
        if !t.changes.is_empty() {
            self.writes.pass_leaving(t.changes.len() as f64, reserve).await;
        }
        let body = serde_json::to_vec(t).map_err(|_| StoreError::Rejected(0))?;
        let r = self.call(Method::POST, "/multi", Some(body), timeout).await?;
        match r.status {
            200 => Ok(parse::<Outcome>(&r)?.revision),
            409 => Err(StoreError::Conflict(parse::<Outcome>(&r)?.failed)),
            400 if r.body.windows(7).any(|w| w == b"no such") => Err(StoreError::NoLease),
            s => Err(refusal(s)),
        }
    }

    /// Grants a lease.
    pub async fn grant_lease(&self, life: Duration) -> Result<u64, StoreError> {
        self.requests.pass(1.0).await;
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
    pub async fn watch(&self, prefix: &str, since: u64, hold: Duration) -> Result<Watched, StoreError> {
        self.requests.pass(1.0).await;
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

/// Why a unit was not committed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// The term is over.
    #[error("no longer the leader")]
    Deposed,
    /// The state service won't take it, for its size or otherwise. An earlier
    /// copy of it that was not answered may have been taken all the same.
    #[error("refused by the state service")]
    Refused,
    /// Keys that are not as expected.
    #[error("keys changed by another: {0:?}")]
    Conflict(Vec<String>),
}

/// Changes that belong together, guarded by what the leader knows of the keys.
#[derive(Debug, Default)]
pub struct Unit {
    /// Keys and their new values (`None`: to be deleted).
    pub changes: Vec<(String, Option<Value>)>,
    /// Keys that must not exist, whether they change or not.
    pub absent: Vec<String>,
    /// A user waits for it: it goes before the log and final states.
    pub urgent: bool,
}

impl Unit {
    /// The keys that it names.
    fn keys(&self) -> impl Iterator<Item = &String> {
        self.changes.iter().map(|change| &change.0).chain(&self.absent)
    }

    /// Whether it names one of the keys.
    fn names(&self, keys: &HashSet<String>) -> bool {
        self.keys().any(|key| keys.contains(key))
    }
}

type Reply = oneshot::Sender<Result<(), CommitError>>;

#[derive(Debug, Default)]
struct WriterState {
    versions: HashMap<String, u64>,
    queue: VecDeque<(Unit, Reply)>,
    busy: HashSet<String>,
    in_flight: usize,
    over: bool,
    /// Most changes in a transaction.
    most: usize,
}

/// Group commit of one term: units wait while earlier ones are on their way,
/// then go together in as few transactions as the limits allow. Every
/// transaction is guarded by the leader's key and by each key it changes, so
/// that a late copy can't apply.
#[derive(Debug)]
pub struct Writer {
    store: Arc<Store>,
    term: u64,
    leader_key: &'static str,
    state: Mutex<WriterState>,
    wake: Notify,
}

/// Transactions on their way at once.
const LANES: usize = 4;
/// Share of the budget of changes that the log and final states leave to users.
pub const RESERVE: f64 = 0.3;
/// Bytes of values in one transaction, below the protocol's 64 KiB.
const MOST_BYTES: usize = 48 * 1024;

impl Writer {
    /// A writer of a term.
    pub fn new(store: Arc<Store>, leader_key: &'static str, term: u64, most: usize) -> Arc<Self> {
        Arc::new(Self {
            store,
            term,
            leader_key,
            state: Mutex::new(WriterState {
                most,
                ..WriterState::default()
            }),
            wake: Notify::new(),
        })
    }

    /// Makes a key's version known.
    pub fn know(&self, key: &str, version: u64) {
        let mut s = self.state.lock();
        if version == 0 {
            s.versions.remove(key);
        } else {
            s.versions.insert(key.to_owned(), version);
        }
    }

    /// Whether the term is over.
    pub fn is_over(&self) -> bool {
        self.state.lock().over
    }

    /// Ends the term: nothing is written any more.
    pub fn end(&self) {
        let mut s = self.state.lock();
        s.over = true;
        for (_, reply) in s.queue.drain(..) {
            let _ = reply.send(Err(CommitError::Deposed));
        }
        drop(s);
        self.wake.notify_one();
    }

    /// Changes that users wait for and that are not on their way yet.
    pub fn urgent_waiting(&self) -> usize {
        let s = self.state.lock();
        let urgent = s.queue.iter().take_while(|(u, _)| u.urgent);
        urgent.map(|(u, _)| u.changes.len()).sum()
    }

    /// Commits a unit; returns once it is stored.
    pub async fn commit(&self, unit: Unit) -> Result<(), CommitError> {
        let (reply, answer) = oneshot::channel();
        {
            let mut s = self.state.lock();
            if s.over {
                return Err(CommitError::Deposed);
            }
            // Behind what is as urgent, before what is not.
            let at = if unit.urgent {
                s.queue.iter().take_while(|(u, _)| u.urgent).count()
            } else {
                s.queue.len()
            };
            s.queue.insert(at, (unit, reply));
        }
        self.wake.notify_one();
        answer.await.unwrap_or(Err(CommitError::Deposed))
    }

    /// Sends what is queued until the term is over.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.wake.notified().await;
            if self.is_over() {
                return;
            }
            while let Some(batch) = self.next_batch() {
                let writer = self.clone();
                tokio::spawn(async move {
                    writer.send(batch).await;
                    writer.wake.notify_one();
                });
            }
        }
    }

    /// Units that may go together now. Units on the same key stay in order.
    fn next_batch(&self) -> Option<Vec<(Unit, Reply)>> {
        let mut s = self.state.lock();
        if s.in_flight >= LANES || s.over {
            return None;
        }
        let mut batch: Vec<(Unit, Reply)> = Vec::new();
        let mut held = HashSet::new();
        let (mut ops, mut guards, mut bytes) = (0, 1, 0);
        let mut at = 0;
        while at < s.queue.len() {
            let unit = &s.queue[at].0;
            let size: usize = unit
                .changes
                .iter()
                .map(|(k, v)| k.len() + weight(v.as_ref()))
                .sum();
            // What isn't urgent must not make urgent units wait for the reserve.
            let fits = (batch.is_empty() || batch[0].0.urgent == unit.urgent)
                && (batch.is_empty() || ops + unit.changes.len() <= s.most)
                && guards + unit.changes.len() + unit.absent.len() <= s.most * 4
                && (batch.is_empty() || bytes + size <= MOST_BYTES);
            if !fits || unit.names(&s.busy) || unit.names(&held) {
                held.extend(unit.keys().cloned());
                at += 1;
                continue;
            }
            let (unit, reply) = s.queue.remove(at).expect("in range");
            ops += unit.changes.len();
            guards += unit.changes.len() + unit.absent.len();
            bytes += size;
            held.extend(unit.keys().cloned());
            batch.push((unit, reply));
        }
        if batch.is_empty() {
            return None;
        }
        for (unit, _) in &batch {
            s.busy.extend(unit.keys().cloned());
        }
        s.in_flight += 1;
        Some(batch)
    }

    fn transaction(&self, batch: &[(Unit, Reply)]) -> Transaction {
        let s = self.state.lock();
        let mut t = Transaction {
            conditions: vec![Guard {
                key: self.leader_key.to_owned(),
                version: self.term,
            }],
            changes: Vec::new(),
        };
        for (unit, _) in batch {
            for (key, value) in &unit.changes {
                let fresh = unit.absent.contains(key);
                let version = if fresh {
                    0
                } else {
                    s.versions.get(key).copied().unwrap_or(0)
                };
                t.conditions.push(Guard {
                    key: key.clone(),
                    version,
                });
                match value {
                    Some(v) => t.changes.push(Change::Put {
                        put: key.clone(),
                        value: v.clone(),
                        lease: None,
                    }),
                    None if version > 0 => t.changes.push(Change::Delete { delete: key.clone() }),
                    None => {}
                }
            }
            for key in unit
                .absent
                .iter()
                .filter(|k| unit.changes.iter().all(|c| c.0 != **k))
            {
                t.conditions.push(Guard {
                    key: key.clone(),
                    version: 0,
                });
            }
        }
        t
    }

    async fn send(&self, mut batch: Vec<(Unit, Reply)>) {
        let mut keys: Vec<String> = batch.iter().flat_map(|(u, _)| u.keys().cloned()).collect();
        let mut uncertain = false;
        while !batch.is_empty() && !self.is_over() {
            let t = self.transaction(&batch);
            let reserve = if batch[0].0.urgent { 0.0 } else { RESERVE };
            let patience = Duration::from_millis(1200);
            match self.store.transact_leaving(&t, patience, reserve).await {
                Ok(revision) => {
                    self.applied(batch, revision);
                    batch = Vec::new();
                }
                Err(StoreError::Conflict(failed)) if failed.iter().any(|k| k == self.leader_key) => {
                    info!(term = self.term, "a write was refused: another leads");
                    self.end();
                }
                Err(StoreError::Conflict(failed)) => {
                    if let Some(rest) = self.resolve(batch, failed, uncertain).await {
                        batch = rest;
                    } else {
                        batch = Vec::new();
                    }
                    uncertain = false;
                }
                Err(StoreError::Unanswered) => {
                    uncertain = true;
                    debug!("a write was not answered, trying again");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                Err(StoreError::Unavailable) => tokio::time::sleep(Duration::from_millis(150)).await,
                Err(e) if batch.len() > 1 => {
                    // The limits may be lower than was announced. Nothing of it
                    // was executed, so it goes again in smaller parts.
                    info!(error = %e, units = batch.len(), "a write can't be taken whole, sent in parts");
                    self.allow_at_most(t.changes.len() / 2);
                    batch = self.requeue_half(batch);
                    keys = batch.iter().flat_map(|(u, _)| u.keys().cloned()).collect();
                }
                Err(e) => {
                    info!(error = %e, "a write can't be taken");
                    for (_, reply) in batch.drain(..) {
                        let _ = reply.send(Err(CommitError::Refused));
                    }
                }
            }
        }
        for (_, reply) in batch {
            let _ = reply.send(Err(CommitError::Deposed));
        }
        let mut s = self.state.lock();
        for k in &keys {
            s.busy.remove(k);
        }
        s.in_flight -= 1;
    }

    /// Lets later transactions have so many changes at the most, though never too
    /// few for a final state, which is two.
    fn allow_at_most(&self, changes: usize) {
        let mut s = self.state.lock();
        s.most = s.most.min(changes.max(2));
    }

    /// Puts the later half of a batch back to the head of the queue; the rest.
    fn requeue_half(&self, mut batch: Vec<(Unit, Reply)>) -> Vec<(Unit, Reply)> {
        let later = batch.split_off(batch.len() / 2);
        let mut s = self.state.lock();
        for (unit, reply) in later.into_iter().rev() {
            for key in unit.keys() {
                s.busy.remove(key);
            }
            s.queue.push_front((unit, reply));
        }
        batch
    }

    fn applied(&self, batch: Vec<(Unit, Reply)>, revision: u64) {
        let mut s = self.state.lock();
        for (unit, reply) in batch {
            for (key, value) in unit.changes {
                // Final records are written once; their versions aren't kept.
                if value.is_some() && !key.starts_with(crate::core::record::FINALS) {
                    s.versions.insert(key, revision);
                } else {
                    s.versions.remove(&key);
                }
            }
            let _ = reply.send(Ok(()));
        }
    }

    /// Some key was not as expected: either an earlier, unanswered copy of
    /// this very transaction applied, or another has written the key. Reads
    /// the keys to tell. Units whose keys changed under us fail.
    async fn resolve(
        &self,
        batch: Vec<(Unit, Reply)>,
        failed: Vec<String>,
        uncertain: bool,
    ) -> Option<Vec<(Unit, Reply)>> {
        let mut now: HashMap<String, (u64, Value)> = HashMap::new();
        let mut wanted: Vec<String> = failed.clone();
        if uncertain {
            wanted.extend(
                batch
                    .iter()
                    .flat_map(|(u, _)| u.changes.iter().map(|c| c.0.clone())),
            );
        }
        wanted.sort();
        wanted.dedup();
        for key in &wanted {
            loop {
                if self.is_over() {
                    return Some(batch);
                }
                match self.store.get(key).await {
                    Ok(Ok(item)) => {
                        now.insert(key.clone(), (item.version, item.value));
                        break;
                    }
                    Ok(Err(_)) => {
                        now.insert(key.clone(), (0, Value::Null));
                        break;
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(150)).await,
                }
            }
        }
        if uncertain {
            let mut revision = None;
            let ours = batch.iter().flat_map(|(u, _)| &u.changes).all(|(key, value)| {
                let Some((version, found)) = now.get(key) else {
                    return false;
                };
                match value {
                    Some(v) => {
                        let same = found == v && *revision.get_or_insert(*version) == *version;
                        same && *version > 0
                    }
                    None => *version == 0,
                }
            });
            if let (true, Some(revision)) = (ours, revision) {
                self.applied(batch, revision);
                return None;
            }
        }
        let mut rest = Vec::new();
        {
            let mut s = self.state.lock();
            for (key, (version, _)) in &now {
                if *version == 0 {
                    s.versions.remove(key);
                } else {
                    s.versions.insert(key.clone(), *version);
                }
            }
        }
        for (unit, reply) in batch {
            let hit: Vec<String> = unit.keys().filter(|k| failed.contains(k)).cloned().collect();
            if hit.is_empty() {
                rest.push((unit, reply));
            } else {
                info!(keys = ?hit, "keys were not as expected");
                let _ = reply.send(Err(CommitError::Conflict(hit)));
            }
        }
        Some(rest)
    }
}

fn weight(v: Option<&Value>) -> usize {
    match v {
        None => 16,
        Some(Value::String(s)) => s.len() + 2,
        Some(Value::Array(a)) => a.iter().map(|v| weight(Some(v)) + 1).sum::<usize>() + 2,
        Some(Value::Object(o)) => {
            o.iter()
                .map(|(k, v)| k.len() + 4 + weight(Some(v)))
                .sum::<usize>()
                + 2
        }
        Some(_) => 20,
    }
}
