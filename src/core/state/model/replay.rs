//! Loading of what earlier terms stored: the unfinished jobs, the segments of the
//! write-ahead log, with the machines and attempts that they name, and the run-to-estimate
//! ratios.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::core::state::dependencies::ranks_dependents_first;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::Slot;
use crate::core::storage::record::JobRecord;
use crate::core::storage::wal::{LogReplay, LoggedMachine};
use crate::wire::{JobId, MachineId, TaskId};

/// The stored record of an unfinished job.
#[derive(Debug, Clone)]
pub struct LoadedJob {
    /// The record as an earlier term or another controller stored it.
    pub record: JobRecord,
    /// When the job was accepted, by the clock of this process.
    pub arrival: Instant,
}

impl ClusterModel {
    /// Adds the stored unfinished jobs, dependents before their dependencies. In the
    /// opposite order a due time would be passed on through the whole graph each time that
    /// a later job has an earlier one.
    pub fn load_jobs(&mut self, mut jobs: Vec<LoadedJob>) {
        let specs = jobs.iter().map(|job| &job.record.spec);
        let dependencies: BTreeMap<JobId, &[JobId]> =
            specs.map(|spec| (spec.id, spec.awaits.as_slice())).collect();
        let ranks = ranks_dependents_first(&dependencies);
        jobs.sort_by_cached_key(|job| ranks.get(&job.record.spec.id).copied());
        for job in jobs {
            self.add_job(job.record, job.arrival);
        }
    }

    /// Loads the run-to-estimate ratios that an earlier term stored.
    pub fn load_run_time_ratios(&mut self, ratios: BTreeMap<String, f64>) {
        self.run_time_ratios = ratios;
    }

    /// Loads a stored segment of the log; to be called before [`ClusterModel::replay_log`].
    /// Returns false if the segment can't be read: then it is not known which attempts may
    /// be on which machines.
    pub fn load_log_segment(&mut self, number: u64, value: serde_json::Value) -> bool {
        self.log.load_segment(number, value)
    }

    /// Applies the loaded log of earlier terms; to be called once the jobs are added.
    pub fn replay_log(&mut self, now: Instant) {
        let replay = self.log.replay();
        for (id, indices) in &replay.done {
            if let Some(job) = self.jobs.get_mut(id) {
                for index in indices {
                    job.mark_done(*index);
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
        // The entry of a machine is stored before or together with its first start. Safety
        // doesn't rest on that: attempts that may be on a machine count in any case.
        for (id, tasks) in starts {
            self.load_machine(id, LoggedMachine::default(), tasks, now);
        }
    }

    /// Adds a machine from the log and the attempts that may be on it. Their states are
    /// unknown until its worker reports them.
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
        machine.address = logged.address;
        machine.machine_type = logged.machine_type;
        machine.zone = logged.zone;
        machine.spot = logged.spot;
        machine.needs_probe = !machine.address.is_empty();
        if machine.needs_probe {
            // A machine with an address counts as up, so that its silence is not taken for
            // booting.
            machine.phase = MachinePhase::Up;
            self.command_candidates.insert(id.clone());
        }
        for (task, attempt) in tasks {
            let job = self.jobs.get_mut(&task.job);
            if job.as_ref().is_some_and(|j| j.done.contains(task.index)) {
                // The task is done, so its attempt has ended. If one is on the machine all the
                // same, it gets a slot and is stopped once the worker lists it.
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
