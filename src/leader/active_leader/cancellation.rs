//! Cancellations: taken by the model first, stored, and only then confirmed to
//! the client.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::{sleep, timeout};
use tracing::info;

use crate::controller::job_lookup::StoredJob;
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record::{self, JobRecord};
use crate::response::ApiResponse;
use crate::store::writer::CommitError;
use crate::wire::JobId;

use super::job_intake::Intake;
use super::submission::STORE_TIMEOUT;
use super::ActiveLeader;

/// Pause between two looks at a job that is about to be stored as done.
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often such a job is looked at.
const MAX_COMPLETION_POLLS: u32 = 100;
/// Pause before a cancellation that was not stored is tried again.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What a cancellation comes to in the model.
enum CancellationStep {
    /// The job is not unfinished here.
    NotUnfinished,
    /// All its tasks are done; it is about to be stored as done.
    Completing,
    /// An earlier cancellation is stored.
    AlreadyStored,
    /// The model has taken the cancellation; this record is to be stored.
    Store(Box<JobRecord>),
}

/// How the storing of a cancellation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CancellationWrite {
    Stored,
    /// The term ended before it was known to be stored.
    TermEnded,
}

impl ActiveLeader {
    /// Responds to a cancellation.
    pub async fn cancel(self: &Arc<Self>, id: JobId) -> ApiResponse {
        if !self.may_act() {
            return ApiResponse::unavailable("leadership is in doubt");
        }
        if self.load_job(id).await == Intake::Unreadable {
            return ApiResponse::unavailable("the job's state can't be read now");
        }
        // It goes on if it takes longer than its user waits.
        let active_leader = self.clone();
        let cancellation = tokio::spawn(async move { active_leader.cancel_loaded(id).await });
        match timeout(STORE_TIMEOUT, cancellation).await {
            Ok(Ok(response)) => response,
            _ => ApiResponse::unavailable("the cancellation can't be stored now"),
        }
    }

    /// Cancels a job that was looked up: it is in the model or not unfinished.
    async fn cancel_loaded(self: Arc<Self>, id: JobId) -> ApiResponse {
        self.wait_for_completion(id).await;
        let step = self.begin_cancellation(id);
        match &step {
            CancellationStep::NotUnfinished => {
                return match self.controller.terminal_states().status(id) {
                    Some(status) => ApiResponse::json(200, &status),
                    None => ApiResponse::error(404, "no such job"),
                };
            }
            CancellationStep::Completing => return ApiResponse::unavailable("the job is ending"),
            CancellationStep::AlreadyStored | CancellationStep::Store(_) => {}
        }
        self.request_round();
        if let CancellationStep::Store(record) = step {
            if self.store_cancellation(id, &record).await == CancellationWrite::TermEnded {
                return ApiResponse::unavailable("the cancellation can't be stored now");
            }
            info!(job = %id, "cancelled");
            self.model.lock().cancel_stored(id);
            self.request_round();
        }
        self.status_in_memory(id)
            .unwrap_or_else(|| ApiResponse::unavailable("the job's state can't be told now"))
    }

    /// Waits, within bounds, while the job's last task is done and the job is
    /// about to be stored as done.
    async fn wait_for_completion(&self, id: JobId) {
        for _ in 0..MAX_COMPLETION_POLLS {
            let completing = self
                .model
                .lock()
                .jobs()
                .get(&id)
                .is_some_and(|job| job.is_complete() && !job.cancelled);
            if !completing {
                break;
            }
            sleep(COMPLETION_POLL_INTERVAL).await;
        }
    }

    /// Cancels the job in the model, if it is unfinished there.
    fn begin_cancellation(&self, id: JobId) -> CancellationStep {
        let mut model = self.model.lock();
        match model.jobs().get(&id) {
            None => CancellationStep::NotUnfinished,
            Some(job) if job.is_complete() && !job.cancelled => CancellationStep::Completing,
            Some(job) if job.cancellation_is_stored() => CancellationStep::AlreadyStored,
            Some(_) => {
                model.cancel(id, Instant::now());
                let job = model.jobs().get(&id).expect("a cancellation removes no job");
                CancellationStep::Store(Box::new(job.record()))
            }
        }
    }

    /// Stores a cancellation that the model has taken already: its tasks are
    /// being stopped, so there is no way back but the end of the term. A key
    /// that was not as expected is read again, or the job would be neither run
    /// nor cancelled for as long as this term lasts.
    async fn store_cancellation(&self, id: JobId, record: &JobRecord) -> CancellationWrite {
        let key = record::job_key(id);
        let value = serde_json::to_value(record).unwrap_or(Value::Null);
        loop {
            let write = AtomicWrite {
                changes: vec![(key.clone(), Some(value.clone()))],
                absent: Vec::new(),
                urgent: true,
            };
            match self.writer.commit(write).await {
                Ok(()) => return CancellationWrite::Stored,
                Err(CommitError::Deposed) => return CancellationWrite::TermEnded,
                Err(CommitError::Conflict(_) | CommitError::Refused) => {
                    if let Some(outcome) = self.check_stored_cancellation(id, &key).await {
                        return outcome;
                    }
                }
            }
            sleep(STORE_RETRY_PAUSE).await;
        }
    }

    /// Reads a job whose cancellation met a changed key or was refused, which
    /// only the read tells apart. `None`: the write is to be tried again.
    async fn check_stored_cancellation(&self, id: JobId, key: &str) -> Option<CancellationWrite> {
        match self.controller.lookup(id).await {
            Ok(StoredJob::Unfinished(record, _)) if record.cancelled => Some(CancellationWrite::Stored),
            Ok(StoredJob::Unfinished(_, version)) => {
                self.writer.set_known_version(key, version);
                None
            }
            Ok(StoredJob::Finished(_) | StoredJob::NeverAccepted) => {
                info!(
                    job = %id,
                    "a job cancelled by this leader is not unfinished in the state service"
                );
                self.end();
                Some(CancellationWrite::TermEnded)
            }
            Err(_) => None,
        }
    }
}
