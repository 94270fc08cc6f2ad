//! The size of the fleet: enough capacity for the tasks that wait, some warm capacity (free
//! CPUs for tasks to come), and no machine that is idle for long.
//!
//! - [`actions`] makes a round of decisions, about once a second.
//! - `rentals` packs the waiting tasks onto the machines that there are, and adds machines
//!   for the rest to a `rental_plan`, chosen by `offers`.
//! - `releases` chooses lost machines for release, `idle` those that are not needed.
//! - `evacuation` moves tasks off machines that the cloud reclaims.
//! - `capacity`, `demand` and `partitions` compute what these decisions depend on.
//! - [`outcomes`] applies the cloud's responses.
//!
//! Rentals and releases change only the phase of a machine and
//! [`FleetState`](crate::core::state::fleet_state::FleetState); the leader sends the
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
