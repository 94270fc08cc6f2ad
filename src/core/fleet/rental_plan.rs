//! The machines that a round plans to rent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::core::state::fleet_state::{Offer, RentalOrder};

/// Most machines that the cloud accepts in one rental.
const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// The machines to be rented, and what the choice among offers depends on.
#[derive(Debug, Default)]
pub(super) struct RentalPlan {
    pub(super) partitioned_zones: BTreeSet<String>,
    /// Known machines and those in this plan, but not the pending ones.
    machines_by_zone: BTreeMap<String, u32>,
    machines_by_offer: BTreeMap<Offer, u32>,
    /// Number of all machines: known, pending and in this plan.
    machines: usize,
    max_machines: usize,
}

impl RentalPlan {
    /// An empty plan for a fleet of `machines` known or pending machines, which may grow
    /// to `max_machines`.
    pub(super) fn new(partitioned_zones: BTreeSet<String>, machines: usize, max_machines: usize) -> Self {
        Self {
            partitioned_zones,
            machines,
            max_machines,
            ..Self::default()
        }
    }

    /// Counts a known machine in its zone.
    pub(super) fn count_existing(&mut self, zone: &str) {
        *self.machines_by_zone.entry(zone.to_owned()).or_default() += 1;
    }

    /// Whether another machine may be added without exceeding the maximum.
    pub(super) fn may_grow(&self) -> bool {
        self.machines < self.max_machines
    }

    /// Adds a machine of this offer.
    pub(super) fn add(&mut self, offer: Offer) {
        self.machines += 1;
        *self.machines_by_zone.entry(offer.zone.clone()).or_default() += 1;
        *self.machines_by_offer.entry(offer).or_default() += 1;
    }

    /// Number of machines in a zone, without those of pending rentals.
    pub(super) fn machines_in_zone(&self, zone: &str) -> u32 {
        self.machines_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Splits the plan into orders of a size that the cloud accepts, the largest first.
    pub(super) fn into_orders(self) -> Vec<RentalOrder> {
        let mut orders = Vec::new();
        for (offer, mut left) in self.machines_by_offer {
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_RENTAL);
                let offer = offer.clone();
                orders.push(RentalOrder { offer, count });
                left -= count;
            }
        }
        orders.sort_by_key(|order| Reverse(order.count));
        orders
    }
}
