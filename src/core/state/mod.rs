//! What the leader of one term knows about jobs and machines.
//!
//! [`model::ClusterModel`] owns this state, and only methods in [`crate::core`] change
//! it. The other modules define its parts, named here from the lowest level up: tokens,
//! resources, slots and machines, jobs and their dependencies.

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
pub mod task_set;
pub(in crate::core) mod token;
pub mod tombstones;
