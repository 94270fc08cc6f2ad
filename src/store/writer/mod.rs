//! Group commit of one leader term: combines the leader's writes into as few
//! transactions of the state service as its limits allow.
//!
//! * [`Writer`] accepts the writes of one term and ends with it. Only the leader of the
//!   term uses it.
//! * `state` holds the queue, the known versions of keys and the keys in flight, all
//!   behind one lock, and selects the writes of the next batch.
//! * `batch` holds a batch of writes and the size limits, `transaction` builds the
//!   transaction that executes it.
//! * `send` sends a batch until its outcome is known, and splits one that is rejected.
//! * `resolve` handles a transaction whose conditions did not hold: it tells an earlier
//!   attempt that was executed without an answer from a change by another writer.

mod batch;
mod resolve;
mod send;
mod state;
mod transaction;

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

use self::batch::{Batch, QueuedWrite};
use self::state::WriterState;
use super::Store;
use crate::core::storage::atomic_write::AtomicWrite;
use crate::wire::Condition;

/// Why a write was not committed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// The term has ended. The write may have been executed if it was in flight.
    #[error("the term has ended")]
    TermEnded,
    /// The write was rejected, for its size or another reason that a retry doesn't
    /// change. An earlier attempt that was not answered may still have been executed.
    #[error("rejected by the state service")]
    Rejected,
    /// The conditions on these keys of the write did not hold: as a rule another writer has
    /// changed them, and the write was not executed. It may have been executed only by an
    /// earlier attempt that was not answered, which goes unnoticed if the whole batch
    /// deletes or another writer has changed its keys since.
    #[error("keys changed by another writer: {0:?}")]
    Conflict(Vec<String>),
}

/// Share of the change budget's burst that other writes leave to urgent ones, see
/// [`AtomicWrite::urgent`].
pub const URGENT_RESERVE: f64 = 0.3;

/// Group commit of one term: writes are queued while earlier ones are in flight, then
/// combined into as few transactions as the limits allow. Every transaction is
/// conditional on the versions of the leader's key and of each key that it changes, so
/// that a delayed copy of it can't be executed once one of these keys has changed.
#[derive(Debug)]
pub struct Writer {
    store: Arc<Store>,
    term: u64,
    leader_key: &'static str,
    state: Mutex<WriterState>,
    /// Wakes [`Writer::run`]: a write was queued, a transaction has finished, or the term
    /// has ended.
    wake: Notify,
}

impl Writer {
    /// Creates the writer of the term in which `leader_key` has the version `term`.
    /// Writes are combined up to `max_changes` puts and deletes per transaction.
    pub fn new(store: Arc<Store>, leader_key: &'static str, term: u64, max_changes: usize) -> Arc<Self> {
        Arc::new(Self {
            store,
            term,
            leader_key,
            state: Mutex::new(WriterState::new(max_changes)),
            wake: Notify::new(),
        })
    }

    /// Sets the version that a key has in the state service, 0 if it does not exist.
    /// The next write of the key is conditional on it.
    pub fn set_known_version(&self, key: &str, version: u64) {
        self.state.lock().set_version(key, version);
    }

    /// Whether the term has ended.
    pub fn has_ended(&self) -> bool {
        self.state.lock().has_ended()
    }

    /// Ends the term: nothing more is sent, and queued writes fail.
    pub fn end(&self) {
        let mut state = self.state.lock();
        state.end();
        drop(state);
        self.wake.notify_one();
    }

    /// Number of puts and deletes in the urgent writes at the head of the queue, which are
    /// not in flight.
    pub fn queued_urgent_changes(&self) -> usize {
        self.state.lock().queued_urgent_changes()
    }

    /// Commits a write; returns once it is stored or has failed. Writes of the same
    /// key are executed in the order of these calls, except that an urgent one overtakes
    /// queued ones that are not urgent.
    pub async fn commit(&self, write: AtomicWrite) -> Result<(), CommitError> {
        let (queued, outcome) = QueuedWrite::new(write);
        {
            let mut state = self.state.lock();
            if state.has_ended() {
                return Err(CommitError::TermEnded);
            }
            state.enqueue(queued);
        }
        self.wake.notify_one();
        outcome.await.unwrap_or(Err(CommitError::TermEnded))
    }

    /// Sends queued writes until the term ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.wake.notified().await;
            if self.has_ended() {
                return;
            }
            while let Some(batch) = self.next_batch() {
                let writer = self.clone();
                // A task of its own: if this loop is aborted, the transactions in flight
                // still finish, and their callers learn the outcome.
                tokio::spawn(async move {
                    writer.send_batch(batch).await;
                    writer.wake.notify_one();
                });
            }
        }
    }

    fn next_batch(&self) -> Option<Batch> {
        self.state.lock().take_batch()
    }

    /// The condition that this controller still leads in this term.
    fn leader_condition(&self) -> Condition {
        Condition {
            key: self.leader_key.to_owned(),
            version: self.term,
        }
    }
}
