//! Placement of tasks on machines within one scheduling round.
//!
//! - [`planner`] holds the round's view of the machines, the [`Planner`].
//! - `free_capacity` is what one machine has free, and what its load may give back.
//! - `rules` and `search` judge machines for a task; `claims` takes them.
//! - `batches` places a job's tasks; `in_order`, `preemption`, `reservation` and
//!   `backfilling` are the steps of a round.
//!
//! Only a round creates a [`Planner`]; only `claims` changes the model.

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
