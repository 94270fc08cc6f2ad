//! Entries of the write-ahead log and their stored form.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::wire::{JobId, MachineId};

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
    pub(super) fn is_damaged(&self) -> bool {
        let LogEntry::Unknown(value) = self else {
            return false;
        };
        let known = |name: &str| KNOWN_ENTRIES.contains(&name);
        value
            .as_object()
            .is_none_or(|fields| fields.keys().any(|name| known(name)))
    }

    /// Bytes that it takes in a segment.
    pub(super) fn bytes(&self) -> usize {
        serde_json::to_string(self).map_or(0, |s| s.len() + 1)
    }
}

/// The entries with those of done tasks put together by job: a huge array ends
/// task by task between all others, and an entry for each would make its log
/// several times as long as what it says.
///
/// No entry holds more than so many task numbers: earlier ones may be larger than
/// the limits allow by now.
pub(super) fn merge_entries(
    entries: impl Iterator<Item = LogEntry>,
    max_entry_indices: usize,
) -> Vec<LogEntry> {
    let mut out = Vec::new();
    let mut done: BTreeMap<JobId, Vec<u32>> = BTreeMap::new();
    for e in entries {
        match e {
            LogEntry::Done(job, tasks) => done.entry(job).or_default().extend(tasks),
            LogEntry::Start(machine, job, attempt, tasks) => {
                let parts = tasks.chunks(max_entry_indices);
                out.extend(parts.map(|part| LogEntry::Start(machine.clone(), job, attempt, part.to_vec())));
            }
            other => out.push(other),
        }
    }
    for (job, tasks) in done {
        out.extend(
            tasks
                .chunks(max_entry_indices)
                .map(|part| LogEntry::Done(job, part.to_vec())),
        );
    }
    out
}
