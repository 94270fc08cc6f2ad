//! The size of the fleet: enough capacity for what waits, some warm capacity for what
//! comes, and nothing idle for long.
//!
//! - [`actions`] is one round of decisions, made about once a second.
//! - `rentals` packs what waits onto what there is and rents the rest, by the best of
//!   the `offers`, into a `rental_plan`.
//! - `releases` gives up lost machines, `idle` those that are not needed.
//! - `evacuation` moves tasks off machines that the cloud reclaims.
//! - `capacity`, `demand` and `partitions` measure what the others decide by.
//! - [`outcomes`] takes in what the cloud answered.
//!
//! Decisions change the phase of a machine and
//! [`FleetState`](crate::core::state::fleet_state::FleetState) only; the leader sends the
//! requests. A machine leaves the model once its release is confirmed.

pub mod actions;
mod capacity;
mod demand;
mod evacuation;
mod idle;
mod offers;
pub mod outcomes;
mod partitions;
mod release_reason;
mod releases;
mod rental_plan;
mod rentals;

pub use self::actions::FleetAction;
pub use self::outcomes::{ReleaseOutcome, RentalFailure};
