//! The cluster model as a pure state machine: events and the time go in,
//! decisions come out. There is no I/O, no clock and no randomness in here.
//!
//! - [`state`] holds what the leader of one term knows: jobs, machines, places of
//!   tasks, and dependencies between jobs.
//! - [`evidence`] holds the rules by which messages, silence and leases change that
//!   state, and what a leader may still do.
//! - [`scheduling`] is PV-EASY: the order of the queue, placement and preemption.
//! - [`fleet`] decides which machines to rent and which to release.
//! - [`storage`] defines what survives a leader: records and the write-ahead log.

pub mod evidence;
pub mod fleet;
pub mod scheduling;
pub mod state;
pub mod storage;

pub use state::config::SchedulerConfig;
pub use state::model::ClusterModel;
