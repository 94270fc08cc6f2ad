//! Jobs that other controllers stored, and the regular reading of all jobs.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use tracing::info;

use crate::clock::unix_time_ms;
use crate::controller::job_lookup::StoredJob;
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record::{self, JobRecord};
use crate::store::StoreError;
use crate::wire::JobId;

use super::ActiveLeader;

/// Pause between two readings of all unfinished jobs.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(15);

impl ActiveLeader {
    /// Picks up the jobs that followers stored.
    pub(super) async fn watch_inbox(self: Arc<Self>) {
        loop {
            let Ok(inbox) = self.controller.store().list(record::INBOX).await else {
                sleep(Duration::from_millis(300)).await;
                continue;
            };
            let mut since = inbox.revision;
            let mut all = true;
            for i in inbox.items {
                all &= self.clone().admit_from_inbox(&i.key, i.version).await;
            }
            // What couldn't be picked up is listed again soon.
            while all {
                match self
                    .controller
                    .store()
                    .watch(record::INBOX, since, Duration::from_secs(20))
                    .await
                {
                    Ok(w) => {
                        since = since.max(w.revision);
                        for e in w.events {
                            if let Some(key) = e.put {
                                all &= self.clone().admit_from_inbox(&key, e.version).await;
                            }
                        }
                    }
                    Err(StoreError::TooOld { .. }) => break,
                    Err(_) => sleep(Duration::from_millis(300)).await,
                }
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    /// Reads all unfinished jobs again from time to time: whatever mark, watch
    /// or answer was lost, no accepted job stays unknown for longer.
    pub(super) async fn reconcile_jobs(self: Arc<Self>) {
        let mut unreadable = HashSet::new();
        loop {
            sleep(RECONCILE_INTERVAL).await;
            self.forget_gone_workers();
            let Ok(jobs) = self.controller.store().list(record::JOBS).await else {
                continue;
            };
            for i in jobs.items {
                let known = i
                    .key
                    .trim_start_matches(record::JOBS)
                    .parse::<JobId>()
                    .is_ok_and(|id| {
                        self.model.lock().jobs().contains_key(&id)
                            || self.controller.terminal_states().status(id).is_some()
                    });
                if known {
                    continue;
                }
                match serde_json::from_value::<JobRecord>(i.value) {
                    Ok(r) => self.admit(r, i.version),
                    Err(e) if unreadable.insert((i.key.clone(), i.version)) => {
                        info!(key = i.key, error = %e, "a job record can't be read; it is tried again");
                    }
                    Err(_) => {}
                }
            }
        }
    }

    fn forget_gone_workers(&self) {
        let model = self.model.lock();
        self.redirects
            .lock()
            .retain(|machine| model.machines().contains_key(machine));
    }

    /// False: it has to be tried again.
    pub(super) async fn admit_from_inbox(self: Arc<Self>, key: &str, version: u64) -> bool {
        let Ok(id) = key.trim_start_matches(record::INBOX).parse::<JobId>() else {
            return true;
        };
        if !self.load_job(id).await {
            return false;
        }
        self.writer.set_known_version(key, version);
        let unit = AtomicWrite {
            changes: vec![(key.to_owned(), None)],
            absent: Vec::new(),
            urgent: false,
        };
        tokio::spawn(async move {
            let _ = self.writer.commit(unit).await;
        });
        true
    }

    /// Reads a job that is not known here. False: it could not be read.
    pub(super) async fn load_job(&self, id: JobId) -> bool {
        if self.model.lock().jobs().contains_key(&id)
            || self.controller.terminal_states().status(id).is_some()
        {
            return true;
        }
        match self.controller.lookup(id).await {
            Ok(StoredJob::Unfinished(r, version)) => {
                self.admit(*r, version);
                true
            }
            Ok(_) => true,
            Err(_) => false,
        }
    }

    pub(super) fn admit(&self, r: JobRecord, version: u64) {
        let id = r.spec.id;
        let now = Instant::now();
        let age = Duration::from_millis(unix_time_ms().saturating_sub(r.at));
        let mut m = self.model.lock();
        // Between the reading and now it may have become known or finished.
        if m.jobs().contains_key(&id) || self.controller.terminal_states().status(id).is_some() {
            return;
        }
        self.writer.set_known_version(&record::job_key(id), version);
        info!(job = %id, "picked up");
        m.add_job(r, now.checked_sub(age).unwrap_or(now));
        drop(m);
        self.resolve_from_memory();
        self.request_round();
    }
}
