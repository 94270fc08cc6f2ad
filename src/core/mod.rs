//! The cluster model as a pure state machine: its inputs are events and the current
//! time, its outputs are decisions. It does no I/O and reads no clock or random numbers.
//!
//! - [`state`] holds what the leader of one term knows: jobs, machines, the places of
//!   tasks, and the dependencies between jobs.
//! - [`evidence`] holds the rules by which messages, silence and leases change that
//!   state, and decides what the leader may still do.
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
