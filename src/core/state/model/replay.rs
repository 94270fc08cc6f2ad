//! What a new leader loads of earlier terms: segments of the write-ahead log, the
//! machines and slots that they name, and the run-time ratios.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::Slot;
use crate::core::storage::wal::{LogReplay, LoggedMachine};
use crate::wire::{MachineId, TaskId};

impl ClusterModel {
    /// Takes the ratios that an earlier term stored.
    pub fn load_run_time_ratios(&mut self, ratios: BTreeMap<String, f64>) {
        self.run_time_ratios = ratios;
    }

    /// Takes a stored segment of the log, before [`ClusterModel::replay_log`].
    /// False: it can't be read, so that what may be where is unknown.
    pub fn load_log_segment(&mut self, number: u64, value: serde_json::Value) -> bool {
        self.log.load(number, value)
    }

    /// Takes what the log of earlier terms says, once the jobs are known.
    pub fn replay_log(&mut self, now: Instant) {
        let replay = self.log.replay();
        for (id, indices) in &replay.done {
            if let Some(job) = self.jobs.get_mut(id) {
                for i in indices {
                    job.mark_done(*i);
                }
            }
        }
        for id in &replay.released_machines {
            self.released_machines.insert(id.clone());
        }
        let LogReplay {
            machines, mut starts, ..
        } = replay;
        for (id, machine) in machines {
            let tasks = starts.remove(&id).unwrap_or_default();
            self.load_machine(id, machine, tasks, now);
        }
        // A machine's own entry goes before or with its first start, but the
        // order doesn't matter to safety: what may be on it counts anyway.
        for (id, tasks) in starts {
            self.load_machine(id, LoggedMachine::default(), tasks, now);
        }
    }

    /// Takes a machine of the log and the attempts that may be on it. What its
    /// tasks have come to is unknown until its worker says so.
    fn load_machine(
        &mut self,
        id: MachineId,
        logged: LoggedMachine,
        tasks: BTreeMap<TaskId, u64>,
        now: Instant,
    ) {
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id.clone(), now));
        machine.addr = logged.addr;
        machine.machine_type = logged.machine_type;
        machine.zone = logged.zone;
        machine.spot = logged.spot;
        machine.needs_probe = !machine.addr.is_empty();
        if machine.needs_probe {
            // It was up: silence from now on counts as silence, not as boot.
            machine.phase = MachinePhase::Up;
            self.command_candidates.insert(id.clone());
        }
        for (task, attempt) in tasks {
            let job = self.jobs.get_mut(&task.job);
            if job.as_ref().is_some_and(|j| j.done.contains(task.index)) {
                // It ended, or its outcome would not be known.
                continue;
            }
            let cancelled = job.as_ref().is_none_or(|j| j.cancelled);
            let mut slot = Slot::unknown(attempt, job.as_ref().map(|j| j.spec.clone()), self.term, now);
            if cancelled {
                slot.order_stop(Duration::ZERO, now);
            }
            machine.slots.insert(task, slot);
            machine.idle_since = None;
            if let Some(job) = job {
                job.add_place(task.index, &id);
            }
        }
    }
}
