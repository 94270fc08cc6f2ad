//! The cloud's list of this cluster's machines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::ActiveLeader;

/// Time between two reads of a list of one page.
const LIST_INTERVAL: Duration = Duration::from_secs(4);
/// Machines on one page of the list.
const PAGE_SIZE: usize = 500;

impl ActiveLeader {
    /// Reads the list into the model from time to time, for as long as the term
    /// lasts.
    pub(super) async fn list_machines(self: Arc<Self>) {
        loop {
            let mut pages = 1;
            if let Ok(machines) = self.controller.cloud().list_machines().await {
                pages += (machines.len() / PAGE_SIZE) as u32;
                self.model.lock().apply_machine_list(&machines, Instant::now());
                self.request_round();
            }
            // A long list is read less often: rentals and releases share the
            // cloud's rate with it.
            sleep(LIST_INTERVAL * pages).await;
        }
    }
}
