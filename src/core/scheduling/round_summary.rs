//! Counts of a scheduling round.

/// How many tasks a scheduling round placed and preempted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RoundSummary {
    /// Placed in the order of the queue, including those of the head that preemption made
    /// room for.
    pub placed_in_order: u32,
    /// Placed by backfilling.
    pub backfilled: u32,
    /// Shadow and over-quota tasks preempted for the head.
    pub preempted: u32,
}
