//! What a scheduling round did, in numbers of tasks.

/// How many tasks a scheduling round placed and preempted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RoundSummary {
    /// Placed in the order of the queue, including those of the head that preemption
    /// freed resources for.
    pub placed_in_order: u32,
    /// Placed by backfilling, behind the blocked head.
    pub backfilled: u32,
    /// Shadow and over-quota tasks preempted for the head.
    pub preempted: u32,
}
