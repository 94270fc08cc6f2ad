//! Outcomes of rentals and releases, applied to the model.

use std::time::{Duration, Instant};

use crate::core::state::fleet_state::Offer;
use crate::core::state::machine::MachinePhase;
use crate::core::state::model::ClusterModel;
use crate::wire::{MachineId, RentalRequest};

/// How long an offer is not requested again after the cloud lacked the capacity for it.
const OFFER_SUSPENSION: Duration = Duration::from_secs(10);

/// Why a rental failed, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RentalFailure {
    /// The cloud has no capacity for the offer.
    NoCapacity,
    /// It was given up without a response, or refused for a reason that says nothing about
    /// the offer's capacity, such as the cloud's rate limit.
    Other,
}

/// Whether the cloud confirmed a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The cloud confirmed it: the machines and all attempts on them are gone.
    Confirmed,
    /// It was refused, or it is not known whether it was executed.
    Failed,
}

impl ClusterModel {
    /// Adds the machines that the cloud rented. If they are fewer than requested, the
    /// offer is suspended.
    pub fn rental_succeeded(&mut self, rental: &RentalRequest, machines: &[MachineId], now: Instant) {
        self.fleet.pending_rentals.remove(&rental.name);
        for id in machines {
            self.add_rented_machine(id.clone(), &rental.machine_type, &rental.zone, rental.spot, now);
        }
        if (machines.len() as u32) < rental.count {
            self.suspend_offer(rental, now);
        }
    }

    /// Removes a rental that failed; suspends the offer if the cloud has no capacity for
    /// it. Machines that the cloud rents nevertheless become known by its machine list or
    /// by their workers' heartbeats.
    pub fn rental_failed(&mut self, rental: &RentalRequest, failure: RentalFailure, now: Instant) {
        self.fleet.pending_rentals.remove(&rental.name);
        if failure == RentalFailure::NoCapacity {
            self.suspend_offer(rental, now);
        }
    }

    /// Removes machines whose release was confirmed. Machines whose release failed are up
    /// again, or booting if no heartbeat of theirs was received, and may be released again
    /// in the next round.
    pub fn release_finished(&mut self, ids: &[MachineId], outcome: ReleaseOutcome, now: Instant) {
        for id in ids {
            if outcome == ReleaseOutcome::Confirmed {
                self.remove_released_machine(id, now);
            } else if let Some(machine) = self.machines.get_mut(id) {
                machine.phase = if machine.last_heartbeat.is_some() {
                    MachinePhase::Up
                } else {
                    MachinePhase::Booting
                };
            }
        }
    }

    fn suspend_offer(&mut self, rental: &RentalRequest, now: Instant) {
        let offer = Offer {
            machine_type: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        };
        self.fleet.suspended_until.insert(offer, now + OFFER_SUSPENSION);
    }
}
