//! Invariants, checked against what is stored and what the workers run.

use std::collections::BTreeSet;

use bitternfold::core::storage::record::JobRecord;
use bitternfold::wire::*;

use super::SimulatedCluster;
use crate::worker::Worker;

/// CPU limit of the team `red`.
const RED_TEAM_CPU_LIMIT: f64 = 40.0;
/// CPUs of each machine.
const MACHINE_CPUS: f64 = 8.0;

impl SimulatedCluster {
    /// Records that a job's state is confirmed to a user. A final state must not change,
    /// and a job may be done only once all its tasks are.
    pub fn record_confirmed_state(&mut self, id: JobId, state: JobState) {
        if let Some(previous) = self.confirmed_states.insert(id, state) {
            if matches!(previous, JobState::Done | JobState::Cancelled) {
                assert_eq!(previous, state, "the final state of {id} changed");
            }
        }
        if state == JobState::Done {
            let record = &self.final_records[&id];
            assert_eq!(
                record.done,
                self.task_count(id),
                "{id} is reported as done too early"
            );
        }
    }

    fn task_count(&self, id: JobId) -> u32 {
        let known = self.model.jobs().get(&id);
        known.map_or_else(|| self.final_records[&id].done, |job| job.spec.tasks)
    }

    /// Checks a start that is being sent: its job is not confirmed as cancelled, its
    /// dependencies are done, and the stored log names the machine.
    pub fn check_start(&self, task: TaskId, machine: &MachineId) {
        assert!(
            !matches!(self.confirmed_states.get(&task.job), Some(JobState::Cancelled)),
            "{task} is started although its job is cancelled"
        );
        let mut segments = self.wal.values();
        let is_in_log = segments.any(|segment| segment.to_string().contains(&**machine));
        assert!(
            is_in_log,
            "{task} is started on {machine}, which the log doesn't name"
        );
        self.check_dependencies_are_done(task);
    }

    /// Checks that a task that starts is not of a job whose final state is stored as
    /// cancelled: none of its tasks may be on a machine by then, nor start there later.
    pub fn check_not_stored_as_cancelled(&self, task: TaskId) {
        let record = self.final_records.get(&task.job);
        assert!(
            record.is_none_or(|record| record.state != JobState::Cancelled),
            "{task} starts although its job has ended as cancelled"
        );
    }

    /// Checks that all dependencies of a task's job are stored as done.
    pub fn check_dependencies_are_done(&self, task: TaskId) {
        for dependency in &self.dependencies[&task.job] {
            let state = self.final_records.get(dependency).map(|record| record.state);
            assert_eq!(
                state,
                Some(JobState::Done),
                "{task} starts before {dependency} is done"
            );
        }
    }

    /// Checks a response that renews a worker's lease: it must stop every live task that the
    /// leader doesn't know, or whose job has ended or is cancelled. A command with the stop
    /// might never reach that worker.
    pub fn check_response_stops_unwanted_tasks(&self, heartbeat: &Heartbeat, commands: &[Command]) {
        let unknown: Vec<_> = self.model.unknown_tasks(heartbeat).collect();
        assert!(
            unknown.is_empty(),
            "{unknown:?} run on {} without the leader's knowledge",
            heartbeat.machine
        );
        let slots = &self.model.machines()[&heartbeat.machine].slots;
        let live = heartbeat.tasks.iter();
        for reported in live.filter(|task| task.state != TaskState::Ended) {
            let slot = slots.get(&reported.task);
            let slot = slot.filter(|slot| slot.attempt == reported.attempt);
            let job = self.model.jobs().get(&reported.task.job);
            let is_open = job.is_some_and(|job| !job.cancelled);
            let is_stopped = commands.iter().any(|command| {
                matches!(command, Command::Stop { task, attempt, .. }
                    if *task == reported.task && *attempt == reported.attempt)
            });
            assert!(
                slot.is_some() && is_open || is_stopped,
                "{} attempt {} is not stopped by the response to {}",
                reported.task,
                reported.attempt,
                heartbeat.machine
            );
        }
    }

    /// Whether a job is cancelled according to the stored records, itself or through a
    /// dependency. Follows the dependencies anew on each call.
    fn is_cancelled(&self, id: JobId) -> bool {
        match (self.final_records.get(&id), self.stored_jobs.get(&id)) {
            (Some(record), _) => record.state == JobState::Cancelled,
            (None, Some(record)) if record.cancelled => true,
            _ => self.dependencies[&id]
                .iter()
                .any(|dependency| self.is_cancelled(*dependency)),
        }
    }

    /// Checks that the statuses which the leader gives from memory agree with the stored
    /// records of the jobs and their dependencies.
    pub fn check_statuses_agree_with_storage(&self) {
        for id in self.model.jobs().keys() {
            let Some(status) = self.model.status(*id) else {
                continue;
            };
            let cancelled = status.state == JobState::Cancelled;
            assert_eq!(
                cancelled,
                self.is_cancelled(*id),
                "{id} is reported as {:?}, contrary to the stored records",
                status.state
            );
        }
    }

    /// Checks that a task which was just started is live on one machine only, and that the
    /// team `red` is within its limit.
    pub fn check_runs_once_within_limit(&self, task: TaskId) {
        let runs_task = |worker: &&Worker| {
            let known = worker.tasks.get(&task);
            worker.alive && known.is_some_and(|known| known.is_live())
        };
        let workers_with_task = self.workers.iter().filter(runs_task);
        let machines: Vec<_> = workers_with_task.map(|worker| worker.id.clone()).collect();
        assert!(
            machines.len() <= 1,
            "{task} is live on several machines: {machines:?}"
        );
        let alive = self.workers.iter().filter(|worker| worker.alive);
        let cpus: f64 = alive
            .flat_map(|worker| &worker.tasks)
            .filter(|(_, known)| known.is_live())
            .filter_map(|(id, _)| self.stored_jobs.get(&id.job).map(|record| &record.spec))
            .filter(|spec| spec.team == "red")
            .map(|spec| spec.cpus)
            .sum();
        assert!(cpus <= RED_TEAM_CPU_LIMIT, "team red uses {cpus} CPUs");
    }

    /// Jobs with a task that is neither done nor on a machine, although the job is ready, a
    /// machine has enough free CPUs for the task and the team stays within its limit.
    pub fn jobs_waiting_despite_free_capacity(&self) -> BTreeSet<JobId> {
        let alive: Vec<_> = self.workers.iter().filter(|worker| worker.alive).collect();
        let cpus_of = |task: &TaskId| {
            let record = self.stored_jobs.get(&task.job);
            record.map_or(0.0, |record| record.spec.cpus)
        };
        let is_of_red_team = |task: &&TaskId| {
            let record = self.stored_jobs.get(&task.job);
            record.is_some_and(|record| record.spec.team == "red")
        };
        let max_free = alive
            .iter()
            .map(|worker| MACHINE_CPUS - live_tasks(worker).iter().map(cpus_of).sum::<f64>())
            .fold(0.0, f64::max);
        let live: Vec<TaskId> = alive.iter().flat_map(|worker| live_tasks(worker)).collect();
        let red_cpus: f64 = live.iter().filter(is_of_red_team).map(cpus_of).sum();
        let waits = |record: &&JobRecord| {
            let spec = &record.spec;
            let placed = live.iter().filter(|task| task.job == spec.id).count() as u32;
            let known = self.model.jobs().get(&spec.id);
            let done = known.map_or(spec.tasks, |job| job.done.count());
            !record.cancelled
                && spec
                    .awaits
                    .iter()
                    .all(|dependency| self.is_stored_as_done(*dependency))
                && placed + done < spec.tasks
                && spec.cpus <= max_free
                && (spec.team != "red" || red_cpus + spec.cpus <= RED_TEAM_CPU_LIMIT)
        };
        let waiting = self.stored_jobs.values().filter(waits);
        waiting.map(|record| record.spec.id).collect()
    }

    fn is_stored_as_done(&self, id: JobId) -> bool {
        let record = self.final_records.get(&id);
        record.is_some_and(|record| record.state == JobState::Done)
    }
}

fn live_tasks(worker: &Worker) -> Vec<TaskId> {
    let live = worker.tasks.iter().filter(|(_, known)| known.is_live());
    live.map(|(id, _)| *id).collect()
}
