//! Jobs of the model: accepted, waiting for others, cancelled, removed; and what a
//! user may be answered about them.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::dependencies::{DependencyOutcome, DependentJob, Urgency};
use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;
use crate::core::storage::record::JobRecord;
use crate::wire::{JobId, JobState, JobStatus, TaskId};

impl ClusterModel {
    /// Adds an accepted job. A job that is known already stays as it is.
    pub fn add_job(&mut self, record: JobRecord, arrival: Instant) {
        let id = record.spec.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(record, arrival);
        let spec = job.spec.clone();
        for machine in self.machines.values_mut() {
            for (task, slot) in machine.slots.iter_mut().filter(|(t, _)| t.job == id) {
                slot.spec = Some(spec.clone());
                if slot.takes_resources() && task.index < spec.tasks {
                    job.add_place(task.index, &machine.id);
                }
            }
        }
        self.add_dependencies(&job);
        self.jobs.insert(id, job);
        let cancelled = |named: &&JobId| self.jobs.get(named).is_some_and(Job::cancellation_is_stored);
        let cancelled: Vec<JobId> = spec
            .awaits
            .iter()
            .chain([&id])
            .filter(cancelled)
            .copied()
            .collect();
        for named in cancelled {
            self.cancel_dependents(named);
        }
    }

    fn add_dependencies(&mut self, job: &Job) {
        let own = self.own_deadlines(job);
        let at = |due: Option<f64>| {
            let due = Duration::try_from_secs_f64(due?).ok()?;
            job.arrival.checked_add(due)
        };
        let dependent = DependentJob {
            id: job.spec.id,
            awaits: &job.spec.awaits,
            urgency: Urgency {
                priority: job.spec.priority,
                due: at(own.earliest),
                latest_due: at(own.latest),
            },
            run_time: self.predict(&job.spec),
        };
        let jobs = &self.jobs;
        self.dependencies.add(&dependent, |named| {
            jobs.get(&named).is_some_and(|j| !j.cancellation_is_stored())
        });
    }

    /// Takes what the state service says of a job that others name.
    pub fn resolve_dependency(&mut self, id: JobId, outcome: DependencyOutcome) {
        match outcome {
            DependencyOutcome::Done(since) => self.dependencies.done_stored(id, since),
            DependencyOutcome::Cancelled => self.cancel_dependents(id),
        }
    }

    /// Cancels all jobs that need a job whose cancellation is stored. That record
    /// holds for them, too: theirs need not be stored before it is confirmed to a client.
    fn cancel_dependents(&mut self, id: JobId) {
        for dependent in self.dependencies.cancellation_stored(id) {
            // One that its own user cancels meanwhile has its own record on its way.
            if let Some(job) = self.jobs.get_mut(&dependent).filter(|j| !j.cancelled) {
                job.cancelled = true;
                job.cancellation_stored = true;
                info!(job = %dependent, needs = %id, "cancelled with a job that it needs");
            }
        }
    }

    /// Whether a job has a place in the queue: it is neither cancelled nor waiting
    /// for other jobs.
    pub(in crate::core) fn is_ready(&self, job: &Job) -> bool {
        !job.cancelled && self.dependencies.is_ready(job.spec.id)
    }

    /// Jobs that have a place in the queue, whether or not tasks of them are placed.
    pub(in crate::core) fn ready_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| self.is_ready(job))
    }

    /// Whether a job is ready and has tasks that are not placed yet.
    pub fn is_waiting_for_capacity(&self, job: &Job) -> bool {
        job.waiting.count() > 0 && self.is_ready(job)
    }

    /// The jobs that want room, see [`ClusterModel::is_waiting_for_capacity`].
    pub fn jobs_waiting_for_capacity(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| self.is_waiting_for_capacity(job))
    }

    /// When a job began to wait for room: when it arrived, or when the last job
    /// that it needs was done.
    pub fn ready_since(&self, job: &Job) -> Instant {
        let done = self.dependencies.ready_since(job.spec.id);
        done.map_or(job.arrival, |t| t.max(job.arrival))
    }

    /// Takes a cancellation that has been stored.
    pub fn cancellation_stored(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancellation_stored = true;
        }
        self.cancel_dependents(id);
    }

    /// Asks for a job's tasks to be stopped, and lets none start any more.
    pub fn cancel(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancelled = true;
        let places = job.all_places();
        if !job.cancellation_stored {
            self.dependencies.cancellation_requested(id);
        }
        for (machine, index) in places {
            self.stop(
                &machine,
                TaskId { job: id, index },
                Duration::ZERO,
                now,
                "cancelled",
            );
        }
    }

    /// Removes a finished job.
    pub fn remove_job(&mut self, id: JobId) {
        self.jobs.remove(&id);
        self.dependencies.remove(id);
    }

    /// The status that its user is given; `None` also while a final state or a cancellation,
    /// its own or of a job that it needs, is on its way to be stored. It may be
    /// stored already though no answer says so, and another controller that read
    /// it may have confirmed it to the user: only what is stored is sure then.
    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        let job = self.jobs.get(&id)?;
        let cancelled = job.cancellation_is_stored();
        if !cancelled && (job.final_write_pending || job.cancelled || self.dependencies.in_doubt(id)) {
            return None;
        }
        let running = job.running.len() as u32;
        let state = if cancelled {
            JobState::Cancelled
        } else if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        Some(JobStatus {
            id,
            state,
            done: job.done.count(),
            running,
        })
    }
}
