//! What the state service stores, and what it remembers for tests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use bitternfold::wire::*;
use serde_json::Value;

#[derive(Default)]
pub(super) struct Data {
    pub(super) revision: u64,
    pub(super) keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub(super) holds: HashMap<u64, (Duration, Instant)>,
    pub(super) log: Vec<(u64, String, Option<Value>)>,
    pub(super) next_hold: u64,
    pub(super) down: bool,
    /// Single keys that were read, and transactions that were carried out.
    pub(super) reads: u64,
    pub(super) carried_out: Vec<Transaction>,
    /// Each so-manyth transaction gets no answer and is carried out so late.
    pub(super) late: Option<(u64, Duration)>,
    /// Transactions that came while `late` was set, and those that were late and
    /// then failed by their conditions, or applied after all.
    pub(super) came: u64,
    pub(super) late_outcomes: (u32, u32),
    /// Limits on a value's bytes and a transaction's changes, if it has any, and
    /// how many transactions were refused for them.
    pub(super) size_limits: Option<(usize, usize)>,
    pub(super) too_large: u32,
    /// Refuses so many of the next transactions for their rate.
    pub(super) refuse_for_rate: u32,
    /// Controllers that alone are refused.
    pub(super) refused: BTreeSet<usize>,
}

impl Data {
    pub(super) fn end(&mut self, id: u64) {
        self.holds.remove(&id);
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.2 == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for k in gone {
            self.revision += 1;
            self.keys.remove(&k);
            self.log.push((self.revision, k, None));
        }
    }
}
