//! Jobs that other controllers stored: found by their inbox marks, and added to the
//! model.

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

/// Outcome of looking up jobs that may be missing in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IntakeOutcome {
    /// The job is in the model, is finished, or was never accepted.
    Settled,
    /// The job's record could not be read; the read has to be repeated.
    Unreadable,
}

impl IntakeOutcome {
    /// Combines two outcomes: settled if both are.
    fn and(self, other: Self) -> Self {
        match self {
            IntakeOutcome::Settled => other,
            IntakeOutcome::Unreadable => IntakeOutcome::Unreadable,
        }
    }
}

impl ActiveLeader {
    /// Adds the jobs that other controllers put into the inbox, until the term ends.
    pub(super) async fn watch_inbox(self: Arc<Self>) {
        loop {
            if let Ok(inbox) = self.controller.store().list(record::INBOX_PREFIX).await {
                self.process_inbox(inbox).await;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Adds the listed jobs and those whose marks are put after that. Returns once the
    /// inbox has to be listed again: a job could not be read, or the changes since the
    /// last watch are no longer kept.
    async fn process_inbox(self: &Arc<Self>, inbox: Listing) {
        let mut since = inbox.revision;
        let mut intake = IntakeOutcome::Settled;
        for item in inbox.items {
            let outcome = self.add_from_inbox(&item.key, item.version).await;
            intake = intake.and(outcome);
        }
        while intake == IntakeOutcome::Settled {
            let watch = self
                .controller
                .store()
                .watch(record::INBOX_PREFIX, since, WATCH_TIMEOUT);
            match watch.await {
                Ok(watched) => {
                    since = since.max(watched.revision);
                    for event in watched.events {
                        if let Some(key) = event.put {
                            let outcome = self.add_from_inbox(&key, event.version).await;
                            intake = intake.and(outcome);
                        }
                    }
                }
                Err(StoreError::RevisionTooOld { .. }) => return,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Adds the job of an inbox mark, then deletes the mark.
    async fn add_from_inbox(self: &Arc<Self>, key: &str, version: u64) -> IntakeOutcome {
        let Ok(id) = key.trim_start_matches(record::INBOX_PREFIX).parse::<JobId>() else {
            return IntakeOutcome::Settled;
        };
        if self.load_job(id).await == IntakeOutcome::Unreadable {
            return IntakeOutcome::Unreadable;
        }
        self.writer.set_known_version(key, version);
        let deletion = AtomicWrite {
            changes: vec![(key.to_owned(), None)],
            absent: Vec::new(),
            urgent: false,
        };
        let active_leader = self.clone();
        // If the deletion fails, the mark is found again when the inbox is listed;
        // its job is known by then.
        tokio::spawn(async move {
            let _ = active_leader.writer.commit(deletion).await;
        });
        IntakeOutcome::Settled
    }

    /// Reads a job that is not known here, and adds it to the model if it is unfinished.
    pub(super) async fn load_job(&self, id: JobId) -> IntakeOutcome {
        if self.is_known(id) {
            return IntakeOutcome::Settled;
        }
        match self.controller.look_up_job(id).await {
            Ok(StoredJob::Unfinished(record, version)) => {
                self.add_stored_job(*record, version);
                IntakeOutcome::Settled
            }
            Ok(StoredJob::Finished(_) | StoredJob::NeverAccepted) => IntakeOutcome::Settled,
            Err(_) => IntakeOutcome::Unreadable,
        }
    }

    /// Adds a stored job to the model, unless it has become known since it was read.
    /// `version` is that of the key of its record.
    pub(super) fn add_stored_job(&self, record: JobRecord, version: u64) {
        let id = record.spec.id;
        let now = Moment::now();
        let arrival = now.instant_of(record.accepted_at_ms).unwrap_or(now.steady);
        let mut model = self.model.lock();
        // The job may have become known, or finished, since it was read.
        if model.jobs().contains_key(&id) || self.controller.final_states().status(id).is_some() {
            return;
        }
        self.writer.set_known_version(&record::job_key(id), version);
        info!(job = %id, "added a job that another controller stored");
        model.add_job(record, arrival);
        drop(model);
        self.resolve_from_memory();
        self.request_round();
    }

    /// Whether the job is in the model or known to be finished.
    pub(super) fn is_known(&self, id: JobId) -> bool {
        self.model.lock().jobs().contains_key(&id) || self.controller.final_states().status(id).is_some()
    }
}
