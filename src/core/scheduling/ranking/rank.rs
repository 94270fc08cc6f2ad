//! A job's place in the queue.

use std::cmp::Reverse;

use crate::wire::{JobId, Priority};

/// Place of a job in the queue; the smaller comes first. The fields decide in the
/// order in which they are declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The job's priority, inherited, or raised because it starves; see
    /// [`STARVED_ACROSS_PRIORITIES_AFTER`](super::starvation::STARVED_ACROSS_PRIORITIES_AFTER).
    pub priority: Reverse<Priority>,
    /// Order within the priority.
    pub tier: Tier,
    /// Order within the tier: the remaining work of a job that is due, in CPU
    /// milliseconds, so that as many as possible are served in time; otherwise the
    /// negative age in milliseconds, so that the oldest comes first.
    pub tie_break: i64,
    /// Makes the order total.
    pub job: JobId,
}

/// Order within a priority. Where there is room for all, it decides nothing;
/// where there is not, jobs that can still meet their deadlines come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Has waited long and not begun: its first tasks go before all others of
    /// its priority, so that a lasting overload keeps nobody out.
    Starved,
    /// Within its team's quota: it need not wait for other teams.
    WithinQuota,
    /// In time, or without a deadline.
    InTime,
    /// Late for its earliest deadline, but not for its latest.
    Late,
    /// Too late for all its deadlines.
    Missed,
}
