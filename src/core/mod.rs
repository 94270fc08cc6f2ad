//! The cluster model as a pure state machine: events and `now` go in,
//! decisions come out. No I/O, no clock, no randomness of its own.
//!
//! [`model`] keeps the jobs ([`job`]) and machines ([`machine`]) of one term, and
//! what may be where ([`slot`]). [`worker_reports`], [`worker_commands`] and
//! [`liveness`] hold the rules of evidence, [`plan`] is PV-EASY by the order of [`ranking`], [`probation`]
//! holds back jobs that fail everywhere, [`dependencies`] those that wait for other jobs,
//! [`fleet`] decides rentals and returns,
//! [`wal`] and [`record`] are what survives a leader.

pub mod admission;
pub mod authority;
pub mod bits;
mod borrowed;
pub mod config;
pub mod dependencies;
pub mod fleet;
pub mod invariants;
pub mod job;
pub mod liveness;
pub mod machine;
pub mod model;
pub mod permission;
mod placement;
pub mod plan;
pub mod probation;
pub mod ranking;
pub mod record;
mod room;
pub mod slot;
pub mod store_plan;
pub mod tombstones;
pub mod wal;
pub mod worker_commands;
pub mod worker_reports;

pub use config::Config;
pub use model::Model;
