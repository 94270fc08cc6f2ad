//! What must hold at each moment, judged by what is stored and what workers run.

use std::collections::BTreeSet;

use bitternfold::core::storage::record::JobRecord;
use bitternfold::wire::*;

use super::World;
use crate::worker::Worker;

impl World {
    pub fn tell(&mut self, id: JobId, s: JobState) {
        if let Some(old) = self.told.insert(id, s) {
            if matches!(old, JobState::Done | JobState::Cancelled) {
                assert_eq!(old, s, "{id} went back");
            }
        }
        if s == JobState::Done {
            let f = &self.finals[&id];
            assert_eq!(f.done, self.spec_tasks(id), "{id} is called done too early");
        }
    }

    pub fn spec_tasks(&self, id: JobId) -> u32 {
        self.model
            .jobs()
            .get(&id)
            .map_or_else(|| self.finals[&id].done, |j| j.spec.tasks)
    }

    /// No task starts before all jobs that its job needs are stored as done.
    pub fn all_needed_are_done(&self, task: TaskId) {
        for needed in &self.awaits[&task.job] {
            let state = self.finals.get(needed).map(|f| f.state);
            assert_eq!(
                state,
                Some(JobState::Done),
                "{task} starts before {needed} is done"
            );
        }
    }

    /// An answer that renews a worker's lease lets no task live on that the leader
    /// doesn't know of, or whose job is over or cancelled: a direct command may
    /// never reach that worker.
    pub fn renews_nothing_unknown(&self, r: &Heartbeat, orders: &[Command]) {
        let unknown: Vec<_> = self.model.unknown_tasks(r).collect();
        assert!(unknown.is_empty(), "{unknown:?} run on {} unknown", r.machine);
        let slots = &self.model.machines()[&r.machine].slots;
        for t in r.tasks.iter().filter(|t| t.state != TaskState::Exited) {
            let slot = slots.get(&t.task).filter(|slot| slot.attempt == t.attempt);
            let open = self.model.jobs().get(&t.task.job).is_some_and(|j| !j.cancelled);
            let stopped = orders.iter().any(
                |o| matches!(o, Command::Stop { task, attempt, .. } if *task == t.task && *attempt == t.attempt),
            );
            assert!(
                slot.is_some() && open || stopped,
                "{} attempt {} lives on with the answer to {}",
                t.task,
                t.attempt,
                r.machine
            );
        }
    }

    /// Whether what is stored says that a job is cancelled, by itself or with a
    /// job that it needs: the plain rule, walked anew each time.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        match (self.finals.get(&id), self.jobs.get(&id)) {
            (Some(f), _) => f.state == JobState::Cancelled,
            (None, Some(r)) if r.cancelled => true,
            _ => self.awaits[&id].iter().any(|needed| self.is_cancelled(*needed)),
        }
    }

    /// What the leader tells from memory agrees with what is stored, also of the
    /// jobs before the one asked for.
    pub fn told_as_stored(&self) {
        for id in self.model.jobs().keys() {
            let Some(view) = self.model.status(*id) else {
                continue;
            };
            let told = view.state == JobState::Cancelled;
            assert_eq!(told, self.is_cancelled(*id), "{id} is called {:?}", view.state);
        }
    }

    /// The task that was just started is live on one machine only.
    pub fn no_double(&self, task: TaskId) {
        let live: Vec<_> = self
            .workers
            .iter()
            .filter(|w| w.alive && w.tasks.get(&task).is_some_and(|t| t.1 != TaskState::Exited))
            .map(|w| w.id.clone())
            .collect();
        assert!(live.len() <= 1, "{task} is on {live:?}");
        // Red's tasks use no more than 40 CPUs, wherever they are.
        let cpus: f64 = self
            .workers
            .iter()
            .filter(|w| w.alive)
            .flat_map(|w| &w.tasks)
            .filter(|(_, t)| t.1 != TaskState::Exited)
            .filter_map(|(t, _)| self.jobs.get(&t.job).or(None).map(|j| &j.spec))
            .filter(|s| s.team == "red")
            .map(|s| s.cpus)
            .sum();
        assert!(cpus <= 40.0, "red uses {cpus} CPUs");
    }

    /// Jobs with a task that is nowhere, though some machine has room for it and
    /// its team is under its limit.
    pub fn waiting_beside_room(&self) -> BTreeSet<JobId> {
        let live = |w: &Worker| -> Vec<TaskId> {
            let t = w.tasks.iter().filter(|t| t.1 .1 != TaskState::Exited);
            t.map(|t| *t.0).collect()
        };
        let cpus = |t: &TaskId| self.jobs.get(&t.job).map_or(0.0, |r| r.spec.cpus);
        let there: Vec<_> = self.workers.iter().filter(|w| w.alive).collect();
        let most_free = there
            .iter()
            .map(|w| 8.0 - live(w).iter().map(cpus).sum::<f64>())
            .fold(0.0, f64::max);
        let all: Vec<TaskId> = there.iter().flat_map(|w| live(w)).collect();
        let red = |t: &&TaskId| self.jobs.get(&t.job).is_some_and(|r| r.spec.team == "red");
        let red_uses: f64 = all.iter().filter(red).map(cpus).sum();
        let waits = |r: &&JobRecord| {
            let s = &r.spec;
            let here = all.iter().filter(|t| t.job == s.id).count() as u32;
            let done = self.model.jobs().get(&s.id).map_or(s.tasks, |j| j.done.count());
            let is_done = |needed: &JobId| self.finals.get(needed).is_some_and(|f| f.state == JobState::Done);
            !r.cancelled
                && s.awaits.iter().all(is_done)
                && here + done < s.tasks
                && s.cpus <= most_free
                && (s.team != "red" || red_uses + s.cpus <= 40.0)
        };
        self.jobs.values().filter(waits).map(|r| r.spec.id).collect()
    }
}
