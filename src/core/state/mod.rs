//! What the leader of one term knows of jobs and machines.

pub mod bits;
pub mod config;
pub mod dependencies;
pub mod job;
pub mod machine;
pub mod model;
pub mod slot;
pub mod tombstones;
