//! Group commit of one leader term: what the leader writes goes to the state service
//! in as few transactions as the limits allow.
//!
//! * [`Writer`] takes the writes of one term and ends with it. Only the leader of the
//!   term uses it.
//! * `state` holds the queue, the known versions of keys and what is in flight; all
//!   of it is behind one lock.
//! * `batch` decides which queued writes fit into one transaction, `transaction`
//!   turns them into it.
//! * `send` executes a batch, and splits one that is refused for its size.
//! * `resolve` finds out what became of a transaction that was not answered, or whose
//!   conditions did not hold.

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
    #[error("no longer the leader")]
    Deposed,
    /// The state service won't take it, for its size or otherwise. An earlier copy
    /// of it that was not answered may have been executed all the same.
    #[error("refused by the state service")]
    Refused,
    /// These keys of it were changed by somebody else; it was not executed.
    #[error("keys changed by another: {0:?}")]
    Conflict(Vec<String>),
}

/// Share of the budget of changes that writes which no user waits for leave to those
/// that are urgent.
pub const URGENT_RESERVE: f64 = 0.3;

/// Group commit of one term: writes queue while earlier ones are in flight, then go
/// together in as few transactions as the limits allow. Every transaction has the
/// leader's key and each key it changes among its conditions, so that a late copy of
/// it can't be executed.
#[derive(Debug)]
pub struct Writer {
    store: Arc<Store>,
    term: u64,
    leader_key: &'static str,
    state: Mutex<WriterState>,
    /// Something may be due: a write was queued, a transaction ended, or the term.
    wake: Notify,
}

impl Writer {
    /// A writer of the term in which `leader_key` has the version `term`. A
    /// transaction gets at most `max_changes` puts and deletes.
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
    /// The next write of the key has it as its condition.
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

    /// Puts and deletes of urgent writes that are queued, not yet in flight.
    pub fn queued_urgent_changes(&self) -> usize {
        self.state.lock().queued_urgent_changes()
    }

    /// Commits a write; returns once it is stored or has failed. Writes of the same
    /// key are executed in the order of these calls, except that an urgent one goes
    /// before those in the queue that are not.
    pub async fn commit(&self, write: AtomicWrite) -> Result<(), CommitError> {
        let (queued, outcome) = QueuedWrite::new(write);
        {
            let mut state = self.state.lock();
            if state.has_ended() {
                return Err(CommitError::Deposed);
            }
            state.enqueue(queued);
        }
        self.wake.notify_one();
        outcome.await.unwrap_or(Err(CommitError::Deposed))
    }

    /// Sends what is queued until the term ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.wake.notified().await;
            if self.has_ended() {
                return;
            }
            while let Some(batch) = self.next_batch() {
                let writer = self.clone();
                // Not a task of this loop: a transaction in flight when the loop is
                // aborted runs on, so that those who wait for it learn its outcome.
                tokio::spawn(async move {
                    writer.send(batch).await;
                    writer.wake.notify_one();
                });
            }
        }
    }

    fn next_batch(&self) -> Option<Batch> {
        self.state.lock().take_batch()
    }

    /// Holds as long as this controller leads in this term.
    fn leader_condition(&self) -> Condition {
        Condition {
            key: self.leader_key.to_owned(),
            version: self.term,
        }
    }
}
