//! What the stored entries say together.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::storage::wal::entry::LogEntry;
use crate::wire::{JobId, MachineId, TaskId};

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
    pub(super) fn apply(&mut self, e: &LogEntry) {
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
