//! Replay: the machines and tasks that result from all entries of the log.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::storage::wal::entry::LogEntry;
use crate::wire::{JobId, MachineId, TaskId};

/// A machine as its newest entry describes it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LoggedMachine {
    /// Where its worker takes commands; empty if not known yet.
    pub address: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone in which it was rented.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// The state that results from applying the log's entries in order.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LogReplay {
    /// Machines that are not known to be released.
    pub machines: BTreeMap<MachineId, LoggedMachine>,
    /// Tasks that may be on each machine, and their attempts.
    pub starts: BTreeMap<MachineId, BTreeMap<TaskId, u64>>,
    /// Indices of the tasks that are done.
    pub done: BTreeMap<JobId, BTreeSet<u32>>,
    /// Machines that are known to be released.
    pub released_machines: BTreeSet<MachineId>,
}

impl LogReplay {
    pub(super) fn apply(&mut self, entry: &LogEntry) {
        match entry {
            LogEntry::Machine(id, address, machine_type, zone, spot) => {
                let machine = LoggedMachine {
                    address: address.clone(),
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                };
                self.machines.insert(id.clone(), machine);
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
