//! The queue of writes, the keys in flight, and the known versions of keys.

use std::collections::{HashMap, HashSet, VecDeque};

use super::batch::{Batch, QueuedWrite, TransactionSize};
use super::CommitError;
use crate::core::storage::record::FINAL_PREFIX;

/// Limit on the transactions in flight at once.
const MAX_TRANSACTIONS_IN_FLIGHT: usize = 4;
/// Lower bound of `max_changes`: a final state takes this many changes in one transaction.
const MIN_MAX_CHANGES: usize = 2;

/// State of a writer, behind its lock.
#[derive(Debug)]
pub(super) struct WriterState {
    /// Known versions of keys; a key without an entry is assumed not to exist.
    versions: HashMap<String, u64>,
    /// Urgent writes first, then the others, both in the order of arrival;
    /// [`Self::put_back`] inserts before all of them.
    queue: VecDeque<QueuedWrite>,
    /// Keys of the writes in flight. Other writes of these keys wait.
    keys_in_flight: HashSet<String>,
    transactions_in_flight: usize,
    term_ended: bool,
    /// Writes are combined up to this many puts and deletes per transaction.
    max_changes: usize,
}

impl WriterState {
    pub(super) fn new(max_changes: usize) -> Self {
        Self {
            versions: HashMap::new(),
            queue: VecDeque::new(),
            keys_in_flight: HashSet::new(),
            transactions_in_flight: 0,
            term_ended: false,
            max_changes,
        }
    }

    /// Sets a key's version, 0 if it does not exist.
    pub(super) fn set_version(&mut self, key: &str, version: u64) {
        if version == 0 {
            self.versions.remove(key);
        } else {
            self.versions.insert(key.to_owned(), version);
        }
    }

    /// A key's version, 0 if it is not known to exist.
    pub(super) fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.term_ended
    }

    /// Ends the term and fails the queued writes.
    pub(super) fn end(&mut self) {
        self.term_ended = true;
        for queued in self.queue.drain(..) {
            queued.finish(Err(CommitError::TermEnded));
        }
    }

    fn queued_urgent(&self) -> impl Iterator<Item = &QueuedWrite> {
        self.queue.iter().take_while(|queued| queued.write.urgent)
    }

    pub(super) fn queued_urgent_changes(&self) -> usize {
        self.queued_urgent()
            .map(|queued| queued.write.changes.len())
            .sum()
    }

    /// Queues an urgent write behind the urgent ones at the head, any other at the end.
    pub(super) fn enqueue(&mut self, queued: QueuedWrite) {
        let position = if queued.write.urgent {
            self.queued_urgent().count()
        } else {
            self.queue.len()
        };
        self.queue.insert(position, queued);
    }

    /// Takes writes from the queue that may be sent in one transaction now, and counts
    /// them as in flight. Writes that share a key keep their order.
    pub(super) fn take_batch(&mut self) -> Option<Batch> {
        if self.transactions_in_flight >= MAX_TRANSACTIONS_IN_FLIGHT || self.term_ended {
            return None;
        }
        let batch = self.collect_batch();
        if batch.is_empty() {
            return None;
        }
        self.keys_in_flight.extend(batch.keys().cloned());
        self.transactions_in_flight += 1;
        Some(batch)
    }

    fn collect_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        let mut size = TransactionSize::EMPTY;
        // Keys of the batch and of writes that were passed over. Later writes that name
        // one of them stay in the queue, so that writes of a key keep their order.
        let mut reserved_keys = HashSet::new();
        let mut position = 0;
        while position < self.queue.len() {
            let write = &self.queue[position].write;
            let extended = size.with_write(write);
            let fits = if batch.is_empty() {
                extended.fits_alone(self.max_changes)
            } else {
                // Other writes have to wait while only the reserve is left; urgent ones
                // must not wait with them.
                batch.is_urgent() == write.urgent && extended.fits(self.max_changes)
            };
            let is_sendable =
                fits && !write.uses_any(&self.keys_in_flight) && !write.uses_any(&reserved_keys);
            reserved_keys.extend(write.keys().cloned());
            if !is_sendable {
                position += 1;
                continue;
            }
            let queued = self
                .queue
                .remove(position)
                .expect("the position is below the length");
            size = extended;
            batch.push(queued);
        }
        batch
    }

    /// Moves part of a batch in flight back to the head of the queue.
    pub(super) fn put_back(&mut self, batch: Batch) {
        self.release_keys(batch.keys());
        for queued in batch.into_iter().rev() {
            self.queue.push_front(queued);
        }
    }

    /// Ends a transaction, whatever its outcome, and releases its keys to other writes.
    pub(super) fn finish_transaction(&mut self, keys: &[String]) {
        self.release_keys(keys.iter());
        self.transactions_in_flight -= 1;
    }

    fn release_keys<'a>(&mut self, keys: impl Iterator<Item = &'a String>) {
        for key in keys {
            self.keys_in_flight.remove(key);
        }
    }

    /// Limits later transactions to `changes` puts and deletes, but never below
    /// [`MIN_MAX_CHANGES`]. Never raises the limit.
    pub(super) fn lower_max_changes(&mut self, changes: usize) {
        self.max_changes = self.max_changes.min(changes.max(MIN_MAX_CHANGES));
    }

    /// Records that a batch was stored at `revision`: updates the known versions, and
    /// reports success to the callers.
    pub(super) fn record_stored(&mut self, batch: Batch, revision: u64) {
        for mut queued in batch {
            for (key, value) in std::mem::take(&mut queued.write.changes) {
                // Final records are written only once, so their versions aren't kept.
                if value.is_some() && !key.starts_with(FINAL_PREFIX) {
                    self.versions.insert(key, revision);
                } else {
                    self.versions.remove(&key);
                }
            }
            queued.finish(Ok(()));
        }
    }
}
