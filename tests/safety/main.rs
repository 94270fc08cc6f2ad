//! Election and evidence under lost, late, repeated and reordered messages:
//! no task is in two places, no limit is passed, no state goes back, nothing
//! of a cancelled job is started, nor of one whose dependencies aren't done, and
//! what is told of a job agrees with what is stored of the jobs that it needs.
//! Leaders come and go; what an earlier one has sent still arrives.

mod cluster;
mod commands;
mod generated;
mod heartbeats;
#[path = "../support/mod.rs"]
mod support;
#[path = "../support/worker.rs"]
mod worker;
