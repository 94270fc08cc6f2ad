//! The write-ahead log: which machines exist, which task may be on which machine, and which
//! tasks are done. It is stored in the state service in numbered segments.
//!
//! A start is sent only after its entry is stored, and a worker gets the acknowledgement of
//! a done task only after the entry that records it as done is stored. So the log may list
//! tasks that are not on a machine, but lacks neither a task that is on one nor a done task
//! that its worker has forgotten. Segments are filled one after the other. The entries of
//! the oldest segment that are still true (live) are written again at the end, before or in
//! the transaction that deletes the segment, so the log's length stays in proportion to the
//! live entries.

mod compaction;
mod entry;
mod replay;

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use self::compaction::Compaction;
pub use self::entry::LogEntry;
pub use self::replay::{LogReplay, LoggedMachine};

/// Most task indices in an entry, if a segment has space for as many.
const MAX_ENTRY_INDICES: usize = 200;
/// Bytes of a task index in an entry: five digits, which suffice for the largest job, a
/// comma, and one to spare.
const INDEX_BYTES: usize = 7;
/// Bytes of everything else in an entry: ids of a machine and a job, an attempt number.
const ENTRY_OVERHEAD_BYTES: usize = 160;
/// Bytes of a value of the state service that a segment leaves unused.
const VALUE_MARGIN_BYTES: usize = 256;
/// Lower bound of a segment's size limit.
const MIN_SEGMENT_BYTES: usize = 512;

/// A segment as it is stored, or will be once the append in flight is stored.
#[derive(Debug, Default, Clone)]
struct Segment {
    entries: Vec<LogEntry>,
    bytes: usize,
}

/// An append to the log: segments to be written, or to be deleted (`None`).
#[derive(Debug, Clone, PartialEq)]
pub struct LogAppend {
    /// Numbers of the segments and their new values.
    pub segments: Vec<(u64, Option<Value>)>,
    /// Mark up to which all entries are stored once the append is.
    pub stored_up_to: u64,
}

/// The log as the leader that writes it knows it.
#[derive(Debug)]
pub struct WriteAheadLog {
    /// Most bytes in a segment.
    max_segment_bytes: usize,
    /// Most task indices in an entry, so that every entry fits into a segment.
    max_entry_indices: usize,
    /// The compaction that has begun and not reached its last step.
    compaction: Option<Compaction>,
    /// Whether the last append included a step of a compaction.
    compacted_last_append: bool,
    /// Segments by number, in the order in which they were begun.
    segments: BTreeMap<u64, Segment>,
    /// The segment that is being filled. Segments of earlier terms are never extended.
    open_segment: Option<u64>,
    /// Number of the next new segment; numbers are never reused.
    next_segment: u64,
    /// Entries to be written, each with the mark of the last push that added to it.
    pending: Vec<(LogEntry, u64)>,
    /// Whether a start is among the pending entries.
    has_pending_start: bool,
    /// Mark of the last push.
    last_pushed_mark: u64,
    /// Mark up to which everything that was pushed is stored.
    stored_mark: u64,
    /// Whether an append is in flight; there is at most one.
    in_flight: bool,
}

impl WriteAheadLog {
    /// An empty log whose segments fit into values of `value_bytes`.
    pub fn new(value_bytes: usize) -> Self {
        let max_segment_bytes = value_bytes
            .saturating_sub(VALUE_MARGIN_BYTES)
            .max(MIN_SEGMENT_BYTES);
        Self {
            max_segment_bytes,
            max_entry_indices: (max_segment_bytes.saturating_sub(ENTRY_OVERHEAD_BYTES) / INDEX_BYTES)
                .clamp(1, MAX_ENTRY_INDICES),
            compaction: None,
            compacted_last_append: false,
            segments: BTreeMap::new(),
            open_segment: None,
            next_segment: 1,
            pending: Vec::new(),
            has_pending_start: false,
            last_pushed_mark: 0,
            stored_mark: 0,
            in_flight: false,
        }
    }

    /// Loads a stored segment of an earlier term. Returns whether it could be read.
    pub fn load_segment(&mut self, number: u64, value: Value) -> bool {
        let Ok(entries) = serde_json::from_value::<Vec<LogEntry>>(value) else {
            return false;
        };
        if entries.iter().any(LogEntry::is_damaged) {
            return false;
        }
        let bytes = entries.iter().map(LogEntry::serialized_len).sum();
        self.segments.insert(number, Segment { entries, bytes });
        self.next_segment = self.next_segment.max(number + 1);
        true
    }

    /// Replays the entries of all segments in order.
    pub fn replay(&self) -> LogReplay {
        let mut replay = LogReplay::default();
        for entry in self.segments.values().flat_map(|s| &s.entries) {
            replay.apply(entry);
        }
        replay
    }

    /// Adds an entry. Returns its mark, by which [`WriteAheadLog::is_stored`] tells whether
    /// it is stored.
    pub fn push(&mut self, entry: LogEntry) -> u64 {
        self.has_pending_start |= matches!(entry, LogEntry::Start(..));
        self.last_pushed_mark += 1;
        let joined = match (self.pending.last_mut(), &entry) {
            (Some((LogEntry::Start(m, j, a, list), mark)), LogEntry::Start(m2, j2, a2, more))
                if m == m2 && j == j2 && a == a2 && list.len() < self.max_entry_indices =>
            {
                list.extend(more);
                *mark = self.last_pushed_mark;
                true
            }
            (Some((LogEntry::Done(j, list), mark)), LogEntry::Done(j2, more))
                if j == j2 && list.len() < self.max_entry_indices =>
            {
                list.extend(more);
                *mark = self.last_pushed_mark;
                true
            }
            _ => false,
        };
        if !joined {
            self.pending.push((entry, self.last_pushed_mark));
        }
        self.last_pushed_mark
    }

    /// Whether the entry that was pushed with `mark` is stored.
    pub fn is_stored(&self, mark: u64) -> bool {
        mark <= self.stored_mark
    }

    /// Whether an append is due: at once for starts, otherwise when the pause after the last
    /// append is over.
    pub fn append_is_due(&self, pause_is_over: bool) -> bool {
        !self.in_flight && !self.pending.is_empty() && (self.has_pending_start || pause_is_over)
    }

    /// Takes pending entries as an append that writes or deletes at most `max_segments`. The
    /// oldest segment is compacted with it if the log has grown well past `live_bytes`;
    /// `live` returns the part of an entry that is still true.
    pub fn take_append(
        &mut self,
        max_segments: usize,
        live_bytes: usize,
        live: impl Fn(&LogEntry) -> Option<LogEntry>,
    ) -> Option<LogAppend> {
        if self.in_flight || self.pending.is_empty() {
            return None;
        }
        let mut changed: BTreeSet<u64> = BTreeSet::new();
        // Entries that are written again come first, as they are older than the new ones.
        let deleted = self.compact(max_segments, live_bytes, live, &mut changed);
        let max_changed = (max_segments - usize::from(deleted.is_some())).max(1);
        let mut stored_up_to = self.stored_mark;
        let mut remaining = Vec::new();
        for (entry, mark) in std::mem::take(&mut self.pending) {
            if remaining.is_empty() && self.write_to_segment(&entry, &mut changed, max_changed) {
                stored_up_to = mark;
            } else {
                remaining.push((entry, mark));
            }
        }
        self.has_pending_start = remaining.iter().any(|(e, _)| matches!(e, LogEntry::Start(..)));
        self.pending = remaining;
        self.in_flight = true;
        let value = |n: &u64| serde_json::to_value(&self.segments[n].entries).unwrap_or(Value::Null);
        let mut segments: Vec<_> = changed.iter().map(|n| (*n, Some(value(n)))).collect();
        segments.extend(deleted.map(|n| (n, None)));
        Some(LogAppend {
            segments,
            stored_up_to,
        })
    }

    /// Adds an entry to the open segment or a new one, unless that would change more than
    /// `max_changed` segments. Returns whether it was added.
    fn write_to_segment(
        &mut self,
        entry: &LogEntry,
        changed: &mut BTreeSet<u64>,
        max_changed: usize,
    ) -> bool {
        let bytes = entry.serialized_len();
        let may_change = |n: &u64| changed.contains(n) || changed.len() < max_changed;
        let fitting = self
            .open_segment
            .filter(|n| self.segments[n].bytes + bytes <= self.max_segment_bytes);
        let number = match fitting {
            Some(open) if may_change(&open) => open,
            None if changed.len() < max_changed => {
                self.next_segment += 1;
                self.open_segment = Some(self.next_segment - 1);
                self.next_segment - 1
            }
            _ => return false,
        };
        changed.insert(number);
        let segment = self.segments.entry(number).or_default();
        segment.bytes += bytes;
        segment.entries.push(entry.clone());
        true
    }

    /// Records that an append is stored.
    pub fn append_stored(&mut self, append: &LogAppend) {
        self.in_flight = false;
        self.stored_mark = self.stored_mark.max(append.stored_up_to);
    }
}
