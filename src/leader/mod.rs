//! Leading the cluster: who leads, and what the leader does.
//!
//! * `process` starts the controller process and the loops that run until it
//!   exits.
//! * `election` watches the leader's key in the state service and stands for
//!   election. Only it creates an [`active_leader::ActiveLeader`].
//! * [`active_leader`] is one term of this controller: it owns the cluster model
//!   and the writer of that term, and nothing else changes either.
//! * [`redirects`] records which controller each worker reports to. It performs no
//!   I/O, and belongs to one term as well.

pub mod active_leader;
mod election;
mod process;
pub mod redirects;

pub use process::{run, StartError};
