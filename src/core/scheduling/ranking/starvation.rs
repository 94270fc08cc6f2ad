//! Starvation: jobs that have waited long without a start are ranked higher.

use std::time::Duration;

use crate::core::state::job::Job;

/// A job that has not begun after so long comes first in its priority...
pub const STARVED_AFTER: Duration = Duration::from_secs(100);
/// ...and after so long in all: the users expect even the largest job to begin
/// within four minutes.
pub const STARVED_ACROSS_PRIORITIES_AFTER: Duration = Duration::from_secs(150);
/// So many of a starved job's tasks go first; the rest waits in the job's
/// ordinary place, so that all starved jobs begin soon.
pub(in crate::core) const STARVED_FIRST_TASKS: u32 = 2;

/// Whether a job starves, and how far that raises it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Starvation {
    /// It has begun, or has not waited long.
    No,
    /// It comes first in its own priority.
    WithinPriority,
    /// It comes first among all jobs.
    AcrossPriorities,
}

impl Starvation {
    /// Judges a job that has been ready to start for `age`.
    pub(super) fn of(job: &Job, age: Duration) -> Self {
        if age <= STARVED_AFTER || job.has_started() {
            Self::No
        } else if age <= STARVED_ACROSS_PRIORITIES_AFTER {
            Self::WithinPriority
        } else {
            Self::AcrossPriorities
        }
    }
}
