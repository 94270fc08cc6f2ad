//! Requests of users: jobs are submitted and cancelled. The leader looks up the outcomes of
//! dependencies.

use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::wire::*;

use super::super::message::Message;
use super::super::SimulatedCluster;
use crate::support::*;

impl SimulatedCluster {
    pub(super) fn submit(&mut self, tasks: u32, cpus: u32, red_team: bool, awaits: &[usize]) {
        self.next_job += 1;
        let mut spec = job(self.next_job, tasks, f64::from(cpus));
        let picked = awaits.iter().filter(|_| !self.submitted.is_empty());
        spec.awaits = picked.map(|i| self.submitted[i % self.submitted.len()]).collect();
        self.dependencies.insert(spec.id, spec.awaits.clone());
        if red_team {
            spec.team = "red".into();
        }
        let record = job_record(spec);
        self.submitted.push(record.spec.id);
        self.stored_jobs.insert(record.spec.id, record.clone());
        self.model.add_job(record, self.now);
    }

    pub(super) fn cancel_if_open(&mut self, selector: usize) {
        if self.submitted.is_empty() {
            return;
        }
        let id = self.submitted[selector % self.submitted.len()];
        if self.is_open(id) {
            self.cancel(id);
        }
    }

    pub(super) fn cancel_as_tasks_end(&mut self, machine: usize) {
        let worker = self.selected_worker(machine);
        let mut ended = Vec::new();
        for (id, task) in &mut worker.tasks {
            if task.state == TaskState::Running {
                task.exit(ExitReason::Done);
                ended.push(id.job);
            }
        }
        let alive = worker.alive;
        let heartbeat = worker.next_heartbeat();
        if alive && !self.heartbeats_lost.contains(&heartbeat.machine) {
            let sent = self.now;
            self.in_flight.push(Message::Heartbeat { heartbeat, sent });
        }
        ended.retain(|id| self.is_open(*id));
        ended.dedup();
        ended.into_iter().for_each(|id| self.cancel(id));
    }

    fn is_open(&self, id: JobId) -> bool {
        let known = self.model.jobs().get(&id);
        known.is_some_and(|job| !job.is_complete() && !job.cancelled)
    }

    /// The leader stops the job's tasks at once. The user gets the confirmation once the
    /// cancellation is stored.
    fn cancel(&mut self, id: JobId) {
        self.model.cancel(id, self.now);
        let term = self.term;
        self.in_flight.push(Message::StoreCancellation { id, term });
    }

    pub(super) fn resolve_dependency(&mut self, selector: usize) {
        let unresolved = self.model.dependencies().unresolved();
        let Some(id) = unresolved.iter().nth(selector % unresolved.len().max(1)).copied() else {
            return;
        };
        let Some(record) = self.final_records.get(&id) else {
            return;
        };
        let outcome = match record.state {
            JobState::Cancelled => DependencyOutcome::Cancelled,
            _ => DependencyOutcome::Done(None),
        };
        self.model.resolve_dependency(id, outcome);
    }
}
