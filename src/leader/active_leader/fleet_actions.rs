//! Rents and releases machines as the model decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use tracing::info;

use crate::cloud::CloudError;
use crate::core::fleet::{FleetAction, ReleaseOutcome, RentalFailure};
use crate::wire::{MachineId, RentalRequest};

use super::ActiveLeader;

/// Pause before each decision on the fleet.
const FLEET_INTERVAL: Duration = Duration::from_millis(1000);
/// How often a rental that may not have been executed is sent again.
const MAX_RENTAL_RETRIES: u32 = 3;
/// Pause before such a rental is sent again.
const RENTAL_RETRY_PAUSE: Duration = Duration::from_millis(500);

impl ActiveLeader {
    /// Decides periodically which machines to rent and release, until the term ends.
    /// Ends the term if this controller is partitioned from the workers while other
    /// controllers are reachable.
    pub(super) async fn manage_fleet(self: Arc<Self>) {
        loop {
            sleep(FLEET_INTERVAL).await;
            self.controller.check_for_stall();
            if !self.may_act() {
                continue;
            }
            if self.should_end_term() {
                info!(
                    term = self.term,
                    "more workers ignore this controller's commands than answer them; the term ends"
                );
                return self.end_term();
            }
            let actions = self.model.lock().plan_fleet(Instant::now());
            for action in actions {
                let active_leader = self.clone();
                tokio::spawn(async move { active_leader.run_fleet_action(action).await });
            }
        }
    }

    /// Whether this controller is partitioned from the workers and another one could
    /// lead instead.
    fn should_end_term(&self) -> bool {
        self.controller.has_reachable_peer() && self.model.lock().is_partitioned_from_workers(Instant::now())
    }

    async fn run_fleet_action(&self, action: FleetAction) {
        match action {
            FleetAction::Rent(rental) => self.rent(&rental).await,
            FleetAction::Release(machines) => self.release(&machines).await,
        }
        self.request_round();
    }

    /// Rents machines. A request that was refused for now, or that may have been executed
    /// without an answer, is repeated under the same name, so that the cloud executes it
    /// at most once.
    async fn rent(&self, rental: &RentalRequest) {
        let mut retries = 0;
        loop {
            if !self.may_act() {
                let failure = RentalFailure::Other;
                return self.model.lock().rental_failed(rental, failure, Instant::now());
            }
            match self.controller.cloud().rent(rental, || self.may_act()).await {
                Ok(machines) => {
                    info!(
                        request = rental.name,
                        machines = machines.len(),
                        "machines rented"
                    );
                    return self
                        .model
                        .lock()
                        .rental_succeeded(rental, &machines, Instant::now());
                }
                Err(error) if error.is_retryable() && retries < MAX_RENTAL_RETRIES => {
                    retries += 1;
                    sleep(RENTAL_RETRY_PAUSE).await;
                }
                Err(error) => {
                    info!(request = rental.name, %error, "rental failed");
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

    /// Releases machines. Those whose release is not confirmed stay in the model, and may
    /// be released again.
    async fn release(&self, machines: &[MachineId]) {
        let outcome = match self.controller.cloud().release(machines, || self.may_act()).await {
            Ok(()) => ReleaseOutcome::Confirmed,
            Err(error) => {
                info!(
                    machines = machines.len(),
                    %error,
                    "release not confirmed; the machines may be released again"
                );
                ReleaseOutcome::Failed
            }
        };
        self.model
            .lock()
            .release_finished(machines, outcome, Instant::now());
    }
}
