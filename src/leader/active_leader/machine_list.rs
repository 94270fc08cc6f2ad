//! Reads the cloud's list of this cluster's machines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::ActiveLeader;

/// Pause before the list is read again, for each of its pages.
const LIST_INTERVAL: Duration = Duration::from_secs(4);
/// Machines on a page of the list.
const PAGE_SIZE: usize = 500;

impl ActiveLeader {
    /// Applies the list to the model periodically, until the term ends.
    pub(super) async fn list_machines(self: Arc<Self>) {
        loop {
            let mut pages = 1;
            if let Ok(machines) = self.controller.cloud().list_machines().await {
                pages += (machines.len() / PAGE_SIZE) as u32;
                self.model.lock().apply_machine_list(&machines, Instant::now());
                self.request_round();
            }
            // A long list is read less often, as it shares the cloud's rate limit with
            // rentals and releases.
            sleep(LIST_INTERVAL * pages).await;
        }
    }
}
