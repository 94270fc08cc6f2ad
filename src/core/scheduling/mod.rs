//! PV-EASY: the order of the queue, placement on machines, and preemption.

pub mod admission;
mod borrowed;
mod capacity;
mod placement;
pub mod plan;
pub mod probation;
pub mod ranking;
