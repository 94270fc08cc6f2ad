//! A round of fleet decisions, and the requests to the cloud that result from it.

use std::time::Instant;

use tracing::info;

use crate::core::state::fleet_state::RentalOrder;
use crate::core::state::machine::MachinePhase;
use crate::core::state::model::ClusterModel;
use crate::wire::{MachineId, RentalRequest};

/// A request to the cloud that a round has decided on.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAction {
    /// Rent machines, by a request that may be repeated under its name.
    Rent(RentalRequest),
    /// Release these machines, by one request.
    Release(Vec<MachineId>),
}

/// Most machines that the cloud accepts in one release request.
const MAX_MACHINES_PER_RELEASE: usize = 100;
/// Most rentals that may be pending at once. More would only queue for the cloud's rate
/// limit, ahead of requests that turn out to be urgent.
const MAX_PENDING_RENTALS: usize = 6;

impl ClusterModel {
    /// Decides what to release and what to rent. Machines to be released change their
    /// phase at once; rentals are pending until their outcome is applied. Decides nothing
    /// while no machine types are known.
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
        info!(machines = release.len(), "releasing machines");
        for id in &release {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.phase = MachinePhase::Releasing;
            }
        }
        let requests = release.chunks(MAX_MACHINES_PER_RELEASE);
        actions.extend(requests.map(|ids| FleetAction::Release(ids.to_vec())));
    }

    fn start_rentals(&mut self, actions: &mut Vec<FleetAction>, now: Instant) {
        if self.fleet.pending_rentals.len() >= MAX_PENDING_RENTALS {
            return;
        }
        for order in self.machines_to_rent(now) {
            if self.fleet.pending_rentals.len() >= MAX_PENDING_RENTALS {
                break;
            }
            actions.push(FleetAction::Rent(self.start_rental(order)));
        }
    }

    fn start_rental(&mut self, order: RentalOrder) -> RentalRequest {
        self.fleet.issued_requests += 1;
        let name = format!("r-{}-{}", self.term, self.fleet.issued_requests);
        let RentalOrder { offer, count } = order.clone();
        info!(
            request = name,
            machine_type = offer.machine_type,
            zone = offer.zone,
            spot = offer.spot,
            count,
            "renting machines"
        );
        self.fleet.pending_rentals.insert(name.clone(), order);
        RentalRequest {
            name,
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count,
        }
    }
}
