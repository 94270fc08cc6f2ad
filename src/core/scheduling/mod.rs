//! PV-EASY: the order of the queue, placement on machines, and preemption.
//!
//! - [`round`] is one scheduling round, [`round_summary`] what it did.
//! - [`ranking`] orders the queue; `eligibility` says what may be placed now.
//! - `placement` finds and takes machines for tasks.
//! - `over_quota`, `shadow_load` and `gang_repair` are the rules on running tasks.
//! - [`admission`] decides whether a submitted job can ever run.
//!
//! A round changes the model's slots in `placement::claims`, and asks for stops by
//! [`ClusterModel::stop`](crate::core::ClusterModel::stop). `core::fleet` may use this
//! folder; `core::state` and `core::storage` may not.

pub mod admission;
mod eligibility;
mod gang_repair;
mod over_quota;
mod placement;
pub mod ranking;
pub mod round;
pub mod round_summary;
mod shadow_load;

pub use self::round_summary::RoundSummary;
