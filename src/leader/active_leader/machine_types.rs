//! Reads the machine types from the cloud, passes them to the model and the controller,
//! and stores them for the next leader.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;
use tracing::info;

use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record;
use crate::wire::MachineType;

use super::ActiveLeader;

/// Pause after a read of the machine types.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Pause after a read that failed or returned no types.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

impl ActiveLeader {
    /// Reads the machine types periodically, until the term ends.
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
        let must_store = store_triggers(&known) != store_triggers(&types);
        self.model.lock().set_machine_types(types.clone());
        self.controller.set_machine_types(Arc::new(types.clone()));
        if must_store {
            info!(types = types.len(), "machine types read");
            self.store_machine_types(&types).await;
        }
        self.request_round();
    }

    /// Stores the types if they fit into one value. A write that fails is not
    /// repeated: the next leader reads the types from the cloud as well.
    async fn store_machine_types(&self, types: &[MachineType]) {
        let value = serde_json::to_value(types).unwrap_or(Value::Null);
        if value.to_string().len() >= self.controller.config().max_value_bytes {
            return;
        }
        let write = AtomicWrite {
            changes: vec![(record::MACHINE_TYPES_KEY.to_owned(), Some(value))],
            absent: Vec::new(),
            urgent: true,
        };
        let _ = self.writer.commit(write).await;
    }
}

/// The fields of a machine type that cause the types to be stored again when they
/// change. A change of any other field, such as a price, is passed only to the model
/// and the controller.
#[derive(PartialEq)]
struct StoreTriggers<'a> {
    name: &'a str,
    cpus: f64,
    zones: &'a [String],
}

fn store_triggers(types: &[MachineType]) -> Vec<StoreTriggers<'_>> {
    types
        .iter()
        .map(|machine_type| StoreTriggers {
            name: &machine_type.name,
            cpus: machine_type.cpus,
            zones: &machine_type.zones,
        })
        .collect()
}
