//! The state of the service that tests read.

use std::collections::BTreeMap;

use bitternfold::wire::*;
use serde_json::Value;

use super::{LateOutcomes, StateService};

impl StateService {
    /// The number of transactions that were refused for their size.
    pub fn oversized_transactions(&self) -> u32 {
        self.0.lock().oversized_transactions
    }

    /// The bytes of the largest value and the highest number of changes of a transaction,
    /// among the transactions applied so far.
    pub fn largest_written(&self) -> (usize, usize) {
        let data = self.0.lock();
        let changes = data.applied.iter().flat_map(|transaction| &transaction.changes);
        let value_bytes = changes.map(|change| match change {
            Change::Put { value, .. } => value.to_string().len(),
            Change::Delete { .. } => 0,
        });
        let change_counts = data.applied.iter().map(|transaction| transaction.changes.len());
        (value_bytes.max().unwrap_or(0), change_counts.max().unwrap_or(0))
    }

    /// How often a key was put by transactions.
    pub fn put_count(&self, key: &str) -> usize {
        let data = self.0.lock();
        let changes = data.applied.iter().flat_map(|transaction| &transaction.changes);
        changes
            .filter(|change| matches!(change, Change::Put { put, .. } if put == key))
            .count()
    }

    /// The value of a key, if the key exists.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.0.lock().keys.get(key).map(|stored| stored.0.clone())
    }

    /// Whether any segment of the write-ahead log contains this text.
    pub fn log_contains(&self, text: &str) -> bool {
        let data = self.0.lock();
        let mut segments = data.keys.iter().filter(|(key, _)| key.starts_with("wal/"));
        segments.any(|(_, (value, ..))| value.to_string().contains(text))
    }

    /// Whether a key exists.
    pub fn has_key(&self, key: &str) -> bool {
        self.0.lock().keys.contains_key(key)
    }

    /// The host name of the leader, if there is a leader.
    pub fn leader(&self) -> Option<String> {
        let data = self.0.lock();
        data.keys
            .get("leader")
            .and_then(|(value, ..)| Some(value["host"].as_str()?.to_owned()))
    }

    /// The number of requests that read a single key.
    pub fn key_reads(&self) -> u64 {
        self.0.lock().key_reads
    }

    /// The number of requests that list or watch the keys with this prefix.
    pub fn range_reads(&self, prefix: &str) -> u64 {
        self.0.lock().range_reads.get(prefix).copied().unwrap_or(0)
    }

    /// All keys with the revisions of their latest changes.
    pub fn revisions(&self) -> BTreeMap<String, u64> {
        let data = self.0.lock();
        data.keys
            .iter()
            .map(|(key, stored)| (key.clone(), stored.1))
            .collect()
    }

    /// How many late transactions failed and how many were applied so far.
    pub fn late_outcomes(&self) -> LateOutcomes {
        self.0.lock().late_outcomes
    }
}
