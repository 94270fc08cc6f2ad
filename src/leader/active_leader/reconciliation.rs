//! Reconciles the model with the stored jobs.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::info;

use crate::core::storage::record::{self, JobRecord};
use crate::wire::{JobId, KeyValue};

use super::ActiveLeader;

/// Pause before all unfinished jobs are read again.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(15);

/// Keys and versions of the job records that could not be parsed, so that each is
/// logged once.
type UnreadableRecords = HashSet<(String, u64)>;

impl ActiveLeader {
    /// Reads all unfinished jobs every [`RECONCILE_INTERVAL`] and adds those that the
    /// model lacks, so that no accepted job stays unknown for longer if an inbox mark,
    /// a watch or a response was lost.
    pub(super) async fn reconcile_jobs(self: Arc<Self>) {
        let mut unreadable = UnreadableRecords::new();
        loop {
            sleep(RECONCILE_INTERVAL).await;
            self.forget_released_machines();
            let Ok(jobs) = self.controller.store().list(record::JOB_PREFIX).await else {
                continue;
            };
            for item in jobs.items {
                self.reconcile_job(item, &mut unreadable);
            }
        }
    }

    fn reconcile_job(&self, item: KeyValue, unreadable: &mut UnreadableRecords) {
        let id = item.key.trim_start_matches(record::JOB_PREFIX).parse::<JobId>();
        if id.is_ok_and(|id| self.is_known(id)) {
            return;
        }
        match serde_json::from_value::<JobRecord>(item.value) {
            Ok(record) => self.add_stored_job(record, item.version),
            Err(error) => {
                if unreadable.insert((item.key.clone(), item.version)) {
                    info!(
                        key = item.key,
                        %error,
                        "a stored job record can't be parsed, reading it again later"
                    );
                }
            }
        }
    }

    fn forget_released_machines(&self) {
        let model = self.model.lock();
        self.redirects
            .lock()
            .retain(|machine| model.machines().contains_key(machine));
    }
}
