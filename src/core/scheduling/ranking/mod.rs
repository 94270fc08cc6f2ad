//! The order of the queue: by priority, then by [`Tier`], then by what is left to do
//! or by arrival.
//!
//! - [`rank`] defines the order itself.
//! - [`starvation`] raises jobs that have waited long without a start.
//! - `quota` finds the jobs that their team's quota covers.
//!
//! Ranks are computed anew in each round and never stored. Run times come from
//! [`ClusterModel::predict`].

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

/// A job that missed all its deadlines is ordered by arrival again once it has waited
/// so many times its latest deadline, so that none waits for ever.
const MAX_WAIT_IN_DEADLINES: f64 = 5.0;

impl ClusterModel {
    /// Places of all unfinished jobs in the queue, apart from those that are
    /// cancelled or wait for other jobs.
    pub fn ranks(&self, now: Instant) -> BTreeMap<JobId, Rank> {
        let within_quota = self.jobs_within_quota();
        self.ready_jobs()
            .map(|job| (job.spec.id, self.rank(job, &within_quota, now)))
            .collect()
    }

    /// The priority of a job: its own, or a higher one of a job that needs it.
    pub fn priority(&self, job: &Job) -> Priority {
        let inherited = self.dependencies.inherited_urgency(job.spec.id);
        inherited.map_or(job.spec.priority, |i| i.priority.max(job.spec.priority))
    }

    fn rank(&self, job: &Job, within_quota: &HashSet<JobId>, now: Instant) -> Rank {
        let id = job.spec.id;
        let age = now.saturating_duration_since(self.ready_since(job));
        let starvation = Starvation::of(job, age);
        let priority = match starvation {
            Starvation::AcrossPriorities => Priority::Production,
            Starvation::No | Starvation::WithinPriority => self.priority(job),
        };
        let tier = if starvation != Starvation::No {
            Tier::Starved
        } else if within_quota.contains(&id) {
            Tier::WithinQuota
        } else {
            self.lateness(job, now)
        };
        Rank {
            priority: Reverse(priority),
            tier,
            tie_break: self.tie_break(job, tier, age),
            job: id,
        }
    }

    /// The tier of a job that neither starves nor is within its team's quota.
    fn lateness(&self, job: &Job, now: Instant) -> Tier {
        let deadlines = self.deadlines(job);
        let (Some(earliest), Some(latest)) = (deadlines.earliest, deadlines.latest) else {
            return Tier::InTime;
        };
        let age = now.saturating_duration_since(job.arrival);
        let finished = (age + self.predict(&job.spec)).as_secs_f64();
        if finished <= earliest || age.as_secs_f64() > latest * MAX_WAIT_IN_DEADLINES {
            Tier::InTime
        } else if finished <= latest {
            Tier::Late
        } else {
            Tier::Missed
        }
    }

    /// Order within a tier, see [`Rank::tie_break`].
    fn tie_break(&self, job: &Job, tier: Tier, age: Duration) -> i64 {
        match tier {
            Tier::InTime | Tier::Late if self.deadlines(job).earliest.is_some() => {
                let per_task = self.predict(&job.spec).as_secs_f64() * job.spec.cpus;
                (per_task * f64::from(job.spec.tasks - job.done.count()) * 1e3) as i64
            }
            _ => -(age.as_millis() as i64),
        }
    }
}
