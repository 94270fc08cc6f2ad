//! Writes of the model to the state service, and what follows once they are
//! stored or refused.

use std::time::Instant;

use tracing::{debug, info};

use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::pending_writes::PendingWrite;
use crate::core::storage::record;
use crate::core::storage::wal::LogAppend;
use crate::store::writer::CommitError;

use super::ActiveLeader;

impl ActiveLeader {
    /// Stores a write that a round decided, then enters its outcome into the
    /// model. An append to the write-ahead log that fails ends the term.
    pub(super) async fn store_write(&self, write: PendingWrite) {
        let result = self.commit_write(&write).await;
        if let Err(CommitError::Conflict(keys)) = &result {
            info!(?keys, "a write met a changed key");
        }
        if result.is_err() && matches!(write, PendingWrite::Append(_)) {
            // The log belongs to this term alone: its content is in doubt now,
            // and the next term reads it afresh.
            return self.end();
        }
        let stored = result.is_ok();
        if let (true, PendingWrite::Final { id, record, .. }) = (stored, &write) {
            // Before the job leaves the model, or a poll in between would find
            // it in neither.
            self.controller.terminal_states().keep(*id, record.clone());
            debug!(job = %id, state = ?record.state, "finished");
        }
        self.model.lock().write_finished(&write, stored, Instant::now());
        self.request_round();
    }

    async fn commit_write(&self, write: &PendingWrite) -> Result<(), CommitError> {
        let result = self.writer.commit(write.to_atomic_write()).await;
        match (&result, write) {
            (Err(CommitError::Refused), PendingWrite::Append(append)) => self.commit_in_order(append).await,
            _ => result,
        }
    }

    /// Stores an append that was refused as a whole, one segment after the other:
    /// the state service may take fewer changes at once than was announced.
    /// Deletions come last, so that the log never lacks a live entry.
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
