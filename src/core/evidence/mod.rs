//! Evidence: how messages of workers, silence and leases change what the leader knows,
//! and what it may still do.
//!
//! The rule behind all of it: a task's slot is dropped only when it is certain that the
//! attempt is gone, and nothing is started unless it is certain that it may be. What is
//! not known counts as still there, and as not allowed.
//!
//! - `heartbeats` applies messages of workers, which alone change slots from outside.
//! - `commands` decides what is sent to workers; `permission` checks it again at the
//!   moment of sending.
//! - `liveness` and `reachability` judge silence, expired leases and cut links.
//! - `cordons` and `probation` tell faulty machines from faulty jobs.
//! - `authority` bounds how long the leader may act and renew leases.
//! - `invariants` checks while the program runs what must always hold.
//!
//! These modules may change [`state`](crate::core::state), and are never used by it.

pub mod authority;
pub mod commands;
mod cordons;
pub mod heartbeats;
mod invariants;
mod liveness;
pub mod permission;
mod probation;
mod reachability;
