//! Submissions of jobs: checked, then stored, and only then confirmed to the user.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::timeout;
use tracing::debug;

use crate::controller::submission::{accepted_response, SubmissionError};
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record::{self, JobRecord};
use crate::response::ApiResponse;
use crate::store::writer::CommitError;

use super::ActiveLeader;

/// How long a user waits until a submission or cancellation is stored. The write goes
/// on after that.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(2500);

impl ActiveLeader {
    /// Responds to a submission. A job is confirmed to its user only after it is
    /// stored; the response for a known job is its status.
    pub async fn submit(self: &Arc<Self>, body: &[u8]) -> ApiResponse {
        let id = match self.controller.submission_id(body) {
            Ok(id) => id,
            Err(rejection) => return rejection.into(),
        };
        if let Some(status) = self.confirmed_status(id).await {
            return status;
        }
        let record = match self.check_submission(body).await {
            Ok(record) => record,
            // Another controller may have stored the job: only one that is not
            // stored is rejected.
            Err(rejection) => return self.stored_status_or(id, rejection.into()).await,
        };
        if self.is_write_queue_full() {
            return ApiResponse::unavailable("too many jobs are being stored");
        }
        self.accept_within_timeout(record).await
    }

    /// Checks a submission and the jobs that it depends on; the kinds of unfinished ones are
    /// in the model.
    async fn check_submission(&self, body: &[u8]) -> Result<JobRecord, SubmissionError> {
        let types = self.controller.machine_types();
        let record = self.controller.check_submission(body, &types)?;
        let kind_in_model = |id| self.model.lock().jobs().get(&id).map(|job| job.spec.kind);
        self.controller
            .check_dependencies(&record.spec, kind_in_model)
            .await?;
        Ok(record)
    }

    /// Whether so many urgent writes are queued that a job submitted now would not be
    /// stored within [`STORE_TIMEOUT`].
    fn is_write_queue_full(&self) -> bool {
        let storable = self.controller.store().max_changes_within(STORE_TIMEOUT);
        self.writer.queued_urgent_changes() as f64 > storable
    }

    /// Stores a job and responds to its user. The write goes on if it takes longer
    /// than the user waits.
    async fn accept_within_timeout(self: &Arc<Self>, record: JobRecord) -> ApiResponse {
        let id = record.spec.id;
        let active_leader = self.clone();
        let acceptance = tokio::spawn(async move { active_leader.accept_job(record).await });
        match timeout(STORE_TIMEOUT, acceptance).await {
            Ok(Ok(Ok(()))) => accepted_response(id),
            Ok(Ok(Err(CommitError::Conflict(_) | CommitError::Rejected))) => {
                let unreadable = ApiResponse::unavailable("the job's state can't be read now");
                self.stored_status_or(id, unreadable).await
            }
            _ => ApiResponse::unavailable("the job can't be stored now"),
        }
    }

    /// Stores a new job, on condition that no unfinished or final record of it exists,
    /// then adds it to the model.
    async fn accept_job(&self, record: JobRecord) -> Result<(), CommitError> {
        let id = record.spec.id;
        let value = serde_json::to_value(&record).unwrap_or(Value::Null);
        let key = record::job_key(id);
        let write = AtomicWrite {
            changes: vec![(key.clone(), Some(value))],
            absent: vec![key, record::final_key(id)],
            urgent: true,
        };
        self.writer.commit(write).await?;
        let spec = &record.spec;
        debug!(
            job = %id,
            team = spec.team,
            class = spec.class,
            tasks = spec.tasks,
            cpus = spec.cpus,
            "job accepted"
        );
        self.model.lock().add_job(record, Instant::now());
        self.resolve_from_memory();
        self.request_round();
        Ok(())
    }
}
