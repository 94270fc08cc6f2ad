//! What the state service stores, and what it remembers for tests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use bitternfold::wire::*;
use serde_json::Value;

/// Each `every`-th transaction gets no response and is carried out after the delay.
#[derive(Clone, Copy)]
pub struct LateWrites {
    pub every: u64,
    pub delay: Duration,
}

/// What became of late transactions.
#[derive(Clone, Copy, Default)]
pub struct LateOutcomes {
    /// Those that failed by their conditions.
    pub failed: u32,
    /// Those that were carried out.
    pub applied: u32,
}

#[derive(Default)]
pub(super) struct Data {
    pub(super) revision: u64,
    /// Each key's value, revision, and the lease that it ends with, if any.
    pub(super) keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Each lease's duration and expiry.
    pub(super) leases: HashMap<u64, (Duration, Instant)>,
    /// The changes of keys, with revision; no value: the key was deleted.
    pub(super) log: Vec<(u64, String, Option<Value>)>,
    pub(super) next_lease: u64,
    pub(super) down: bool,
    /// How often a single key was read.
    pub(super) reads: u64,
    /// Transactions that were carried out.
    pub(super) carried_out: Vec<Transaction>,
    /// Which transactions are carried out late, if any.
    pub(super) late: Option<LateWrites>,
    /// Transactions that arrived while `late` was set.
    pub(super) arrived: u64,
    pub(super) late_outcomes: LateOutcomes,
    /// Limits on a value's bytes and a transaction's changes, if it has any.
    pub(super) size_limits: Option<(usize, usize)>,
    /// How many transactions were refused for these limits.
    pub(super) too_large: u32,
    /// Refuses so many of the next transactions for their rate.
    pub(super) refuse_for_rate: u32,
    /// Controllers whose requests are refused, while others are served.
    pub(super) refused: BTreeSet<usize>,
}

impl Data {
    /// Ends a lease and deletes its keys.
    pub(super) fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let expired_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.2 == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for k in expired_keys {
            self.revision += 1;
            self.keys.remove(&k);
            self.log.push((self.revision, k, None));
        }
    }
}
