//! The machine types on offer: read from the cloud, kept in the model and at the
//! controller, and stored for the next leader.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;
use tracing::info;

use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record;
use crate::wire::MachineType;

use super::ActiveLeader;

/// Time between two reads of the machine types.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Pause after a read that failed or found none.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

impl ActiveLeader {
    /// Reads the machine types from time to time, for as long as the term lasts.
    pub(super) async fn refresh_machine_types(self: Arc<Self>) {
        loop {
            let pause = match self.controller.cloud().list_machine_types().await {
                Ok(types) if !types.is_empty() => {
                    self.apply_machine_types(types).await;
                    REFRESH_INTERVAL
                }
                _ => RETRY_PAUSE,
            };
            sleep(pause).await;
        }
    }

    async fn apply_machine_types(&self, types: Vec<MachineType>) {
        let known = self.model.lock().machine_types().to_vec();
        if known == types {
            return;
        }
        let must_store = shapes(&known) != shapes(&types);
        self.model.lock().set_machine_types(types.clone());
        self.controller.set_machine_types(Arc::new(types.clone()));
        if must_store {
            info!(types = types.len(), "machine types read");
            self.store_machine_types(&types).await;
        }
        self.request_round();
    }

    /// Stores the types if they fit into one value. A failure is left alone: the
    /// next leader reads them from the cloud as well.
    async fn store_machine_types(&self, types: &[MachineType]) {
        let value = serde_json::to_value(types).unwrap_or(Value::Null);
        if value.to_string().len() >= self.controller.config().max_value_bytes {
            return;
        }
        let write = AtomicWrite {
            changes: vec![(record::TYPES.to_owned(), Some(value))],
            absent: Vec::new(),
            urgent: true,
        };
        let _ = self.writer.commit(write).await;
    }
}

/// The fields of a machine type whose change makes the types be stored again.
/// A change of any other, such as a price, only reaches the model and the
/// controller.
#[derive(PartialEq)]
struct TypeShape<'a> {
    name: &'a str,
    cpus: f64,
    zones: &'a [String],
}

fn shapes(types: &[MachineType]) -> Vec<TypeShape<'_>> {
    types
        .iter()
        .map(|machine_type| TypeShape {
            name: &machine_type.name,
            cpus: machine_type.cpus,
            zones: &machine_type.zones,
        })
        .collect()
}
