//! The size of the fleet: machines rented and released as the model decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use tracing::info;

use crate::cloud::CloudError;
use crate::core::fleet::{FleetAction, ReleaseOutcome, RentalFailure};
use crate::wire::{MachineId, RentalRequest};

use super::ActiveLeader;

/// Time between two decisions on the fleet.
const FLEET_INTERVAL: Duration = Duration::from_millis(1000);
/// How often a rental that may not have been carried out is sent again.
const MAX_RENTAL_RETRIES: u32 = 3;
/// Pause before such a rental is sent again.
const RENTAL_RETRY_PAUSE: Duration = Duration::from_millis(500);

impl ActiveLeader {
    /// Decides on the fleet from time to time, for as long as the term lasts.
    /// Resigns if no worker takes commands from here though other controllers
    /// are connected.
    pub(super) async fn manage_fleet(self: Arc<Self>) {
        loop {
            sleep(FLEET_INTERVAL).await;
            self.controller.check_for_stall();
            if !self.may_act() {
                continue;
            }
            if self.is_partitioned_from_workers() {
                info!(
                    term = self.term,
                    "resigning: no worker takes commands from this controller"
                );
                return self.end();
            }
            let actions = self.model.lock().plan_fleet(Instant::now());
            for action in actions {
                let active_leader = self.clone();
                tokio::spawn(async move { active_leader.run_fleet_action(action).await });
            }
        }
    }

    /// Whether another controller could lead in place of this one, which no
    /// worker takes commands from.
    fn is_partitioned_from_workers(&self) -> bool {
        self.controller.any_peer_reachable() && self.model.lock().is_partitioned_from_workers(Instant::now())
    }

    async fn run_fleet_action(&self, action: FleetAction) {
        match action {
            FleetAction::Rent(rental) => self.rent(&rental).await,
            FleetAction::Release(machines) => self.release(&machines).await,
        }
        self.request_round();
    }

    /// Rents machines. A request that may or may not have been carried out is
    /// repeated under the same name, which the cloud carries out once.
    async fn rent(&self, rental: &RentalRequest) {
        let mut retries = 0;
        loop {
            if !self.may_act() {
                let failure = RentalFailure::Other;
                return self.model.lock().rental_failed(rental, failure, Instant::now());
            }
            match self.controller.cloud().rent(rental, || self.may_act()).await {
                Ok(machines) => {
                    info!(request = rental.request, got = machines.len(), "rented");
                    return self.model.lock().rental_done(rental, &machines, Instant::now());
                }
                Err(error) if error.is_retryable() && retries < MAX_RENTAL_RETRIES => {
                    retries += 1;
                    sleep(RENTAL_RETRY_PAUSE).await;
                }
                Err(error) => {
                    info!(request = rental.request, %error, "not rented");
                    let failure = match error {
                        CloudError::NoCapacity { .. } => RentalFailure::NoCapacity,
                        _ => RentalFailure::Other,
                    };
                    let mut model = self.model.lock();
                    return model.rental_failed(rental, failure, Instant::now());
                }
            }
        }
    }

    /// Releases machines; those that were not released stay and are tried again.
    async fn release(&self, machines: &[MachineId]) {
        let outcome = match self.controller.cloud().release(machines, || self.may_act()).await {
            Ok(()) => ReleaseOutcome::Confirmed,
            Err(error) => {
                info!(machines = machines.len(), %error, "not released yet");
                ReleaseOutcome::Failed
            }
        };
        self.model.lock().release_done(machines, outcome, Instant::now());
    }
}
