//! Queued writes, and which of them go together in one transaction.

use serde_json::Value;
use tokio::sync::oneshot;

use super::CommitError;
use crate::core::storage::atomic_write::AtomicWrite;

/// Bytes of keys and values in one transaction, below the protocol's 64 KiB.
const MAX_BYTES: usize = 48 * 1024;
/// The protocol takes so many conditions for each change that it takes.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Estimated bytes of a deletion beside its key.
const DELETION_BYTES: usize = 16;
/// Estimated bytes of a number, a boolean or null.
const SCALAR_BYTES: usize = 20;

type Outcome = Result<(), CommitError>;

/// A write whose caller waits for its outcome.
#[derive(Debug)]
pub(super) struct QueuedWrite {
    pub(super) write: AtomicWrite,
    reply: oneshot::Sender<Outcome>,
}

impl QueuedWrite {
    /// A write, and where its outcome arrives.
    pub(super) fn new(write: AtomicWrite) -> (Self, oneshot::Receiver<Outcome>) {
        let (reply, outcome) = oneshot::channel();
        (Self { write, reply }, outcome)
    }

    /// Returns the outcome to the caller. A caller that has given up is no failure.
    pub(super) fn finish(self, outcome: Outcome) {
        let _ = self.reply.send(outcome);
    }
}

/// Writes that go in one transaction, all urgent or none.
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

    /// Whether users wait for it.
    pub(super) fn is_urgent(&self) -> bool {
        self.writes.first().is_some_and(|queued| queued.write.urgent)
    }

    pub(super) fn push(&mut self, queued: QueuedWrite) {
        self.writes.push(queued);
    }

    pub(super) fn writes(&self) -> impl Iterator<Item = &AtomicWrite> {
        self.writes.iter().map(|queued| &queued.write)
    }

    /// The keys that its writes name, some maybe more than once.
    pub(super) fn keys(&self) -> impl Iterator<Item = &String> {
        self.writes().flat_map(AtomicWrite::keys)
    }

    /// Keys and their new values (`None`: to be deleted).
    pub(super) fn changes(&self) -> impl Iterator<Item = &(String, Option<Value>)> {
        self.writes().flat_map(|write| &write.changes)
    }

    /// Splits the later half off.
    pub(super) fn split_off_half(&mut self) -> Batch {
        let writes = self.writes.split_off(self.writes.len() / 2);
        Batch { writes }
    }

    /// Lets all its writes fail.
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

/// What a transaction holds, in the units of its limits.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransactionSize {
    changes: usize,
    conditions: usize,
    /// Of keys and values, estimated.
    bytes: usize,
}

impl TransactionSize {
    /// A transaction of the leader's condition alone.
    pub(super) const EMPTY: Self = Self {
        changes: 0,
        conditions: 1,
        bytes: 0,
    };

    /// With one write more.
    pub(super) fn with(self, write: &AtomicWrite) -> Self {
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

    /// Whether a transaction of one write may have this size. One that is larger
    /// than the limits on changes and bytes is sent all the same: the state service
    /// decides.
    pub(super) fn fits_alone(self, max_changes: usize) -> bool {
        self.conditions <= max_changes * CONDITIONS_PER_CHANGE
    }

    /// Whether a transaction of several writes may have this size.
    pub(super) fn fits(self, max_changes: usize) -> bool {
        self.changes <= max_changes && self.fits_alone(max_changes) && self.bytes <= MAX_BYTES
    }
}

/// About how long a value is as JSON; `None` is a deletion.
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
