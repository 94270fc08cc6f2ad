//! Evidence: how messages of workers, silence and leases change what the leader knows,
//! and what it may still do.
//!
//! All modules follow one rule: a task's slot is removed only when it is certain that the
//! attempt is gone, and a task is started only when it is certain that it may be. In
//! doubt, an attempt counts as still running, and a start as not allowed.
//!
//! - `heartbeats` applies messages of workers; only these tell the state of an attempt.
//! - `commands` decides what is sent to workers; `permission` checks it again at the
//!   moment of sending.
//! - `liveness` and `reachability` detect silent machines, expired leases and network
//!   partitions.
//! - `cordons` and `probation` tell faulty machines from faulty jobs.
//! - `authority` bounds how long the leader may act and renew leases.
//! - `invariants` checks at run time what must always hold.
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
