//! The machine types that this controller has read from the cloud or the state service.

use std::sync::Arc;

use crate::core::storage::record;
use crate::store::KeyRead;
use crate::wire::MachineType;

use super::Controller;

impl Controller {
    /// The machine types that may be rented; empty until they have been read.
    pub fn machine_types(&self) -> Arc<Vec<MachineType>> {
        self.machine_types.lock().clone()
    }

    /// Replaces the machine types that this controller knows.
    pub fn set_machine_types(&self, types: Arc<Vec<MachineType>>) {
        *self.machine_types.lock() = types;
    }

    /// The machine types, read from the state service first if this controller doesn't know
    /// them. Empty if they can't be read.
    pub async fn ensure_machine_types(&self) -> Arc<Vec<MachineType>> {
        let known = self.machine_types();
        if !known.is_empty() {
            return known;
        }
        if let Ok(KeyRead::Found(item)) = self.store.get_for_user(record::MACHINE_TYPES_KEY).await {
            if let Ok(types) = serde_json::from_value::<Vec<MachineType>>(item.value) {
                self.set_machine_types(Arc::new(types));
            }
        }
        self.machine_types()
    }
}
