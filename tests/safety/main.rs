//! Safety of the scheduler under lost, delayed, duplicated and reordered messages, while
//! leaders change and messages of deposed leaders still arrive:
//!
//! - no task runs on two machines, and no team exceeds its limit;
//! - no final state of a job changes;
//! - no task starts if its job is cancelled or a dependency isn't done;
//! - the reported state of a job agrees with the stored records of the job and its
//!   dependencies.

mod cluster;
mod commands;
mod generated;
mod heartbeats;
mod late_copies;
#[path = "../support/mod.rs"]
mod support;
#[path = "../support/worker.rs"]
mod worker;
