//! What tests may read of the state service.

use std::collections::BTreeMap;

use bitternfold::wire::*;
use serde_json::Value;

use super::{LateOutcomes, State};

impl State {
    /// Transactions that were refused for their size.
    pub fn too_large(&self) -> u32 {
        self.0.lock().too_large
    }

    /// The largest value, and the most changes of a transaction, carried out so far.
    pub fn largest_written(&self) -> (usize, usize) {
        let d = self.0.lock();
        let puts = d.carried_out.iter().flat_map(|t| &t.changes);
        let bytes = puts.map(|c| match c {
            Change::Put { value, .. } => value.to_string().len(),
            Change::Delete { .. } => 0,
        });
        let ops = d.carried_out.iter().map(|t| t.changes.len());
        (bytes.max().unwrap_or(0), ops.max().unwrap_or(0))
    }

    /// How often a key was put.
    pub fn puts_of(&self, key: &str) -> usize {
        let d = self.0.lock();
        let puts = d.carried_out.iter().flat_map(|t| &t.changes);
        puts.filter(|c| matches!(c, Change::Put { put, .. } if put == key))
            .count()
    }

    /// A key's value.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.0.lock().keys.get(key).map(|k| k.0.clone())
    }

    /// Whether the write-ahead log names this.
    pub fn log_names(&self, what: &str) -> bool {
        let data = self.0.lock();
        let mut log = data.keys.iter().filter(|(key, _)| key.starts_with("wal/"));
        log.any(|(_, (value, ..))| value.to_string().contains(what))
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.0.lock().keys.contains_key(key)
    }

    /// The name of the leader, if there is one.
    pub fn leader(&self) -> Option<String> {
        let d = self.0.lock();
        d.keys
            .get("leader")
            .and_then(|(v, ..)| Some(v["host"].as_str()?.to_owned()))
    }

    /// How often a single key was read.
    pub fn reads(&self) -> u64 {
        self.0.lock().reads
    }

    /// Keys and their revisions.
    pub fn revisions(&self) -> BTreeMap<String, u64> {
        let d = self.0.lock();
        d.keys.iter().map(|(k, v)| (k.clone(), v.1)).collect()
    }

    /// What became of the late transactions so far.
    pub fn late_outcomes(&self) -> LateOutcomes {
        self.0.lock().late_outcomes
    }
}
