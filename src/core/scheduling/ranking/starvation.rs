//! Starvation: raises the rank of jobs that have waited long without a start. It is an
//! addition to the paper that [`scheduling`](crate::core::scheduling) names.

use std::time::Duration;

use crate::core::state::job::Job;

/// A job that has not started this long after it became ready comes first within its
/// priority.
pub const STARVED_AFTER: Duration = Duration::from_secs(100);
/// A job that has not started this long after it became ready comes first across all
/// priorities: users expect even the largest job to start within four minutes.
pub const STARVED_ACROSS_PRIORITIES_AFTER: Duration = Duration::from_secs(150);
/// How many tasks of a starved job come first. The others wait at the job's ordinary
/// rank, so that all starved jobs start soon.
pub(in crate::core) const STARVED_FIRST_TASKS: u32 = 2;

/// Whether a job is starved, and how far that raises its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Starvation {
    /// The job has started, or has not waited long.
    No,
    /// The job comes first within its own priority.
    WithinPriority,
    /// The job is raised to the highest priority and comes first within it.
    AcrossPriorities,
}

impl Starvation {
    /// The starvation of a job that became ready `waited` ago.
    pub(super) fn of(job: &Job, waited: Duration) -> Self {
        if waited <= STARVED_AFTER || job.has_started() {
            Self::No
        } else if waited <= STARVED_ACROSS_PRIORITIES_AFTER {
            Self::WithinPriority
        } else {
            Self::AcrossPriorities
        }
    }
}
