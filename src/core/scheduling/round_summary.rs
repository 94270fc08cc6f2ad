//! What a scheduling round did.

/// Tasks that a scheduling round started and stopped.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RoundSummary {
    /// Started in the order of the queue, or for the head by preemption.
    pub started_in_order: u32,
    /// Started by backfilling.
    pub backfilled: u32,
    /// Shadow tasks preempted for the head.
    pub preempted: u32,
}
