//! The write-ahead log: which machines there are, which task may be on which,
//! and which tasks are done. It lies in the state service in numbered segments.
//!
//! A start is sent only after the entry that names it is stored, and a worker
//! is told to forget an outcome only after its `done` is. So the log may name
//! more than is there, never less. Segments are filled one after the other; the
//! live entries of the oldest are written again at the end in the transaction
//! that deletes it, so the log stays in proportion to what is live.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::wire::{JobId, MachineId, TaskId};

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// A machine: name, address (empty if not known yet), type, zone, spot.
    #[serde(rename = "m")]
    Machine(MachineId, String, String, String, bool),
    /// A machine that is gone for good, and all on it.
    #[serde(rename = "g")]
    Released(MachineId),
    /// Tasks that may be on a machine from now on, under one attempt.
    #[serde(rename = "s")]
    Start(MachineId, JobId, u64, Vec<u32>),
    /// Tasks that are done.
    #[serde(rename = "d")]
    Done(JobId, Vec<u32>),
    /// An entry of a later version. It means nothing here, and is kept.
    #[serde(untagged)]
    Unknown(Value),
}

/// Names of the entries that this version knows.
const KNOWN_ENTRIES: [&str; 4] = ["m", "g", "s", "d"];

impl LogEntry {
    /// An entry that this version ought to know, and can't read: what it names is
    /// in doubt.
    fn is_damaged(&self) -> bool {
        let LogEntry::Unknown(value) = self else {
            return false;
        };
        let known = |name: &str| KNOWN_ENTRIES.contains(&name);
        value
            .as_object()
            .is_none_or(|fields| fields.keys().any(|name| known(name)))
    }

    /// Bytes that it takes in a segment.
    fn bytes(&self) -> usize {
        serde_json::to_string(self).map_or(0, |s| s.len() + 1)
    }
}

/// Most task numbers in an entry, where a segment holds as many.
const MAX_INDICES: usize = 200;
/// Bytes of a task number in an entry: five digits, as many as the largest job
/// has, a comma, and one to spare.
const INDEX_BYTES: usize = 7;
/// Bytes of all else in an entry: the names of a machine and a job, an attempt.
const ENTRY_BYTES: usize = 160;
/// Bytes of a value that a segment leaves free.
const VALUE_MARGIN: usize = 256;
/// Least bytes of a segment.
const MIN_SEGMENT: usize = 512;
/// A transaction of so few changes has no room for both new entries and a whole
/// step of a compaction.
const SMALL_TRANSACTION: usize = 2;

#[derive(Debug, Default, Clone)]
struct Segment {
    entries: Vec<LogEntry>,
    bytes: usize,
}

/// The oldest segment on its way out: what is live of it is written again at the
/// end, over as many appends as that takes, and the last of them deletes it. It
/// may be larger than the limits allow by now. Until it is deleted, what was
/// moved stands twice, which changes nothing of a replay.
#[derive(Debug)]
struct Compaction {
    segment: u64,
    /// Entries that are still to be moved.
    left: Vec<LogEntry>,
}

/// An append on its way: segments to be written, or to be deleted (`None`).
#[derive(Debug, Clone, PartialEq)]
pub struct LogAppend {
    /// Segments by number.
    pub segments: Vec<(u64, Option<Value>)>,
    /// Entries up to here are stored once it is.
    pub upto: u64,
}

/// What the log says, replayed in order.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LogReplay {
    /// Machines: address, type, zone, spot.
    pub machines: BTreeMap<MachineId, (String, String, String, bool)>,
    /// Tasks that may be on each machine, and their attempts.
    pub starts: BTreeMap<MachineId, BTreeMap<TaskId, u64>>,
    /// Done tasks.
    pub done: BTreeMap<JobId, BTreeSet<u32>>,
    /// Machines that are gone.
    pub released_machines: BTreeSet<MachineId>,
}

impl LogReplay {
    fn take(&mut self, e: &LogEntry) {
        match e {
            LogEntry::Machine(id, addr, kind, zone, spot) => {
                self.machines
                    .insert(id.clone(), (addr.clone(), kind.clone(), zone.clone(), *spot));
            }
            LogEntry::Released(id) => {
                self.machines.remove(id);
                self.starts.remove(id);
                self.released_machines.insert(id.clone());
            }
            LogEntry::Start(id, job, attempt, tasks) => {
                let on = self.starts.entry(id.clone()).or_default();
                on.extend(tasks.iter().map(|i| (TaskId { job: *job, index: *i }, *attempt)));
            }
            LogEntry::Done(job, tasks) => self.done.entry(*job).or_default().extend(tasks),
            LogEntry::Unknown(_) => {}
        }
    }
}

/// The log as its writer knows it.
#[derive(Debug)]
pub struct WriteAheadLog {
    /// Most bytes of a segment.
    limit: usize,
    /// Most task numbers in an entry, so that none outgrows a segment.
    max_indices: usize,
    compaction: Option<Compaction>,
    /// The last append took a step of a compaction.
    compacted: bool,
    segments: BTreeMap<u64, Segment>,
    /// The segment that is being filled; those of earlier terms stay as they are.
    open: Option<u64>,
    next: u64,
    /// Entries to be written, each with the mark of its last push.
    pending: Vec<(LogEntry, u64)>,
    /// A start is pending.
    urgent: bool,
    pushed: u64,
    stored: u64,
    in_flight: bool,
}

impl WriteAheadLog {
    /// An empty log whose segments hold at most `value_bytes`.
    pub fn new(value_bytes: usize) -> Self {
        let limit = value_bytes.saturating_sub(VALUE_MARGIN).max(MIN_SEGMENT);
        Self {
            limit,
            max_indices: (limit.saturating_sub(ENTRY_BYTES) / INDEX_BYTES).clamp(1, MAX_INDICES),
            compaction: None,
            compacted: false,
            segments: BTreeMap::new(),
            open: None,
            next: 1,
            pending: Vec::new(),
            urgent: false,
            pushed: 0,
            stored: 0,
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
        self.next = self.next.max(number + 1);
        true
    }

    /// What the stored segments say.
    pub fn replay(&self) -> LogReplay {
        let mut r = LogReplay::default();
        for e in self.segments.values().flat_map(|s| &s.entries) {
            r.take(e);
        }
        r
    }

    /// Adds an entry; the mark that [`WriteAheadLog::is_stored`] is asked with.
    pub fn push(&mut self, e: LogEntry) -> u64 {
        self.urgent |= matches!(e, LogEntry::Start(..));
        self.pushed += 1;
        let joined = match (self.pending.last_mut(), &e) {
            (Some((LogEntry::Start(m, j, a, list), mark)), LogEntry::Start(m2, j2, a2, more))
                if m == m2 && j == j2 && a == a2 && list.len() < self.max_indices =>
            {
                list.extend(more);
                *mark = self.pushed;
                true
            }
            (Some((LogEntry::Done(j, list), mark)), LogEntry::Done(j2, more))
                if j == j2 && list.len() < self.max_indices =>
            {
                list.extend(more);
                *mark = self.pushed;
                true
            }
            _ => false,
        };
        if !joined {
            self.pending.push((e, self.pushed));
        }
        self.pushed
    }

    /// Whether what was pushed at `mark` is stored.
    pub fn is_stored(&self, mark: u64) -> bool {
        mark <= self.stored
    }

    /// Whether an append is due: at once for starts, else when it is `time`.
    pub fn wants(&self, time: bool) -> bool {
        !self.in_flight && !self.pending.is_empty() && (self.urgent || time)
    }

    /// Takes what is pending, with at most so many segments written or deleted.
    /// The oldest segment is compacted with it if the log has grown well past
    /// `live_bytes`; `live` gives what of an entry is still true.
    pub fn take(
        &mut self,
        most: usize,
        live_bytes: usize,
        live: impl Fn(&LogEntry) -> Option<LogEntry>,
    ) -> Option<LogAppend> {
        if self.in_flight || self.pending.is_empty() {
            return None;
        }
        let mut changed: BTreeSet<u64> = BTreeSet::new();
        // What is written again comes first: it is older than what is new.
        let deleted = self.compact(most, live_bytes, live, &mut changed);
        let most_changed = (most - usize::from(deleted.is_some())).max(1);
        let mut upto = self.stored;
        let mut left = Vec::new();
        for (entry, mark) in std::mem::take(&mut self.pending) {
            if left.is_empty() && self.write(&entry, &mut changed, most_changed) {
                upto = mark;
            } else {
                left.push((entry, mark));
            }
        }
        self.urgent = left.iter().any(|(e, _)| matches!(e, LogEntry::Start(..)));
        self.pending = left;
        self.in_flight = true;
        let value = |n: &u64| serde_json::to_value(&self.segments[n].entries).unwrap_or(Value::Null);
        let mut segments: Vec<_> = changed.iter().map(|n| (*n, Some(value(n)))).collect();
        segments.extend(deleted.map(|n| (n, None)));
        Some(LogAppend { segments, upto })
    }

    /// Writes an entry to the open segment or a new one, if no more segments are
    /// changed by that than may be. Whether it did.
    fn write(&mut self, entry: &LogEntry, changed: &mut BTreeSet<u64>, most_changed: usize) -> bool {
        let bytes = entry.bytes();
        let may_change = |n: &u64| changed.contains(n) || changed.len() < most_changed;
        let fitting = self.open.filter(|n| self.segments[n].bytes + bytes <= self.limit);
        let number = match fitting {
            Some(open) if may_change(&open) => open,
            None if changed.len() < most_changed => {
                self.next += 1;
                self.open = Some(self.next - 1);
                self.next - 1
            }
            _ => return false,
        };
        changed.insert(number);
        let segment = self.segments.entry(number).or_default();
        segment.bytes += bytes;
        segment.entries.push(entry.clone());
        true
    }

    /// Takes a step of a compaction, if one is due; the segment that is to be
    /// deleted once this append is stored, if the step is the last.
    fn compact(
        &mut self,
        most: usize,
        live_bytes: usize,
        live: impl Fn(&LogEntry) -> Option<LogEntry>,
        changed: &mut BTreeSet<u64>,
    ) -> Option<u64> {
        let waits_its_turn = most <= SMALL_TRANSACTION && self.compacted;
        self.compacted = false;
        if most < SMALL_TRANSACTION || waits_its_turn {
            return None;
        }
        let compaction = self
            .compaction
            .take()
            .or_else(|| self.next_compaction(live_bytes))?;
        self.compacted = true;
        // One change is kept for the deletion, one for what is new.
        let most_changed = most.saturating_sub(2).max(1);
        let entries = merged(compaction.left.iter().filter_map(live), self.max_indices);
        let mut left = Vec::new();
        for entry in entries {
            if !left.is_empty() || !self.write(&entry, changed, most_changed) {
                left.push(entry);
            }
        }
        let segment = compaction.segment;
        if !left.is_empty() {
            self.compaction = Some(Compaction { segment, left });
            return None;
        }
        self.segments.remove(&segment);
        Some(segment)
    }

    /// The compaction of the oldest segment, if the log is longer than it needs to be.
    fn next_compaction(&self, live_bytes: usize) -> Option<Compaction> {
        let room_for = 4 + 2 * live_bytes.div_ceil(self.limit);
        if self.segments.len() <= room_for {
            return None;
        }
        let (number, oldest) = self.segments.first_key_value()?;
        (Some(*number) != self.open).then(|| Compaction {
            segment: *number,
            left: oldest.entries.clone(),
        })
    }

    /// An append is stored.
    pub fn appended(&mut self, a: &LogAppend) {
        self.in_flight = false;
        self.stored = self.stored.max(a.upto);
    }
}

/// The entries with those of done tasks put together by job: a huge array ends
/// task by task between all others, and an entry for each would make its log
/// several times as long as what it says.
///
/// No entry holds more than so many task numbers: earlier ones may be larger than
/// the limits allow by now.
fn merged(entries: impl Iterator<Item = LogEntry>, max_indices: usize) -> Vec<LogEntry> {
    let mut out = Vec::new();
    let mut done: BTreeMap<JobId, Vec<u32>> = BTreeMap::new();
    for e in entries {
        match e {
            LogEntry::Done(job, tasks) => done.entry(job).or_default().extend(tasks),
            LogEntry::Start(machine, job, attempt, tasks) => {
                let parts = tasks.chunks(max_indices);
                out.extend(parts.map(|part| LogEntry::Start(machine.clone(), job, attempt, part.to_vec())));
            }
            other => out.push(other),
        }
    }
    for (job, tasks) in done {
        out.extend(
            tasks
                .chunks(max_indices)
                .map(|part| LogEntry::Done(job, part.to_vec())),
        );
    }
    out
}
