//! Entries of the write-ahead log and their stored form.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::wire::{JobId, MachineId};

/// An entry of the log, in the form in which it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// A rented machine: id, address (empty if not known yet), type, zone, whether it is a
    /// spot machine.
    #[serde(rename = "m")]
    Machine(MachineId, String, String, String, bool),
    /// Id of a machine that is released, and with it everything on it.
    #[serde(rename = "g")]
    Released(MachineId),
    /// Machine, job, attempt number, and indices of the tasks that may be on the machine
    /// from now on.
    #[serde(rename = "s")]
    Start(MachineId, JobId, u64, Vec<u32>),
    /// A job and the indices of tasks that are done.
    #[serde(rename = "d")]
    Done(JobId, Vec<u32>),
    /// An entry of a later version, which this version keeps but doesn't interpret.
    #[serde(untagged)]
    Unknown(Value),
}

/// Stored names of the entries that this version knows.
const KNOWN_ENTRIES: [&str; 4] = ["m", "g", "s", "d"];

impl LogEntry {
    /// Whether this version ought to know the entry but can't read it, so that the state
    /// of what it lists is in doubt.
    pub(super) fn is_damaged(&self) -> bool {
        let LogEntry::Unknown(value) = self else {
            return false;
        };
        let known = |name: &str| KNOWN_ENTRIES.contains(&name);
        value
            .as_object()
            .is_none_or(|fields| fields.keys().any(|name| known(name)))
    }

    /// Bytes that the entry takes in a segment.
    pub(super) fn serialized_len(&self) -> usize {
        serde_json::to_string(self).map_or(0, |s| s.len() + 1)
    }
}

/// Merges the entries of done tasks by job. The tasks of a huge job end one by one, between
/// those of other jobs, and an entry for each would make the log several times as long as
/// necessary.
///
/// Entries with more than `max_entry_indices` task indices are split: the limits may have
/// become smaller since the entries were written.
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
