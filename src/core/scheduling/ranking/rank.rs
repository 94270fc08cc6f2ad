//! The rank of a job in the queue.

use std::cmp::Reverse;

use crate::wire::{JobId, Priority};

/// Rank of a job in the queue. The smaller rank comes first and outranks the greater. Ranks
/// are compared field by field in the order of declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The job's effective priority: its own, inherited from a job that depends on it, or
    /// raised because the job is starved; see
    /// [`STARVED_ACROSS_PRIORITIES_AFTER`](super::starvation::STARVED_ACROSS_PRIORITIES_AFTER).
    pub priority: Reverse<Priority>,
    /// Order within the priority, see [`Tier`].
    pub tier: Tier,
    /// Order within the tier. For a job with a deadline in [`Tier::InTime`] or
    /// [`Tier::Late`] it is the remaining work in CPU milliseconds, so that as many jobs as
    /// possible meet their deadlines; otherwise the negated time in milliseconds since the
    /// job became ready, so that the one that has waited longest comes first.
    pub tie_break: i64,
    /// Makes the order total: no two jobs have equal ranks.
    pub job: JobId,
}

/// Order within a priority, the first variant first. It matters only while capacity is
/// short: then jobs that can still meet their deadlines come before those that can't.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// The job has waited long without a start: its first tasks come before all other jobs
    /// of its priority, so that it starts even under sustained overload.
    Starved,
    /// The job is within its team's quota, so it comes before other teams' jobs that are
    /// beyond theirs.
    WithinQuota,
    /// The job is predicted to meet its earliest deadline, or has none, or missed all its
    /// deadlines so long ago that it must not wait longer.
    InTime,
    /// The job is predicted to miss its earliest deadline, but to meet its latest.
    Late,
    /// The job is predicted to miss all its deadlines.
    Missed,
}
