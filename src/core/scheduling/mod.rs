//! Scheduling by PV-EASY: the order of the queue, placement on machines, and preemption.
//!
//! PV-EASY extends EASY backfilling with preemption and run-time predictions. It is
//! described in Yuan, Wu, Zheng and Li, "Guarantee Strict Fairness and Utilize Prediction
//! Better in Parallel Job Scheduling". Its terms are explained where they are defined:
//! sunny and shadow load in `shadow_load`, shadow load preemption in
//! `placement::preemption`, venture backfilling in `placement::backfilling`, and the Last
//! Model in `core::state::predictions`. Over-quota load, gangs that are placed as a whole
//! and repaired, and starvation are additions to the paper.
//!
//! - [`round`] runs a scheduling round, [`round_summary`] counts what it did.
//! - [`ranking`] orders the queue; `eligibility` decides which machines and jobs a round
//!   may use.
//! - `placement` finds machines for tasks and places the tasks on them.
//! - `over_quota`, `shadow_load` and `gang_repair` hold the rules for tasks that are
//!   placed already.
//! - [`admission`] decides whether a submitted job can ever run.
//!
//! A round adds slots to the model only in `placement::claims`, and orders stops only with
//! [`ClusterModel::stop`](crate::core::ClusterModel::stop). `core::fleet` may depend on
//! this module; `core::state` and `core::storage` may not.

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
