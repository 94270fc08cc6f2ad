//! The order of the queue: by priority, then by [`Tier`], then by remaining work or by
//! waiting time.
//!
//! - [`rank`] defines the order itself.
//! - [`starvation`] raises the rank of jobs that have waited long without a start.
//! - `quota` finds the jobs that are within their team's quota.
//!
//! Ranks are computed anew in each round and never stored. They rest on the run times
//! that [`ClusterModel::predict`] returns.

mod quota;
pub mod rank;
pub mod starvation;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

pub use self::rank::{Rank, Tier};
use self::starvation::Starvation;
use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;
use crate::wire::{JobId, Priority};

/// A job that missed all its deadlines returns to [`Tier::InTime`] once its age exceeds
/// this multiple of its latest deadline, so that no job waits forever.
const MAX_WAIT_IN_DEADLINES: f64 = 5.0;

impl ClusterModel {
    /// The ranks of all unfinished jobs that are neither cancelled nor waiting for other
    /// jobs.
    pub fn ranks(&self, now: Instant) -> BTreeMap<JobId, Rank> {
        let within_quota = self.jobs_within_quota();
        self.ready_jobs()
            .map(|job| (job.spec.id, self.rank(job, &within_quota, now)))
            .collect()
    }

    /// The effective priority of a job: its own, or a higher one of a job that depends on
    /// it.
    pub fn effective_priority(&self, job: &Job) -> Priority {
        let inherited = self.dependencies.inherited_urgency(job.spec.id);
        inherited.map_or(job.spec.priority, |i| i.priority.max(job.spec.priority))
    }

    fn rank(&self, job: &Job, within_quota: &HashSet<JobId>, now: Instant) -> Rank {
        let id = job.spec.id;
        let waited = now.saturating_duration_since(self.ready_since(job));
        let starvation = Starvation::of(job, waited);
        let priority = match starvation {
            Starvation::AcrossPriorities => Priority::Production,
            Starvation::No | Starvation::WithinPriority => self.effective_priority(job),
        };
        let tier = if starvation != Starvation::No {
            Tier::Starved
        } else if within_quota.contains(&id) {
            Tier::WithinQuota
        } else {
            self.deadline_tier(job, now)
        };
        Rank {
            priority: Reverse(priority),
            tier,
            tie_break: self.tie_break(job, tier, waited),
            job: id,
        }
    }

    /// The tier of a job that is neither starved nor within its team's quota.
    fn deadline_tier(&self, job: &Job, now: Instant) -> Tier {
        let deadlines = self.effective_deadlines(job);
        let (Some(earliest), Some(latest)) = (deadlines.earliest, deadlines.latest) else {
            return Tier::InTime;
        };
        let age = now.saturating_duration_since(job.arrival);
        let predicted_finish = (age + self.predict(&job.spec)).as_secs_f64();
        if predicted_finish <= earliest || age.as_secs_f64() > latest * MAX_WAIT_IN_DEADLINES {
            Tier::InTime
        } else if predicted_finish <= latest {
            Tier::Late
        } else {
            Tier::Missed
        }
    }

    /// Computes [`Rank::tie_break`].
    fn tie_break(&self, job: &Job, tier: Tier, waited: Duration) -> i64 {
        match tier {
            Tier::InTime | Tier::Late if self.effective_deadlines(job).earliest.is_some() => {
                let cpu_seconds_per_task = self.predict(&job.spec).as_secs_f64() * job.spec.cpus;
                (cpu_seconds_per_task * f64::from(job.spec.tasks - job.done.count()) * 1e3) as i64
            }
            _ => -(waited.as_millis() as i64),
        }
    }
}
