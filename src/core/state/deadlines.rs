//! When jobs are due: by their own deadlines, by the objectives of their class, and
//! by the deadlines of the jobs that depend on them.

use std::time::Instant;

use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;

/// When a job is due, in seconds from its arrival; negative if it was due before it
/// arrived. Both are `None` if the job has no deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(in crate::core) struct Deadlines {
    /// The earliest of the deadlines that hold for the job.
    pub(in crate::core) earliest: Option<f64>,
    /// The latest of the deadlines that hold for the job.
    pub(in crate::core) latest: Option<f64>,
}

impl Deadlines {
    /// The deadlines of a job that has only this one.
    fn single(due: f64) -> Self {
        Self {
            earliest: Some(due),
            latest: Some(due),
        }
    }

    /// The earliest and the latest among the deadlines of both.
    fn merge(self, other: Self) -> Self {
        let earliest = [self.earliest, other.earliest].into_iter().flatten();
        let latest = [self.latest, other.latest].into_iter().flatten();
        Self {
            earliest: earliest.reduce(f64::min),
            latest: latest.reduce(f64::max),
        }
    }
}

impl ClusterModel {
    /// The job's own deadlines together with those that it inherits from the jobs that
    /// depend on it.
    pub(in crate::core) fn effective_deadlines(&self, job: &Job) -> Deadlines {
        let own = self.deadlines_without_inherited(job);
        let Some(inherited) = self.dependencies.inherited_urgency(job.spec.id) else {
            return own;
        };
        let from_arrival = |due: Instant| match due.checked_duration_since(job.arrival) {
            Some(after_arrival) => after_arrival.as_secs_f64(),
            None => -job.arrival.duration_since(due).as_secs_f64(),
        };
        own.merge(Deadlines {
            earliest: inherited.due.map(from_arrival),
            latest: inherited.latest_due.map(from_arrival),
        })
    }

    /// The job's own deadlines: the one that its user gave, and those that the objectives
    /// of its class set. The time that the job waits for its dependencies doesn't count
    /// towards an objective on the time to finish.
    pub(in crate::core) fn deadlines_without_inherited(&self, job: &Job) -> Deadlines {
        let class = Some(&job.spec.class);
        let objectives = self.config.objectives.iter();
        let of_class = objectives.filter(|objective| objective.class.as_ref() == class);
        let by_objective = of_class.filter_map(|objective| match objective.kind.as_str() {
            "finished" => {
                let waited = self.ready_since(job).saturating_duration_since(job.arrival);
                Some(objective.within_s? + waited.as_secs_f64())
            }
            "deadline" => Some(job.spec.deadline_s? * objective.times.unwrap_or(1.0)),
            _ => None,
        });
        let all = job.spec.deadline_s.into_iter().chain(by_objective);
        all.map(Deadlines::single)
            .fold(Deadlines::default(), Deadlines::merge)
    }
}
