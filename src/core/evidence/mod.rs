//! How messages of workers, silence and leases change the state, and what a leader
//! may still do.

pub mod authority;
pub mod commands;
mod cordons;
pub mod heartbeats;
pub mod invariants;
pub mod liveness;
pub mod permission;
mod probation;
