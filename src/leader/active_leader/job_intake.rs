//! Jobs that other controllers stored: found by their marks in the inbox, and
//! admitted to the model.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::info;

use crate::controller::job_lookup::StoredJob;
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record::{self, JobRecord};
use crate::store::{Listing, StoreError};
use crate::wire::JobId;

use super::moment::Moment;
use super::ActiveLeader;

/// Pause before the inbox is listed or watched again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How long the state service may hold one watch of the inbox.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether all that was asked for is known here now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Intake {
    /// The job is in the model, has ended, or was never accepted.
    Settled,
    /// Its record could not be read; it has to be tried again.
    Unreadable,
}

impl Intake {
    fn and(self, other: Self) -> Self {
        match self {
            Intake::Settled => other,
            Intake::Unreadable => Intake::Unreadable,
        }
    }
}

impl ActiveLeader {
    /// Admits the jobs that other controllers put into the inbox, as long as the
    /// term lasts.
    pub(super) async fn watch_inbox(self: Arc<Self>) {
        loop {
            if let Ok(inbox) = self.controller.store().list(record::INBOX).await {
                self.admit_and_watch(inbox).await;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Admits what is listed and what is put after that, until something could
    /// not be read or the watch has fallen behind: the inbox is to be listed
    /// again then.
    async fn admit_and_watch(self: &Arc<Self>, inbox: Listing) {
        let mut since = inbox.revision;
        let mut intake = Intake::Settled;
        for item in inbox.items {
            let admitted = self.admit_from_inbox(&item.key, item.version).await;
            intake = intake.and(admitted);
        }
        while intake == Intake::Settled {
            let watch = self.controller.store().watch(record::INBOX, since, WATCH_TIMEOUT);
            match watch.await {
                Ok(watched) => {
                    since = since.max(watched.revision);
                    for event in watched.events {
                        if let Some(key) = event.put {
                            let admitted = self.admit_from_inbox(&key, event.version).await;
                            intake = intake.and(admitted);
                        }
                    }
                }
                Err(StoreError::RevisionTooOld { .. }) => return,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Admits the job of an inbox mark, then deletes the mark.
    async fn admit_from_inbox(self: &Arc<Self>, key: &str, version: u64) -> Intake {
        let Ok(id) = key.trim_start_matches(record::INBOX).parse::<JobId>() else {
            return Intake::Settled;
        };
        if self.load_job(id).await == Intake::Unreadable {
            return Intake::Unreadable;
        }
        self.writer.set_known_version(key, version);
        let deletion = AtomicWrite {
            changes: vec![(key.to_owned(), None)],
            absent: Vec::new(),
            urgent: false,
        };
        let active_leader = self.clone();
        // A mark that is left is found again: its job is known then.
        tokio::spawn(async move {
            let _ = active_leader.writer.commit(deletion).await;
        });
        Intake::Settled
    }

    /// Reads a job that is not known here, and admits it if it is unfinished.
    pub(super) async fn load_job(&self, id: JobId) -> Intake {
        if self.is_known(id) {
            return Intake::Settled;
        }
        match self.controller.lookup(id).await {
            Ok(StoredJob::Unfinished(record, version)) => {
                self.admit(*record, version);
                Intake::Settled
            }
            Ok(StoredJob::Finished(_) | StoredJob::NeverAccepted) => Intake::Settled,
            Err(_) => Intake::Unreadable,
        }
    }

    /// Adds a stored job to the model, unless it is known by now. `version` is
    /// that of its record.
    pub(super) fn admit(&self, record: JobRecord, version: u64) {
        let id = record.spec.id;
        let now = Moment::now();
        let submitted_at = now.instant_of(record.at).unwrap_or(now.steady);
        let mut model = self.model.lock();
        // Between the read and now it may have become known or finished.
        if model.jobs().contains_key(&id) || self.controller.terminal_states().status(id).is_some() {
            return;
        }
        self.writer.set_known_version(&record::job_key(id), version);
        info!(job = %id, "admitted a job that another controller stored");
        model.add_job(record, submitted_at);
        drop(model);
        self.resolve_from_memory();
        self.request_round();
    }

    /// Whether the job is in the model or known to have ended.
    pub(super) fn is_known(&self, id: JobId) -> bool {
        self.model.lock().jobs().contains_key(&id) || self.controller.terminal_states().status(id).is_some()
    }
}
