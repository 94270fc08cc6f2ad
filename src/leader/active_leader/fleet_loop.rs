//! The loops that read the cloud and that rent and return machines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::sleep;
use tracing::info;

use crate::cloud::CloudError;
use crate::core::fleet::FleetAction;
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record;

use super::ActiveLeader;

impl ActiveLeader {
    pub(super) async fn refresh_machine_types(self: Arc<Self>) {
        loop {
            let wait = match self.controller.cloud.machine_types().await {
                Ok(types) if !types.is_empty() => {
                    let known = self.model.lock().types.clone();
                    if known != types {
                        let shape = |t: &[crate::wire::MachineType]| {
                            t.iter()
                                .map(|t| (t.name.clone(), t.cpus, t.zones.clone()))
                                .collect::<Vec<_>>()
                        };
                        let new = shape(&known) != shape(&types);
                        self.model.lock().types = types.clone();
                        *self.controller.types.lock() = Arc::new(types.clone());
                        if new {
                            info!(types = types.len(), "machine types read");
                            let value = serde_json::to_value(&types).unwrap_or(Value::Null);
                            if value.to_string().len() < self.controller.config.value_bytes {
                                let changes = vec![(record::TYPES.to_owned(), Some(value))];
                                let _ = self
                                    .writer
                                    .commit(AtomicWrite {
                                        changes,
                                        absent: Vec::new(),
                                        urgent: true,
                                    })
                                    .await;
                            }
                        }
                        self.request_round();
                    }
                    Duration::from_secs(30)
                }
                _ => Duration::from_secs(1),
            };
            sleep(wait).await;
        }
    }

    pub(super) async fn list_machines(self: Arc<Self>) {
        loop {
            let mut pages = 1;
            if let Ok(list) = self.controller.cloud.machines().await {
                pages += list.len() as u32 / 500;
                self.model.lock().listed(&list, Instant::now());
                self.request_round();
            }
            // A long list is read less often: rentals and releases share the
            // cloud's rate with it.
            sleep(Duration::from_secs(4) * pages).await;
        }
    }

    pub(super) async fn manage_fleet(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(1000)).await;
            self.controller.check_for_stall();
            if !self.may_act() {
                continue;
            }
            if self.controller.links.iter().any(|l| l.alive())
                && self.model.lock().is_partitioned_from_workers(Instant::now())
            {
                info!(term = self.term, "resigning: workers take no commands from here");
                return self.end();
            }
            let actions = self.model.lock().plan_fleet(Instant::now());
            for action in actions {
                let active_leader = self.clone();
                tokio::spawn(async move { active_leader.grant(action).await });
            }
        }
    }

    pub(super) async fn grant(&self, action: FleetAction) {
        let cloud = &self.controller.cloud;
        match action {
            FleetAction::Rent(rental) => {
                let mut tries = 0;
                loop {
                    if !self.may_act() {
                        break self.model.lock().rental_failed(&rental, false, Instant::now());
                    }
                    match cloud.rent(&rental, || self.may_act()).await {
                        Ok(ids) => {
                            info!(request = rental.request, got = ids.len(), "rented");
                            self.model.lock().rental_done(&rental, &ids, Instant::now());
                            break;
                        }
                        // The same request may be sent again.
                        Err(CloudError::Unanswered | CloudError::Unavailable) if tries < 3 => {
                            tries += 1;
                            sleep(Duration::from_millis(500)).await;
                        }
                        Err(e) => {
                            info!(request = rental.request, error = %e, "not rented");
                            let none = e == CloudError::NoCapacity;
                            self.model.lock().rental_failed(&rental, none, Instant::now());
                            break;
                        }
                    }
                }
            }
            FleetAction::Release(ids) => {
                let ok = match cloud.release(&ids, || self.may_act()).await {
                    Ok(()) => true,
                    Err(e) => {
                        info!(machines = ids.len(), error = %e, "not released yet");
                        false
                    }
                };
                self.model.lock().release_done(&ids, ok, Instant::now());
            }
        }
        self.request_round();
    }
}
