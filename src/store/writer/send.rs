//! Execution of a batch: sent until its outcome is known or the term ends.

use std::time::Duration;

use tokio::time::sleep;
use tracing::{debug, info};

use super::batch::Batch;
use super::{CommitError, Writer, URGENT_RESERVE};
use crate::store::StoreError;

/// How long a transaction may take once it is sent.
const TRANSACTION_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause after a transaction that was not answered.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(50);
/// Pause while the state service is unavailable.
pub(super) const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(150);

/// Whether an earlier copy of a transaction, one that was not answered, may have been
/// executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EarlierCopy {
    Impossible,
    Possible,
}

impl Writer {
    /// Executes a batch, and returns the outcome to the callers.
    pub(super) async fn send(&self, mut batch: Batch) {
        let mut keys: Vec<String> = batch.keys().cloned().collect();
        let mut earlier_copy = EarlierCopy::Impossible;
        while !batch.is_empty() && !self.has_ended() {
            let transaction = self.transaction(&batch);
            let reserve = if batch.is_urgent() { 0.0 } else { URGENT_RESERVE };
            let sending = self
                .store
                .transact_above_reserve(&transaction, TRANSACTION_TIMEOUT, reserve);
            match sending.await {
                Ok(revision) => {
                    let stored = std::mem::take(&mut batch);
                    self.state.lock().record_stored(stored, revision);
                }
                Err(StoreError::Conflict { failed_keys }) if self.is_deposed_by(&failed_keys) => {
                    info!(term = self.term, "transaction refused: another controller leads");
                    self.end();
                }
                Err(StoreError::Conflict { failed_keys }) => {
                    batch = self.resolve_conflict(batch, &failed_keys, earlier_copy).await;
                    earlier_copy = EarlierCopy::Impossible;
                }
                Err(StoreError::Unanswered { .. }) => {
                    earlier_copy = EarlierCopy::Possible;
                    debug!("transaction not answered, retrying");
                    sleep(UNANSWERED_PAUSE).await;
                }
                Err(StoreError::Unavailable { .. }) => sleep(UNAVAILABLE_PAUSE).await,
                Err(error) if batch.len() > 1 => {
                    // The limits may be lower than was announced. Nothing of it was
                    // executed, so it is sent again in smaller parts.
                    info!(%error, writes = batch.len(), "transaction refused, splitting it");
                    self.shrink(&mut batch, transaction.changes.len());
                    keys = batch.keys().cloned().collect();
                }
                Err(error) => {
                    info!(%error, "transaction refused, its write fails");
                    std::mem::take(&mut batch).fail(&CommitError::Refused);
                }
            }
        }
        batch.fail(&CommitError::Deposed);
        self.state.lock().finish_transaction(&keys);
    }

    fn is_deposed_by(&self, failed_keys: &[String]) -> bool {
        failed_keys.iter().any(|key| key == self.leader_key)
    }

    /// Puts the later half of a batch back into the queue. Later transactions get at
    /// most half as many changes as the one that was refused.
    fn shrink(&self, batch: &mut Batch, refused_changes: usize) {
        self.state.lock().lower_max_changes(refused_changes / 2);
        let later = batch.split_off_half();
        self.state.lock().put_back(later);
    }
}
