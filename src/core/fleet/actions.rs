//! One round of decisions on the fleet, and the requests that come of it.

use std::time::Instant;

use tracing::info;

use crate::core::state::fleet_state::RentalOrder;
use crate::core::state::machine::MachinePhase;
use crate::core::state::model::ClusterModel;
use crate::wire::{MachineId, RentalRequest};

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAction {
    /// Rent machines.
    Rent(RentalRequest),
    /// Release machines.
    Release(Vec<MachineId>),
}

/// Most machines in one release, as the cloud takes them.
const MAX_RELEASED: usize = 100;
/// Rentals in flight at once; more would only queue for the cloud's rate limit,
/// before what turns out to be urgent.
const MAX_PENDING: usize = 6;

impl ClusterModel {
    /// Decides what to release and what to rent. Machines to be released change their
    /// phase at once; rentals are pending until their outcome is taken in.
    pub fn plan_fleet(&mut self, now: Instant) -> Vec<FleetAction> {
        if self.machine_types.is_empty() {
            return Vec::new();
        }
        self.expire_leases(now);
        self.evacuate_reclaimed_machines(now);
        let mut actions = Vec::new();
        self.start_releases(&mut actions, now);
        self.start_rentals(&mut actions, now);
        actions
    }

    fn start_releases(&mut self, actions: &mut Vec<FleetAction>, now: Instant) {
        let release = self.machines_to_release(now);
        if release.is_empty() {
            return;
        }
        info!(machines = release.len(), "releasing");
        for id in &release {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.phase = MachinePhase::Releasing;
            }
        }
        let requests = release.chunks(MAX_RELEASED);
        actions.extend(requests.map(|ids| FleetAction::Release(ids.to_vec())));
    }

    fn start_rentals(&mut self, actions: &mut Vec<FleetAction>, now: Instant) {
        if self.fleet.pending_rentals.len() >= MAX_PENDING {
            return;
        }
        for order in self.machines_to_rent(now) {
            if self.fleet.pending_rentals.len() >= MAX_PENDING {
                break;
            }
            actions.push(FleetAction::Rent(self.start_rental(order)));
        }
    }

    fn start_rental(&mut self, order: RentalOrder) -> RentalRequest {
        self.fleet.issued_requests += 1;
        let request = format!("r-{}-{}", self.term, self.fleet.issued_requests);
        let RentalOrder { offer, count } = order.clone();
        info!(
            request,
            kind = offer.machine_type,
            zone = offer.zone,
            spot = offer.spot,
            count,
            "renting"
        );
        self.fleet.pending_rentals.insert(request.clone(), order);
        RentalRequest {
            name: request,
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count,
        }
    }
}
