//! What the cloud answered to rentals and releases.

use std::time::{Duration, Instant};

use crate::core::state::fleet_state::Offer;
use crate::core::state::machine::MachinePhase;
use crate::core::state::model::ClusterModel;
use crate::wire::{MachineId, RentalRequest};

/// An offer that was refused for want of capacity is not requested again for so long.
const REFUSED_FOR: Duration = Duration::from_secs(10);

/// Why a rental came to nothing, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RentalFailure {
    /// The cloud has no capacity for the offer.
    NoCapacity,
    /// It was given up without an answer, or refused for a reason that says nothing of
    /// the offer's capacity, such as the cloud's rate limit.
    Other,
}

/// What became of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The cloud confirmed it: the machines and all on them have ended.
    Confirmed,
    /// It was refused, or is not known to have happened.
    Failed,
}

impl ClusterModel {
    /// The cloud answered a rental with machines, perhaps with fewer than requested.
    pub fn rental_done(&mut self, rental: &RentalRequest, machines: &[MachineId], now: Instant) {
        self.fleet.pending_rentals.remove(&rental.name);
        for id in machines {
            self.add_rented_machine(id.clone(), &rental.machine_type, &rental.zone, rental.spot, now);
        }
        if (machines.len() as u32) < rental.count {
            self.suspend_offer(rental, now);
        }
    }

    /// A rental failed. What the cloud may still rent shows up in its list or by the
    /// heartbeats of the worker.
    pub fn rental_failed(&mut self, rental: &RentalRequest, failure: RentalFailure, now: Instant) {
        self.fleet.pending_rentals.remove(&rental.name);
        if failure == RentalFailure::NoCapacity {
            self.suspend_offer(rental, now);
        }
    }

    /// A release was confirmed or failed; machines whose release failed are as before,
    /// and may be released again in the next round.
    pub fn release_done(&mut self, ids: &[MachineId], outcome: ReleaseOutcome, now: Instant) {
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
        self.fleet.suspended_until.insert(offer, now + REFUSED_FOR);
    }
}
