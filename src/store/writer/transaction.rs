//! Builds the transaction that executes a batch.

use serde_json::Value;

use super::batch::Batch;
use super::state::WriterState;
use super::Writer;
use crate::core::storage::atomic_write::AtomicWrite;
use crate::wire::{Change, Condition, Transaction};

impl Writer {
    /// Builds the transaction that executes a batch, conditional on the leader's key and
    /// on the versions known now.
    pub(super) fn build_transaction(&self, batch: &Batch) -> Transaction {
        let state = self.state.lock();
        let mut transaction = Transaction {
            conditions: vec![self.leader_condition()],
            changes: Vec::new(),
        };
        for write in batch.writes() {
            add_write(&mut transaction, write, &state);
        }
        transaction
    }
}

/// Adds the conditions and changes of one write.
fn add_write(transaction: &mut Transaction, write: &AtomicWrite, state: &WriterState) {
    for (key, value) in &write.changes {
        let version = if write.absent.contains(key) {
            0
        } else {
            state.version(key)
        };
        transaction.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        transaction
            .changes
            .extend(build_change(key, value.as_ref(), version));
    }
    let unchanged = |key: &&String| write.changes.iter().all(|(changed, _)| changed != *key);
    for key in write.absent.iter().filter(unchanged) {
        transaction.conditions.push(Condition {
            key: key.clone(),
            version: 0,
        });
    }
}

/// The put or delete of a key; `None` for the deletion of a key that does not exist
/// (version 0).
fn build_change(key: &str, value: Option<&Value>, version: u64) -> Option<Change> {
    match value {
        Some(value) => Some(Change::Put {
            put: key.to_owned(),
            value: value.clone(),
            lease: None,
        }),
        None if version > 0 => Some(Change::Delete {
            delete: key.to_owned(),
        }),
        None => None,
    }
}
