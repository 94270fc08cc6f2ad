//! Scheduling rounds of PV-EASY: their invariants with generated clusters and jobs, and each
//! step by itself.

mod admission;
mod backfilling;
mod cordon;
mod fixtures;
mod gangs;
mod generated;
mod overload;
mod prediction;
mod preemption;
mod probation;
mod ranking;
#[path = "../support/mod.rs"]
mod support;
