//! The data of the state service, the faults that are injected and the observations.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use bitternfold::wire::*;
use serde_json::Value;

/// Fault: every `every`-th transaction is carried out after `delay`, and its response comes
/// too late for its sender.
#[derive(Clone, Copy)]
pub struct LateWrites {
    pub every: u64,
    pub delay: Duration,
}

/// How many late transactions failed and how many were applied.
#[derive(Clone, Copy, Default)]
pub struct LateOutcomes {
    /// Transactions that got another status than 200, such as when a condition didn't hold.
    pub failed: u32,
    /// Transactions that got the status 200.
    pub applied: u32,
}

#[derive(Default)]
pub(super) struct Data {
    pub(super) revision: u64,
    /// The value of each key, the revision of its latest change, and the lease with whose end
    /// it is deleted, if any.
    pub(super) keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// The duration and the expiry time of each lease.
    pub(super) leases: HashMap<u64, (Duration, Instant)>,
    /// The changes of keys that watches report, by revision, oldest first; `None`: the key
    /// was deleted.
    pub(super) changes: Vec<(u64, String, Option<Value>)>,
    /// The id of the lease that was granted last.
    pub(super) last_lease: u64,
    /// Fault: every request gets the status 503, except watches, which wait for its end.
    pub(super) is_down: bool,
    /// Fault: how long every request takes.
    pub(super) latency: Duration,
    /// The number of requests that read a single key.
    pub(super) key_reads: u64,
    /// The number of requests that list keys or watch them, by the prefix of the keys.
    pub(super) range_reads: BTreeMap<String, u64>,
    /// All transactions that were applied, oldest first.
    pub(super) applied: Vec<Transaction>,
    /// Which transactions are carried out late, if any.
    pub(super) late_writes: Option<LateWrites>,
    /// The number of transactions that arrived while `late_writes` was set.
    pub(super) arrived: u64,
    pub(super) late_outcomes: LateOutcomes,
    /// The largest accepted value in bytes and number of changes of a transaction, if limited.
    pub(super) size_limits: Option<(usize, usize)>,
    /// The number of transactions that were refused for these limits.
    pub(super) oversized_transactions: u32,
    /// Fault: this many of the next transactions get the status 429.
    pub(super) rate_limit_next: u32,
    /// Fault: controllers whose requests get the status 503.
    pub(super) refused_controllers: BTreeSet<usize>,
}

impl Data {
    /// Ends a lease and deletes its keys.
    pub(super) fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let expired_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.2 == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired_keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.changes.push((self.revision, key, None));
        }
    }
}
