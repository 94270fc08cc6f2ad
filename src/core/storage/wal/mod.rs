//! The write-ahead log: which machines there are, which task may be on which,
//! and which tasks are done. It lies in the state service in numbered segments.
//!
//! A start is sent only after the entry that names it is stored, and a worker
//! gets the acknowledgement of a done task only after its `done` is stored. So the log
//! may name more than is there, never less. Segments are filled one after the other;
//! the live entries of the oldest are written again at the end in the transaction that
//! deletes it, so the log stays in proportion to what is live.

mod compaction;
mod entry;
mod replay;

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use self::compaction::Compaction;
pub use self::entry::LogEntry;
pub use self::replay::{LogReplay, LoggedMachine};

/// Most task numbers in an entry, where a segment holds as many.
const MAX_ENTRY_INDICES: usize = 200;
/// Bytes of a task number in an entry: five digits, as many as the largest job
/// has, a comma, and one to spare.
const INDEX_BYTES: usize = 7;
/// Bytes of all else in an entry: the names of a machine and a job, an attempt.
const ENTRY_OVERHEAD_BYTES: usize = 160;
/// Bytes of a value that a segment leaves free.
const VALUE_MARGIN_BYTES: usize = 256;
/// Least bytes of a segment.
const MIN_SEGMENT_BYTES: usize = 512;

/// A segment as it is stored, or will be by the append on its way.
#[derive(Debug, Default, Clone)]
struct Segment {
    entries: Vec<LogEntry>,
    bytes: usize,
}

/// An append on its way: segments to be written, or to be deleted (`None`).
#[derive(Debug, Clone, PartialEq)]
pub struct LogAppend {
    /// Segments by number.
    pub segments: Vec<(u64, Option<Value>)>,
    /// Mark up to which all entries are stored once it is.
    pub stored_up_to: u64,
}

/// The log as its writer knows it.
#[derive(Debug)]
pub struct WriteAheadLog {
    /// Most bytes of a segment.
    max_segment_bytes: usize,
    /// Most task numbers in an entry, so that none outgrows a segment.
    max_entry_indices: usize,
    /// The compaction that is under way.
    compaction: Option<Compaction>,
    /// The last append took a step of a compaction.
    compacted_last_append: bool,
    /// Segments by number, in the order in which they were begun.
    segments: BTreeMap<u64, Segment>,
    /// The segment that is being filled; those of earlier terms stay as they are.
    open_segment: Option<u64>,
    /// Number of the next new segment; numbers are never used again.
    next_segment: u64,
    /// Entries to be written, each with the mark of its last push.
    pending: Vec<(LogEntry, u64)>,
    /// A start is pending.
    has_pending_start: bool,
    /// Mark of the last push.
    last_pushed_mark: u64,
    /// Everything up to this mark is stored.
    stored_mark: u64,
    /// An append is on its way; there is never more than one.
    in_flight: bool,
}

impl WriteAheadLog {
    /// An empty log whose segments hold at most `value_bytes`.
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

    /// Takes a stored segment of an earlier term. False: it can't be read.
    pub fn load(&mut self, number: u64, value: Value) -> bool {
        let Ok(entries) = serde_json::from_value::<Vec<LogEntry>>(value) else {
            return false;
        };
        if entries.iter().any(LogEntry::is_damaged) {
            return false;
        }
        let bytes = entries.iter().map(LogEntry::bytes).sum();
        self.segments.insert(number, Segment { entries, bytes });
        // Numbers are never used again.
        self.next_segment = self.next_segment.max(number + 1);
        true
    }

    /// What the stored segments say.
    pub fn replay(&self) -> LogReplay {
        let mut replay = LogReplay::default();
        for entry in self.segments.values().flat_map(|s| &s.entries) {
            replay.apply(entry);
        }
        replay
    }

    /// Adds an entry; the mark that [`WriteAheadLog::is_stored`] is asked with.
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

    /// Whether what was pushed at `mark` is stored.
    pub fn is_stored(&self, mark: u64) -> bool {
        mark <= self.stored_mark
    }

    /// Whether an append is due: at once for starts, else when the pause after the last append is over.
    pub fn append_is_due(&self, pause_is_over: bool) -> bool {
        !self.in_flight && !self.pending.is_empty() && (self.has_pending_start || pause_is_over)
    }

    /// Takes what is pending, with at most so many segments written or deleted.
    /// The oldest segment is compacted with it if the log has grown well past
    /// `live_bytes`; `live` gives what of an entry is still true.
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
        // What is written again comes first: it is older than what is new.
        let deleted = self.compact(max_segments, live_bytes, live, &mut changed);
        let max_changed = (max_segments - usize::from(deleted.is_some())).max(1);
        let mut stored_up_to = self.stored_mark;
        let mut remaining = Vec::new();
        for (entry, mark) in std::mem::take(&mut self.pending) {
            if remaining.is_empty() && self.write(&entry, &mut changed, max_changed) {
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

    /// Writes an entry to the open segment or a new one, if no more segments are
    /// changed by that than may be. Whether it did.
    fn write(&mut self, entry: &LogEntry, changed: &mut BTreeSet<u64>, max_changed: usize) -> bool {
        let bytes = entry.bytes();
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

    /// An append is stored.
    pub fn append_stored(&mut self, append: &LogAppend) {
        self.in_flight = false;
        self.stored_mark = self.stored_mark.max(append.stored_up_to);
    }
}
