//! Compaction: the entries of the oldest segment that are still true (live) are written
//! again at the end of the log, and the segment is deleted with the last of them.

use std::collections::BTreeSet;

use crate::core::storage::wal::entry::{merge_entries, LogEntry};
use crate::core::storage::wal::WriteAheadLog;

/// A transaction of at most this many changes can't hold both new entries and a whole step
/// of a compaction.
const SMALL_TRANSACTION: usize = 2;

/// A compaction in progress. The live entries of the oldest segment are written again at
/// the end, over as many appends as necessary, and the last append deletes the segment. The
/// segment may be larger than the present limits allow. Until it is deleted, the moved
/// entries are stored twice, which doesn't change a replay.
#[derive(Debug)]
pub(super) struct Compaction {
    segment: u64,
    /// Entries of the segment that are still to be moved.
    remaining: Vec<LogEntry>,
}

impl WriteAheadLog {
    /// Takes a step of a compaction, if one is due. If it is the last step, returns the
    /// number of the segment, which this append is to delete.
    pub(super) fn compact(
        &mut self,
        max_segments: usize,
        live_bytes: usize,
        live: impl Fn(&LogEntry) -> Option<LogEntry>,
        changed: &mut BTreeSet<u64>,
    ) -> Option<u64> {
        let waits_its_turn = max_segments <= SMALL_TRANSACTION && self.compacted_last_append;
        self.compacted_last_append = false;
        if max_segments < SMALL_TRANSACTION || waits_its_turn {
            return None;
        }
        let compaction = self
            .compaction
            .take()
            .or_else(|| self.next_compaction(live_bytes))?;
        self.compacted_last_append = true;
        // One change is reserved for the deletion, and one for new entries.
        let max_changed = max_segments.saturating_sub(2).max(1);
        let entries = merge_entries(
            compaction.remaining.iter().filter_map(live),
            self.max_entry_indices,
        );
        let mut remaining = Vec::new();
        for entry in entries {
            if !remaining.is_empty() || !self.write_to_segment(&entry, changed, max_changed) {
                remaining.push(entry);
            }
        }
        let segment = compaction.segment;
        if !remaining.is_empty() {
            self.compaction = Some(Compaction { segment, remaining });
            return None;
        }
        self.segments.remove(&segment);
        Some(segment)
    }

    /// The compaction of the oldest segment, if the log has more segments than its live
    /// entries need, with an allowance.
    fn next_compaction(&self, live_bytes: usize) -> Option<Compaction> {
        let max_segment_count = 4 + 2 * live_bytes.div_ceil(self.max_segment_bytes);
        if self.segments.len() <= max_segment_count {
            return None;
        }
        let (number, oldest) = self.segments.first_key_value()?;
        (Some(*number) != self.open_segment).then(|| Compaction {
            segment: *number,
            remaining: oldest.entries.clone(),
        })
    }
}
