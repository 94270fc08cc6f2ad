//! Placement of tasks on machines within one scheduling round.
//!
//! - [`planner`] defines the [`Planner`], which tracks the machines during the round.
//! - `free_capacity` is the free capacity of one machine, and the load that may release
//!   more.
//! - `rules` and `search` evaluate machines for a task; `claims` places the task.
//! - `batches` places a job's tasks; `in_order`, `preemption`, `reservation` and
//!   `backfilling` are the steps of a round.
//!
//! Only a round creates a [`Planner`]; of these modules only `claims` changes the model's
//! slots.

mod backfilling;
mod batches;
mod claims;
mod free_capacity;
mod in_order;
mod planner;
mod preemption;
mod reservation;
mod rules;
mod search;

pub(super) use self::planner::{PlacementStrategy, Planner};
