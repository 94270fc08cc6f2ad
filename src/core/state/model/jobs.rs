//! Jobs of the model: their acceptance, dependencies, cancellation and removal, and the
//! status that users are given.

use std::time::{Duration, Instant};

use tracing::{debug, info};

use crate::core::state::dependencies::{DependencyOutcome, DependentJob, Urgency};
use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;
use crate::core::storage::record::JobRecord;
use crate::wire::{JobId, JobState, JobStatus, TaskId};

impl ClusterModel {
    /// Adds an accepted job; one that is known already stays as it is. Slots whose attempts
    /// belong to the job become places of its tasks.
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
        let is_cancelled = |id: &&JobId| self.jobs.get(id).is_some_and(Job::cancellation_is_stored);
        let cancelled: Vec<JobId> = spec
            .awaits
            .iter()
            .chain([&id])
            .filter(is_cancelled)
            .copied()
            .collect();
        for cancelled_id in cancelled {
            self.cancel_dependents(cancelled_id);
        }
    }

    fn add_dependencies(&mut self, job: &Job) {
        let own = self.deadlines_without_inherited(job);
        let instant_of = |due: Option<f64>| {
            let due = Duration::try_from_secs_f64(due?).ok()?;
            job.arrival.checked_add(due)
        };
        let dependent = DependentJob {
            id: job.spec.id,
            awaits: &job.spec.awaits,
            urgency: Urgency {
                priority: job.spec.priority,
                due: instant_of(own.earliest),
                latest_due: instant_of(own.latest),
            },
            run_time: self.predict(&job.spec),
        };
        let jobs = &self.jobs;
        let visits_before = self.dependencies.visits();
        self.dependencies.add(&dependent, |dependency| {
            jobs.get(&dependency)
                .is_some_and(|job| !job.cancellation_is_stored())
        });
        let visits = self.dependencies.visits() - visits_before;
        if !job.spec.awaits.is_empty() {
            debug!(job = %job.spec.id, visits, "job added to the dependency graph");
        }
    }

    /// Applies the outcome of a job that others depend on, as the state service has it.
    pub fn resolve_dependency(&mut self, id: JobId, outcome: DependencyOutcome) {
        match outcome {
            DependencyOutcome::Done(done_at) => self.dependencies.done_stored(id, done_at),
            DependencyOutcome::Cancelled => self.cancel_dependents(id),
        }
    }

    /// Cancels all jobs that depend on a job whose cancellation is stored. That record
    /// covers them, too: their cancellation may be confirmed to a user without a record
    /// of their own.
    fn cancel_dependents(&mut self, id: JobId) {
        let visits_before = self.dependencies.visits();
        let dependents = self.dependencies.cancellation_stored(id);
        let visits = self.dependencies.visits() - visits_before;
        debug!(job = %id, visits, "cancelled job removed from the dependency graph");
        for dependent in dependents {
            // A dependent that its user has cancelled, too, has a record of its own, which
            // may not be stored yet.
            if let Some(job) = self.jobs.get_mut(&dependent).filter(|j| !j.cancelled) {
                job.cancelled = true;
                job.cancellation_stored = true;
                info!(job = %dependent, dependency = %id, "job cancelled because a dependency was cancelled");
            }
        }
    }

    /// Whether a job is ready: it is neither cancelled nor waiting for other jobs.
    pub(in crate::core) fn is_ready(&self, job: &Job) -> bool {
        !job.cancelled && self.dependencies.is_ready(job.spec.id)
    }

    /// All ready jobs, whether or not their tasks are placed.
    pub(in crate::core) fn ready_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| self.is_ready(job))
    }

    /// Whether a job is ready and has tasks that are not placed yet.
    pub fn is_waiting_for_capacity(&self, job: &Job) -> bool {
        job.waiting.count() > 0 && self.is_ready(job)
    }

    /// The jobs for which [`ClusterModel::is_waiting_for_capacity`] holds.
    pub fn jobs_waiting_for_capacity(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| self.is_waiting_for_capacity(job))
    }

    /// When a job began to wait for capacity: when it arrived, or when the last of its
    /// dependencies was done.
    pub fn ready_since(&self, job: &Job) -> Instant {
        let last_done_at = self.dependencies.ready_since(job.spec.id);
        last_done_at.map_or(job.arrival, |at| at.max(job.arrival))
    }

    /// Notes that a job's cancellation is stored, and cancels the jobs that depend on it.
    pub fn cancellation_stored(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancellation_stored = true;
        }
        self.cancel_dependents(id);
    }

    /// Marks a job as cancelled, so that none of its tasks starts any more, and stops the
    /// placed ones without grace time.
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

    /// Removes a finished job: its final state is stored.
    pub fn remove_job(&mut self, id: JobId) {
        self.jobs.remove(&id);
        self.dependencies.remove(id);
    }

    /// The status that a user is given. `None` if the job is not known, and while its final
    /// state or a cancellation, its own or of a dependency, may be stored without this
    /// process knowing: another controller may have read it and confirmed it to the user,
    /// so only the state service can tell then.
    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        let job = self.jobs.get(&id)?;
        let cancelled = job.cancellation_is_stored();
        if !cancelled
            && (job.final_write_pending || job.cancelled || self.dependencies.has_dependency_in_doubt(id))
        {
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
