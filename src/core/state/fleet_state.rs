//! What the fleet's decisions remember from one round to the next.

use std::collections::BTreeMap;
use std::time::Instant;

/// A kind of machine at a place, as the cloud offers it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Machines of one offer, to be rented by one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentalOrder {
    /// What is to be rented.
    pub offer: Offer,
    /// How many machines.
    pub count: u32,
}

/// What the fleet remembers between rounds.
#[derive(Debug, Default)]
pub struct FleetState {
    /// Requests given out in this term.
    pub(in crate::core) issued_requests: u64,
    /// Offers that were refused, not to be asked for before.
    pub suspended_until: BTreeMap<Offer, Instant>,
    /// Machines asked for and not yet answered.
    pub pending_rentals: BTreeMap<String, RentalOrder>,
}
