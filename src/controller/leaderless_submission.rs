//! Accepts a job while the leader is unknown or unreachable, by storing it together with an
//! inbox mark. The leader finds the job by that mark.

use std::time::Duration;

use serde_json::Value;
use tracing::debug;

use crate::core::storage::record::{self, JobRecord};
use crate::response::ApiResponse;
use crate::wire::{Change, Condition, JobId, Transaction};

use super::job_lookup::StoredJob;
use super::submission::{accepted_response, SubmissionError};
use super::Controller;

/// Timeout of the transaction that stores a job.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

impl Controller {
    /// Responds to a submission from the state service: with the stored status if the job
    /// is stored there, and otherwise by checking and storing the job.
    pub(super) async fn submit_without_leader(&self, body: &[u8]) -> ApiResponse {
        let id = match self.submission_id(body) {
            Ok(id) => id,
            Err(rejection) => return rejection.into(),
        };
        // The id is looked up before the rest of the body is checked: a repeated submission
        // of an accepted job gets 200.
        match self.look_up_for_user(id).await {
            Ok(lookup) if matches!(lookup.job, StoredJob::NeverAccepted) => {}
            Ok(lookup) => return self.status_response(&lookup).await,
            Err(_) => return ApiResponse::unavailable("the job's state can't be read now"),
        }
        let record = match self.check_submission_as_stored(body).await {
            Ok(record) => record,
            Err(rejection) => return rejection.into(),
        };
        let Ok(value) = serde_json::to_value(&record) else {
            return ApiResponse::error(400, "malformed");
        };
        self.store_new_job(id, value).await
    }

    /// Checks a submission and the jobs that it depends on; the kinds of unfinished ones are
    /// in the index of stored jobs.
    async fn check_submission_as_stored(&self, body: &[u8]) -> Result<JobRecord, SubmissionError> {
        let types = self.ensure_machine_types().await;
        let record = self.check_submission(body, &types)?;
        if record.spec.awaits.is_empty() {
            return Ok(record);
        }
        let index = self
            .up_to_date_job_index()
            .await
            .map_err(|error| SubmissionError::DependencyUnreadable(Box::new(error)))?;
        let kind_in_index = |id| index.lock().kind(id);
        self.check_dependencies(&record.spec, kind_in_index).await?;
        Ok(record)
    }

    async fn store_new_job(&self, id: JobId, record: Value) -> ApiResponse {
        let transaction = new_job_transaction(id, record);
        match self.store.transact(&transaction, STORE_TIMEOUT).await {
            Ok(_) => {
                debug!(job = %id, "job accepted without the leader");
                accepted_response(id)
            }
            // The job may have been stored nevertheless, or by another controller.
            Err(_) => match self.look_up_for_user(id).await {
                Ok(lookup) if !matches!(lookup.job, StoredJob::NeverAccepted) => {
                    self.status_response(&lookup).await
                }
                _ => ApiResponse::unavailable("the job can't be stored now"),
            },
        }
    }
}

/// Puts a job's record and its inbox mark, on condition that neither a record of it nor
/// its final state is stored.
fn new_job_transaction(id: JobId, record: Value) -> Transaction {
    let absent = |key| Condition { key, version: 0 };
    let put = |key, value| Change::Put {
        put: key,
        value,
        lease: None,
    };
    Transaction {
        conditions: vec![absent(record::job_key(id)), absent(record::final_key(id))],
        changes: vec![
            put(record::job_key(id), record),
            put(record::inbox_key(id), true.into()),
        ],
    }
}
