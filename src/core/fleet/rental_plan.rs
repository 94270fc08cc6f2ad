//! Machines that are about to be rented, collected in one round.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::core::state::fleet_state::{Offer, RentalOrder};

/// Most machines in one rental, as the cloud takes them.
const MAX_RENTED: u32 = 50;

/// Machines about to be rented, and what the choice among offers depends on.
#[derive(Debug, Default)]
pub(super) struct RentalPlan {
    pub(super) partitioned_zones: BTreeSet<String>,
    machines_by_zone: BTreeMap<String, u32>,
    machines_by_offer: BTreeMap<Offer, u32>,
    /// All machines: known, pending, and in this plan.
    machines: usize,
    max_machines: usize,
}

impl RentalPlan {
    /// An empty plan for a fleet of so many machines, known or pending, that may grow
    /// to `max_machines`.
    pub(super) fn new(partitioned_zones: BTreeSet<String>, machines: usize, max_machines: usize) -> Self {
        Self {
            partitioned_zones,
            machines,
            max_machines,
            ..Self::default()
        }
    }

    /// Counts a machine of the fleet in its zone.
    pub(super) fn count_existing(&mut self, zone: &str) {
        *self.machines_by_zone.entry(zone.to_owned()).or_default() += 1;
    }

    /// Whether another machine may be added.
    pub(super) fn may_grow(&self) -> bool {
        self.machines < self.max_machines
    }

    /// Adds a machine.
    pub(super) fn add(&mut self, offer: Offer) {
        self.machines += 1;
        *self.machines_by_zone.entry(offer.zone.clone()).or_default() += 1;
        *self.machines_by_offer.entry(offer).or_default() += 1;
    }

    /// Machines in a zone, without those of earlier rentals that are pending.
    pub(super) fn machines_in_zone(&self, zone: &str) -> u32 {
        self.machines_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// In orders of a size that the cloud takes, the largest first.
    pub(super) fn into_orders(self) -> Vec<RentalOrder> {
        let mut orders = Vec::new();
        for (offer, mut left) in self.machines_by_offer {
            while left > 0 {
                let count = left.min(MAX_RENTED);
                let offer = offer.clone();
                orders.push(RentalOrder { offer, count });
                left -= count;
            }
        }
        orders.sort_by_key(|order| Reverse(order.count));
        orders
    }
}
