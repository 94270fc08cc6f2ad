//! State that the decisions about the fleet keep from one round to the next.

use std::collections::BTreeMap;
use std::time::Instant;

/// A machine type in a zone, on demand or as a spot machine, as the cloud offers it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone in which the machine would be rented.
    pub zone: String,
    /// Whether it is offered as a spot machine.
    pub spot: bool,
}

/// Machines of one offer that are to be rented by one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentalOrder {
    /// The offer that the machines are rented by.
    pub offer: Offer,
    /// How many machines to rent.
    pub count: u32,
}

/// Pending rentals, and offers that the cloud had no capacity for recently.
#[derive(Debug, Default)]
pub struct FleetState {
    /// Number of rental requests issued in this term; it makes their names unique.
    pub(in crate::core) issued_requests: u64,
    /// Offers that the cloud had no capacity for, each with the time before which it is
    /// not requested again.
    pub suspended_until: BTreeMap<Offer, Instant>,
    /// Rentals that the cloud has not answered yet, by the name of the request.
    pub pending_rentals: BTreeMap<String, RentalOrder>,
}
