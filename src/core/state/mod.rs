//! What the leader of one term knows of jobs and machines.

pub mod bits;
pub mod config;
pub(in crate::core) mod deadlines;
pub mod dependencies;
pub mod fleet_state;
pub mod job;
pub mod machine;
pub mod model;
mod predictions;
pub(in crate::core) mod prices;
pub mod probation;
pub mod resources;
pub mod set_up;
pub mod slot;
pub(in crate::core) mod token;
pub mod tombstones;
