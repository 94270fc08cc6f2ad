//! What must hold at each moment, judged by what is stored and what workers run.

use std::collections::BTreeSet;

use bitternfold::core::storage::record::JobRecord;
use bitternfold::wire::*;

use super::SimulatedCluster;
use crate::worker::Worker;

/// CPUs that the tasks of the limited team may use together.
const RED_CPUS: f64 = 40.0;
/// CPUs of each machine.
const MACHINE_CPUS: f64 = 8.0;

impl SimulatedCluster {
    /// Notes that a job's state is confirmed to a client. A final state stays, and a job
    /// is done only once all its tasks are.
    pub fn confirm(&mut self, id: JobId, state: JobState) {
        if let Some(old) = self.confirmed.insert(id, state) {
            if matches!(old, JobState::Done | JobState::Cancelled) {
                assert_eq!(old, state, "{id} went back");
            }
        }
        if state == JobState::Done {
            let record = &self.final_records[&id];
            assert_eq!(record.done, self.task_count(id), "{id} is called done too early");
        }
    }

    fn task_count(&self, id: JobId) -> u32 {
        let known = self.model.jobs().get(&id);
        known.map_or_else(|| self.final_records[&id].done, |job| job.spec.tasks)
    }

    /// A start is sent only if the job isn't cancelled, its dependencies are done and the
    /// stored log names the machine.
    pub fn check_start(&self, task: TaskId, machine: &MachineId) {
        assert!(
            !matches!(self.confirmed.get(&task.job), Some(JobState::Cancelled)),
            "{task} of a cancelled job is started"
        );
        let mut segments = self.wal.values();
        let named = segments.any(|segment| segment.to_string().contains(&**machine));
        assert!(
            named,
            "{task} is started on {machine}, which the log doesn't name"
        );
        self.check_dependencies_are_done(task);
    }

    /// No task starts before all jobs that its job needs are stored as done.
    pub fn check_dependencies_are_done(&self, task: TaskId) {
        for needed in &self.dependencies[&task.job] {
            let state = self.final_records.get(needed).map(|record| record.state);
            assert_eq!(
                state,
                Some(JobState::Done),
                "{task} starts before {needed} is done"
            );
        }
    }

    /// A response that renews a worker's lease lets no task live on that the leader
    /// doesn't know of, or whose job is over or cancelled: a direct command may never
    /// reach that worker.
    pub fn check_no_task_lives_on_unknown(&self, heartbeat: &Heartbeat, commands: &[Command]) {
        let unknown: Vec<_> = self.model.unknown_tasks(heartbeat).collect();
        assert!(
            unknown.is_empty(),
            "{unknown:?} run on {} unknown",
            heartbeat.machine
        );
        let slots = &self.model.machines()[&heartbeat.machine].slots;
        let live = heartbeat.tasks.iter();
        for reported in live.filter(|task| task.state != TaskState::Ended) {
            let slot = slots.get(&reported.task);
            let slot = slot.filter(|slot| slot.attempt == reported.attempt);
            let job = self.model.jobs().get(&reported.task.job);
            let open = job.is_some_and(|job| !job.cancelled);
            let stopped = commands.iter().any(|command| {
                matches!(command, Command::Stop { task, attempt, .. }
                    if *task == reported.task && *attempt == reported.attempt)
            });
            assert!(
                slot.is_some() && open || stopped,
                "{} attempt {} lives on with the answer to {}",
                reported.task,
                reported.attempt,
                heartbeat.machine
            );
        }
    }

    /// Whether what is stored says that a job is cancelled, by itself or with a job that
    /// it needs: the plain rule, walked anew each time.
    fn is_cancelled(&self, id: JobId) -> bool {
        match (self.final_records.get(&id), self.stored_jobs.get(&id)) {
            (Some(record), _) => record.state == JobState::Cancelled,
            (None, Some(record)) if record.cancelled => true,
            _ => self.dependencies[&id]
                .iter()
                .any(|needed| self.is_cancelled(*needed)),
        }
    }

    /// The statuses that the leader gives from memory agree with what is stored, also of
    /// the jobs that each job needs.
    pub fn check_statuses_agree_with_storage(&self) {
        for id in self.model.jobs().keys() {
            let Some(view) = self.model.status(*id) else {
                continue;
            };
            let cancelled = view.state == JobState::Cancelled;
            assert_eq!(
                cancelled,
                self.is_cancelled(*id),
                "{id} is called {:?}",
                view.state
            );
        }
    }

    /// The task that was just started is live on one machine only, and its team is
    /// within its limit.
    pub fn check_runs_once_within_limit(&self, task: TaskId) {
        let runs_task = |worker: &&Worker| {
            let known = worker.tasks.get(&task);
            worker.alive && known.is_some_and(|known| known.is_live())
        };
        let on = self.workers.iter().filter(runs_task);
        let live: Vec<_> = on.map(|worker| worker.id.clone()).collect();
        assert!(live.len() <= 1, "{task} is on {live:?}");
        let all = self.workers.iter().filter(|worker| worker.alive);
        let cpus: f64 = all
            .flat_map(|worker| &worker.tasks)
            .filter(|(_, known)| known.is_live())
            .filter_map(|(id, _)| self.stored_jobs.get(&id.job).map(|record| &record.spec))
            .filter(|spec| spec.team == "red")
            .map(|spec| spec.cpus)
            .sum();
        assert!(cpus <= RED_CPUS, "red uses {cpus} CPUs");
    }

    /// Jobs with a task that is nowhere, though some machine has room for it and its team
    /// is under its limit.
    pub fn jobs_waiting_despite_room(&self) -> BTreeSet<JobId> {
        let alive: Vec<_> = self.workers.iter().filter(|worker| worker.alive).collect();
        let cpus_of = |task: &TaskId| {
            let record = self.stored_jobs.get(&task.job);
            record.map_or(0.0, |record| record.spec.cpus)
        };
        let is_red = |task: &&TaskId| {
            let record = self.stored_jobs.get(&task.job);
            record.is_some_and(|record| record.spec.team == "red")
        };
        let max_free = alive
            .iter()
            .map(|worker| MACHINE_CPUS - live_tasks(worker).iter().map(cpus_of).sum::<f64>())
            .fold(0.0, f64::max);
        let live: Vec<TaskId> = alive.iter().flat_map(|worker| live_tasks(worker)).collect();
        let red_cpus: f64 = live.iter().filter(is_red).map(cpus_of).sum();
        let waits = |record: &&JobRecord| {
            let spec = &record.spec;
            let placed = live.iter().filter(|task| task.job == spec.id).count() as u32;
            let known = self.model.jobs().get(&spec.id);
            let done = known.map_or(spec.tasks, |job| job.done.count());
            !record.cancelled
                && spec.awaits.iter().all(|needed| self.is_stored_as_done(*needed))
                && placed + done < spec.tasks
                && spec.cpus <= max_free
                && (spec.team != "red" || red_cpus + spec.cpus <= RED_CPUS)
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
