//! Group commit of one term: what the leader writes, in as few transactions as the
//! limits allow, each guarded by the leader's key.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::{oneshot, Notify};
use tracing::{debug, info};

use super::{KeyRead, Store, StoreError};
use crate::core::storage::atomic_write::AtomicWrite;
use crate::wire::{Change, Condition, Transaction};

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

type Reply = oneshot::Sender<Result<(), CommitError>>;

#[derive(Debug, Default)]
struct WriterState {
    versions: HashMap<String, u64>,
    queue: VecDeque<(AtomicWrite, Reply)>,
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
pub const URGENT_RESERVE: f64 = 0.3;
/// Bytes of values in one transaction, below the protocol's 64 KiB.
const MAX_BYTES: usize = 48 * 1024;

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
    pub fn set_known_version(&self, key: &str, version: u64) {
        let mut s = self.state.lock();
        if version == 0 {
            s.versions.remove(key);
        } else {
            s.versions.insert(key.to_owned(), version);
        }
    }

    /// Whether the term is over.
    pub fn has_ended(&self) -> bool {
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
    pub fn queued_urgent_changes(&self) -> usize {
        let s = self.state.lock();
        let urgent = s.queue.iter().take_while(|(u, _)| u.urgent);
        urgent.map(|(u, _)| u.changes.len()).sum()
    }

    /// Commits a unit; returns once it is stored.
    pub async fn commit(&self, unit: AtomicWrite) -> Result<(), CommitError> {
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
            if self.has_ended() {
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
    fn next_batch(&self) -> Option<Vec<(AtomicWrite, Reply)>> {
        let mut s = self.state.lock();
        if s.in_flight >= LANES || s.over {
            return None;
        }
        let mut batch: Vec<(AtomicWrite, Reply)> = Vec::new();
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
                && (batch.is_empty() || bytes + size <= MAX_BYTES);
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

    fn transaction(&self, batch: &[(AtomicWrite, Reply)]) -> Transaction {
        let s = self.state.lock();
        let mut t = Transaction {
            conditions: vec![Condition {
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
                t.conditions.push(Condition {
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
                t.conditions.push(Condition {
                    key: key.clone(),
                    version: 0,
                });
            }
        }
        t
    }

    async fn send(&self, mut batch: Vec<(AtomicWrite, Reply)>) {
        let mut keys: Vec<String> = batch.iter().flat_map(|(u, _)| u.keys().cloned()).collect();
        let mut uncertain = false;
        while !batch.is_empty() && !self.has_ended() {
            let t = self.transaction(&batch);
            let reserve = if batch[0].0.urgent { 0.0 } else { URGENT_RESERVE };
            let patience = Duration::from_millis(1200);
            match self.store.transact_above_reserve(&t, patience, reserve).await {
                Ok(revision) => {
                    self.applied(batch, revision);
                    batch = Vec::new();
                }
                Err(StoreError::Conflict { failed_keys: failed })
                    if failed.iter().any(|k| k == self.leader_key) =>
                {
                    info!(term = self.term, "a write was refused: another leads");
                    self.end();
                }
                Err(StoreError::Conflict { failed_keys: failed }) => {
                    if let Some(rest) = self.resolve(batch, failed, uncertain).await {
                        batch = rest;
                    } else {
                        batch = Vec::new();
                    }
                    uncertain = false;
                }
                Err(StoreError::Unanswered { .. }) => {
                    uncertain = true;
                    debug!("a write was not answered, trying again");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                Err(StoreError::Unavailable { .. }) => tokio::time::sleep(Duration::from_millis(150)).await,
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
    fn requeue_half(&self, mut batch: Vec<(AtomicWrite, Reply)>) -> Vec<(AtomicWrite, Reply)> {
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

    fn applied(&self, batch: Vec<(AtomicWrite, Reply)>, revision: u64) {
        let mut s = self.state.lock();
        for (unit, reply) in batch {
            for (key, value) in unit.changes {
                // Final records are written once; their versions aren't kept.
                if value.is_some() && !key.starts_with(crate::core::storage::record::FINALS) {
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
        batch: Vec<(AtomicWrite, Reply)>,
        failed: Vec<String>,
        uncertain: bool,
    ) -> Option<Vec<(AtomicWrite, Reply)>> {
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
                if self.has_ended() {
                    return Some(batch);
                }
                match self.store.get(key).await {
                    Ok(KeyRead::Found(item)) => {
                        now.insert(key.clone(), (item.version, item.value));
                        break;
                    }
                    Ok(KeyRead::Missing { .. }) => {
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
