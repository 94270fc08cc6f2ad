//! Stores the model's writes in the state service, and reports their outcomes to the
//! model.

use std::time::Instant;

use tracing::{debug, info};

use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::pending_writes::PendingWrite;
use crate::core::storage::record;
use crate::core::storage::wal::LogAppend;
use crate::store::writer::CommitError;

use super::ActiveLeader;

impl ActiveLeader {
    /// Stores a write that a round decided, then reports its outcome to the model. An
    /// append to the write-ahead log that fails ends the term.
    pub(super) async fn store_write(&self, write: PendingWrite) {
        let result = self.commit_write(&write).await;
        if let Err(CommitError::Conflict(keys)) = &result {
            info!(?keys, "write failed: its keys do not have the expected versions");
        }
        if result.is_err() && matches!(write, PendingWrite::Append(_)) {
            // No other writer may change the log during this term. After a failed append
            // its content is in doubt, and only the next term reads it again.
            return self.end_term();
        }
        let stored = result.is_ok();
        if let (true, PendingWrite::Final { id, record, .. }) = (stored, &write) {
            // Kept before the job leaves the model, as a poll in between would find it
            // neither there nor here.
            self.controller.final_states().insert(*id, record.clone());
            debug!(job = %id, state = ?record.state, "job's final state stored");
        }
        self.model.lock().write_finished(&write, stored, Instant::now());
        self.request_round();
    }

    async fn commit_write(&self, write: &PendingWrite) -> Result<(), CommitError> {
        let result = self.writer.commit(write.to_atomic_write()).await;
        match (&result, write) {
            (Err(CommitError::Rejected), PendingWrite::Append(append)) => self.commit_in_order(append).await,
            _ => result,
        }
    }

    /// Stores the segments of an append one by one after it was rejected as a whole: the
    /// state service may take fewer changes at once than the settings say. Deletions come
    /// last in an append, so that the log never lacks a live entry.
    async fn commit_in_order(&self, append: &LogAppend) -> Result<(), CommitError> {
        for (number, value) in &append.segments {
            let segment = AtomicWrite {
                changes: vec![(record::segment_key(*number), value.clone())],
                absent: Vec::new(),
                urgent: false,
            };
            self.writer.commit(segment).await?;
        }
        Ok(())
    }
}
