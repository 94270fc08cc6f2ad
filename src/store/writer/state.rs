//! The queue of writes, what is in flight, and the versions of keys.

use std::collections::{HashMap, HashSet, VecDeque};

use super::batch::{Batch, QueuedWrite, TransactionSize};
use super::CommitError;
use crate::core::storage::record::FINALS;

/// Transactions in flight at once.
const MAX_IN_FLIGHT: usize = 4;
/// Changes that a transaction may always have: those of a final state.
const MIN_MAX_CHANGES: usize = 2;

/// State of a writer, behind its lock.
#[derive(Debug)]
pub(super) struct WriterState {
    /// Known versions of keys; a key that isn't there is taken not to exist.
    versions: HashMap<String, u64>,
    /// Urgent writes first, each kind in the order of arrival.
    queue: VecDeque<QueuedWrite>,
    /// Keys that transactions in flight name.
    keys_in_flight: HashSet<String>,
    transactions_in_flight: usize,
    term_ended: bool,
    /// Most puts and deletes in a transaction.
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

    /// Ends the term; queued writes fail.
    pub(super) fn end(&mut self) {
        self.term_ended = true;
        for queued in self.queue.drain(..) {
            queued.finish(Err(CommitError::Deposed));
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

    /// Queues a write behind what is as urgent, before what is not.
    pub(super) fn enqueue(&mut self, queued: QueuedWrite) {
        let position = if queued.write.urgent {
            self.queued_urgent().count()
        } else {
            self.queue.len()
        };
        self.queue.insert(position, queued);
    }

    /// Takes writes that may go together now, and counts them as in flight. Writes
    /// that name the same key stay in order.
    pub(super) fn take_batch(&mut self) -> Option<Batch> {
        if self.transactions_in_flight >= MAX_IN_FLIGHT || self.term_ended {
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
        // Keys of the batch and of writes that were passed over: what names one of
        // them has to wait for its turn.
        let mut reserved_keys = HashSet::new();
        let mut position = 0;
        while position < self.queue.len() {
            let write = &self.queue[position].write;
            let extended = size.with(write);
            let fits = if batch.is_empty() {
                extended.fits_alone(self.max_changes)
            } else {
                // What isn't urgent must not make urgent writes wait for the reserve.
                batch.is_urgent() == write.urgent && extended.fits(self.max_changes)
            };
            let goes = fits && !write.names(&self.keys_in_flight) && !write.names(&reserved_keys);
            reserved_keys.extend(write.keys().cloned());
            if !goes {
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

    /// Puts part of a batch in flight back to the head of the queue.
    pub(super) fn put_back(&mut self, batch: Batch) {
        self.release_keys(batch.keys());
        for queued in batch.into_iter().rev() {
            self.queue.push_front(queued);
        }
    }

    /// A transaction has ended, whatever its outcome; it named these keys.
    pub(super) fn finish_transaction(&mut self, keys: &[String]) {
        self.release_keys(keys.iter());
        self.transactions_in_flight -= 1;
    }

    fn release_keys<'a>(&mut self, keys: impl Iterator<Item = &'a String>) {
        for key in keys {
            self.keys_in_flight.remove(key);
        }
    }

    /// Lets later transactions have at most so many changes, though never fewer than
    /// a final state has.
    pub(super) fn lower_max_changes(&mut self, changes: usize) {
        self.max_changes = self.max_changes.min(changes.max(MIN_MAX_CHANGES));
    }

    /// A batch was stored at a revision: notes the versions, and returns success to the callers.
    pub(super) fn record_stored(&mut self, batch: Batch, revision: u64) {
        for mut queued in batch {
            for (key, value) in std::mem::take(&mut queued.write.changes) {
                // Final records are written once; their versions aren't kept.
                if value.is_some() && !key.starts_with(FINALS) {
                    self.versions.insert(key, revision);
                } else {
                    self.versions.remove(&key);
                }
            }
            queued.finish(Ok(()));
        }
    }
}
