//! Sends a batch until its outcome is known or the term ends.

use std::time::Duration;

use tokio::time::sleep;
use tracing::{debug, info};

use super::batch::Batch;
use super::{CommitError, Writer, URGENT_RESERVE};
use crate::store::StoreError;

/// Timeout of a transaction, from the moment of sending.
const TRANSACTION_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause before a transaction that was not answered is sent again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(50);
/// Pause before a request is sent again while the state service is unavailable.
pub(super) const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(150);

/// Whether an earlier attempt of a transaction may have been executed. It may if it was
/// not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EarlierAttempt {
    NotExecuted,
    MaybeExecuted,
}

impl Writer {
    /// Sends a batch until its outcome is known or the term ends, and reports the outcome
    /// to the callers of [`Writer::commit`].
    pub(super) async fn send_batch(&self, mut batch: Batch) {
        let mut keys: Vec<String> = batch.keys().cloned().collect();
        let mut earlier_attempt = EarlierAttempt::NotExecuted;
        while !batch.is_empty() && !self.has_ended() {
            let transaction = self.build_transaction(&batch);
            let reserve = if batch.is_urgent() { 0.0 } else { URGENT_RESERVE };
            let sending = self
                .store
                .transact_above_reserve(&transaction, TRANSACTION_TIMEOUT, reserve);
            match sending.await {
                Ok(revision) => {
                    let stored = std::mem::take(&mut batch);
                    self.state.lock().record_stored(stored, revision);
                }
                Err(StoreError::Conflict { failed_keys }) if self.leader_condition_failed(&failed_keys) => {
                    info!(
                        term = self.term,
                        "transaction failed: this controller no longer leads, the term ends"
                    );
                    self.end();
                }
                Err(StoreError::Conflict { failed_keys }) => {
                    batch = self.resolve_conflict(batch, &failed_keys, earlier_attempt).await;
                    // An earlier attempt that is still in flight has at least the
                    // conditions that have just failed, so it fails as well.
                    earlier_attempt = EarlierAttempt::NotExecuted;
                }
                Err(StoreError::Unanswered { .. }) => {
                    earlier_attempt = EarlierAttempt::MaybeExecuted;
                    debug!("transaction not answered, retrying");
                    sleep(UNANSWERED_PAUSE).await;
                }
                Err(StoreError::Unavailable { .. }) => sleep(UNAVAILABLE_PAUSE).await,
                Err(error) if batch.len() > 1 => {
                    // The limits may be lower than announced. This attempt was not
                    // executed, so its writes are sent again in smaller transactions.
                    info!(%error, writes = batch.len(), "transaction rejected, retrying in smaller ones");
                    self.split_batch(&mut batch, transaction.changes.len());
                    keys = batch.keys().cloned().collect();
                }
                Err(error) => {
                    info!(%error, "transaction of a single write rejected, the write fails");
                    std::mem::take(&mut batch).fail(&CommitError::Rejected);
                }
            }
        }
        batch.fail(&CommitError::TermEnded);
        self.state.lock().finish_transaction(&keys);
    }

    /// Whether the condition on the leader's key failed: this controller no longer leads.
    fn leader_condition_failed(&self, failed_keys: &[String]) -> bool {
        failed_keys.iter().any(|key| key == self.leader_key)
    }

    /// Puts the later half of a batch back into the queue, and limits later transactions
    /// to half as many changes as the rejected one had.
    fn split_batch(&self, batch: &mut Batch, rejected_changes: usize) {
        self.state.lock().lower_max_changes(rejected_changes / 2);
        let later = batch.split_off_half();
        self.state.lock().put_back(later);
    }
}
