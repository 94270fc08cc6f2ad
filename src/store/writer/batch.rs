//! Queued writes, batches of them, and the size limits of a batch's transaction.

use serde_json::Value;
use tokio::sync::oneshot;

use super::CommitError;
use crate::core::storage::atomic_write::AtomicWrite;

/// Limit on the estimated bytes of keys and values in one transaction, below the
/// protocol's 64 KiB.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;
/// The protocol allows this many conditions for each change that it allows.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;
/// Estimated bytes of a deletion, without its key.
const DELETION_BYTES: usize = 16;
/// Estimated bytes of a number, a boolean or null.
const SCALAR_BYTES: usize = 20;

type CommitResult = Result<(), CommitError>;

/// A write, and the channel on which its caller waits for the outcome.
#[derive(Debug)]
pub(super) struct QueuedWrite {
    pub(super) write: AtomicWrite,
    reply: oneshot::Sender<CommitResult>,
}

impl QueuedWrite {
    /// Creates a queued write, and the receiver of its outcome.
    pub(super) fn new(write: AtomicWrite) -> (Self, oneshot::Receiver<CommitResult>) {
        let (reply, outcome) = oneshot::channel();
        (Self { write, reply }, outcome)
    }

    /// Reports the outcome to the caller, unless it has stopped waiting.
    pub(super) fn finish(self, outcome: CommitResult) {
        let _ = self.reply.send(outcome);
    }
}

/// Writes that are sent in one transaction. Either all of them are urgent, or none.
#[derive(Debug, Default)]
pub(super) struct Batch {
    writes: Vec<QueuedWrite>,
}

impl Batch {
    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.writes.len()
    }

    /// Whether its writes are urgent; false for an empty batch.
    pub(super) fn is_urgent(&self) -> bool {
        self.writes.first().is_some_and(|queued| queued.write.urgent)
    }

    pub(super) fn push(&mut self, queued: QueuedWrite) {
        self.writes.push(queued);
    }

    pub(super) fn writes(&self) -> impl Iterator<Item = &AtomicWrite> {
        self.writes.iter().map(|queued| &queued.write)
    }

    /// The keys that its writes change or require to be absent; may contain duplicates.
    pub(super) fn keys(&self) -> impl Iterator<Item = &String> {
        self.writes().flat_map(AtomicWrite::keys)
    }

    /// The changed keys and their new values; `None` deletes the key.
    pub(super) fn changes(&self) -> impl Iterator<Item = &(String, Option<Value>)> {
        self.writes().flat_map(|write| &write.changes)
    }

    /// Removes the later half of the writes, and returns it.
    pub(super) fn split_off_half(&mut self) -> Batch {
        let writes = self.writes.split_off(self.writes.len() / 2);
        Batch { writes }
    }

    /// Fails all its writes with `error`.
    pub(super) fn fail(self, error: &CommitError) {
        for queued in self.writes {
            queued.finish(Err(error.clone()));
        }
    }
}

impl IntoIterator for Batch {
    type Item = QueuedWrite;
    type IntoIter = std::vec::IntoIter<QueuedWrite>;

    fn into_iter(self) -> Self::IntoIter {
        self.writes.into_iter()
    }
}

/// Size of a transaction, in the units of the limits.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransactionSize {
    changes: usize,
    conditions: usize,
    /// Estimated bytes of keys and values.
    bytes: usize,
}

impl TransactionSize {
    /// A transaction that contains only the condition on the leader's key.
    pub(super) const EMPTY: Self = Self {
        changes: 0,
        conditions: 1,
        bytes: 0,
    };

    /// The size after one more write is added.
    pub(super) fn with_write(self, write: &AtomicWrite) -> Self {
        let bytes: usize = write
            .changes
            .iter()
            .map(|(key, value)| key.len() + estimated_bytes(value.as_ref()))
            .sum();
        Self {
            changes: self.changes + write.changes.len(),
            conditions: self.conditions + write.changes.len() + write.absent.len(),
            bytes: self.bytes + bytes,
        }
    }

    /// Whether a single write of this size may be sent. Only the limit on conditions
    /// applies: a write that exceeds the limits on changes or bytes can't be split, so it
    /// is sent anyway, and is rejected if it is too large.
    pub(super) fn fits_alone(self, max_changes: usize) -> bool {
        self.conditions <= max_changes * MAX_CONDITIONS_PER_CHANGE
    }

    /// Whether several writes of this total size may be sent together.
    pub(super) fn fits(self, max_changes: usize) -> bool {
        self.changes <= max_changes && self.fits_alone(max_changes) && self.bytes <= MAX_TRANSACTION_BYTES
    }
}

/// Estimated length of a value as JSON, in bytes; `None` is a deletion.
fn estimated_bytes(value: Option<&Value>) -> usize {
    match value {
        None => DELETION_BYTES,
        Some(Value::String(text)) => text.len() + 2,
        Some(Value::Array(items)) => {
            items
                .iter()
                .map(|item| estimated_bytes(Some(item)) + 1)
                .sum::<usize>()
                + 2
        }
        Some(Value::Object(fields)) => {
            fields
                .iter()
                .map(|(name, field)| name.len() + 4 + estimated_bytes(Some(field)))
                .sum::<usize>()
                + 2
        }
        Some(_) => SCALAR_BYTES,
    }
}
