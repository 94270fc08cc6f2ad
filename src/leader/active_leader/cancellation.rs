//! Cancellations of jobs: applied to the model, then stored, and only then confirmed
//! to the user.

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

use super::job_intake::IntakeOutcome;
use super::submission::STORE_TIMEOUT;
use super::ActiveLeader;

/// Pause between two checks whether a completed job has been stored as done.
const FINAL_STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Most such checks for one cancellation.
const MAX_FINAL_STATE_POLLS: u32 = 100;
/// Pause before the write of a cancellation that was not stored is repeated.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What the state of the job in the model requires of a cancellation.
enum CancellationStep {
    /// The model doesn't have the job: it is finished or was never accepted.
    NotInModel,
    /// All tasks of the job are done; it is about to be stored as done.
    Completing,
    /// An earlier cancellation is stored.
    AlreadyStored,
    /// The cancellation is applied to the model; this record is to be stored.
    Store(Box<JobRecord>),
}

/// Whether a cancellation was stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CancellationOutcome {
    Stored,
    /// The term ended before the cancellation was known to be stored.
    TermEnded,
}

impl ActiveLeader {
    /// Responds to a user's cancellation; confirms it only once it is stored.
    pub async fn cancel(self: &Arc<Self>, id: JobId) -> ApiResponse {
        if !self.may_act() {
            return ApiResponse::unavailable("leadership is in doubt");
        }
        if self.load_job(id).await == IntakeOutcome::Unreadable {
            return ApiResponse::unavailable("the job's state can't be read now");
        }
        // The cancellation goes on if it takes longer than the user waits.
        let active_leader = self.clone();
        let cancellation = tokio::spawn(async move { active_leader.cancel_loaded_job(id).await });
        match timeout(STORE_TIMEOUT, cancellation).await {
            Ok(Ok(response)) => response,
            _ => ApiResponse::unavailable("the cancellation can't be stored now"),
        }
    }

    /// Cancels a job after [`Self::load_job`]: the model has it, or it is finished or was
    /// never accepted.
    async fn cancel_loaded_job(self: Arc<Self>, id: JobId) -> ApiResponse {
        self.wait_for_final_state(id).await;
        let step = self.begin_cancellation(id);
        match &step {
            CancellationStep::NotInModel => {
                return match self.controller.final_states().status(id) {
                    Some(status) => ApiResponse::with_json(200, &status),
                    None => ApiResponse::error(404, "no such job"),
                };
            }
            CancellationStep::Completing => return ApiResponse::unavailable("the job is ending"),
            CancellationStep::AlreadyStored | CancellationStep::Store(_) => {}
        }
        self.request_round();
        if let CancellationStep::Store(record) = step {
            if self.store_cancellation(id, &record).await == CancellationOutcome::TermEnded {
                return ApiResponse::unavailable("the cancellation can't be stored now");
            }
            info!(job = %id, "cancellation stored");
            self.model.lock().cancellation_stored(id);
            self.request_round();
        }
        self.status_in_memory(id)
            .unwrap_or_else(|| ApiResponse::unavailable("the job's state can't be told now"))
    }

    /// If all tasks of the job are done, waits until it is stored as done, for at most
    /// [`MAX_FINAL_STATE_POLLS`] checks.
    async fn wait_for_final_state(&self, id: JobId) {
        for _ in 0..MAX_FINAL_STATE_POLLS {
            let is_completing = self
                .model
                .lock()
                .jobs()
                .get(&id)
                .is_some_and(|job| job.is_complete() && !job.cancelled);
            if !is_completing {
                break;
            }
            sleep(FINAL_STATE_POLL_INTERVAL).await;
        }
    }

    /// Cancels the job in the model, unless it is completing or an earlier cancellation
    /// is stored.
    fn begin_cancellation(&self, id: JobId) -> CancellationStep {
        let mut model = self.model.lock();
        match model.jobs().get(&id) {
            None => CancellationStep::NotInModel,
            Some(job) if job.is_complete() && !job.cancelled => CancellationStep::Completing,
            Some(job) if job.cancellation_is_stored() => CancellationStep::AlreadyStored,
            Some(_) => {
                model.cancel(id, Instant::now());
                let job = model.jobs().get(&id).expect("a cancellation removes no job");
                CancellationStep::Store(Box::new(job.to_record()))
            }
        }
    }

    /// Stores a cancellation that is already applied to the model. The job's tasks are
    /// being stopped, so only the end of the term can undo it. After a conflict or a
    /// rejection the record is read and the write repeated; otherwise the job would
    /// neither run nor be cancelled for the rest of the term.
    async fn store_cancellation(&self, id: JobId, record: &JobRecord) -> CancellationOutcome {
        let key = record::job_key(id);
        let value = serde_json::to_value(record).unwrap_or(Value::Null);
        loop {
            let write = AtomicWrite {
                changes: vec![(key.clone(), Some(value.clone()))],
                absent: Vec::new(),
                urgent: true,
            };
            match self.writer.commit(write).await {
                Ok(()) => return CancellationOutcome::Stored,
                Err(CommitError::TermEnded) => return CancellationOutcome::TermEnded,
                Err(CommitError::Conflict(_) | CommitError::Rejected) => {
                    if let Some(outcome) = self.check_stored_cancellation(id, &key).await {
                        return outcome;
                    }
                }
            }
            sleep(STORE_RETRY_PAUSE).await;
        }
    }

    /// Reads a job after the write of its cancellation failed: only the read shows
    /// whether the cancellation is stored nevertheless. `None`: the write is to be
    /// repeated.
    async fn check_stored_cancellation(&self, id: JobId, key: &str) -> Option<CancellationOutcome> {
        match self.controller.look_up_job(id).await {
            Ok(StoredJob::Unfinished(record, _)) if record.cancelled => Some(CancellationOutcome::Stored),
            Ok(StoredJob::Unfinished(_, version)) => {
                self.writer.set_known_version(key, version);
                None
            }
            Ok(StoredJob::Finished(_) | StoredJob::NeverAccepted) => {
                info!(
                    job = %id,
                    "a job cancelled by this leader has no unfinished record any more; the term ends"
                );
                self.end_term();
                Some(CancellationOutcome::TermEnded)
            }
            Err(_) => None,
        }
    }
}
