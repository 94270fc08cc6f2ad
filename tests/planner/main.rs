//! PV-EASY: its invariants under generated clusters, and its steps one by one.

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
