//! The cluster model as a pure state machine: events and `now` go in,
//! decisions come out. No I/O, no clock, no randomness of its own.
//!
//! [`model`] keeps what is known and what may be where, [`plan`] is PV-EASY,
//! [`probation`] holds back jobs that fail everywhere, [`fleet`] decides rentals and returns, [`record`] is what survives a leader.

pub mod authority;
pub mod bits;
mod borrowed;
pub mod fleet;
pub mod model;
pub mod plan;
pub mod probation;
pub mod record;
pub mod store_plan;
pub mod wal;

pub use model::{Config, Model};
