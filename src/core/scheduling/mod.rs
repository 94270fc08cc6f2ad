//! PV-EASY: the order of the queue, placement on machines, and preemption.

pub mod admission;
mod capacity;
mod over_quota;
mod placement;
pub mod plan;
pub mod ranking;
