//! Reads from the state service what is stored of a job and of the jobs that it depends on.
//!
//! A response about an unfinished job has to take into account whether a job that it
//! depends on, directly or indirectly, was cancelled: a stored cancellation cancels all
//! dependent jobs long before their own records say so. The walk over these jobs is in
//! `stored_dependencies`.

use crate::controller::Controller;
use crate::core::storage::record::{self, FinalRecord, JobRecord};
use crate::response::ApiResponse;
use crate::store::{parse_value, KeyRead, StoreError};
use crate::wire::{JobId, JobState, JobStatus};

use super::final_states::final_status;
use super::stored_dependencies::SharedJobIndex;

/// What the state service has stored of a job.
#[derive(Debug)]
pub enum StoredJob {
    /// Accepted, not finished: its record, and the version of the record's key.
    Unfinished(Box<JobRecord>, u64),
    /// Its final state, done or cancelled, is stored.
    Finished(JobStatus),
    /// Nothing is stored: the job was never accepted.
    NeverAccepted,
}

/// A job that was looked up to respond to a user.
#[derive(Debug)]
pub struct JobLookup {
    /// The id that was looked up.
    pub id: JobId,
    /// What is stored under that id.
    pub job: StoredJob,
    /// The index of unfinished jobs, up to date since the look-up began; `None` if it was not
    /// read along with the job.
    index: Option<SharedJobIndex>,
}

impl Controller {
    /// Reads a job from the state service and caches a final state. The key of the
    /// unfinished job is read first, because a job moves from there to the key of the
    /// finished job and never back.
    pub async fn look_up_job(&self, id: JobId) -> Result<StoredJob, StoreError> {
        if let KeyRead::Found(item) = self.store.get_for_user(&record::job_key(id)).await? {
            let version = item.version;
            let record = parse_value(item)?;
            return Ok(StoredJob::Unfinished(Box::new(record), version));
        }
        let status = self.read_final_state(id).await?;
        Ok(status.map_or(StoredJob::NeverAccepted, StoredJob::Finished))
    }

    /// Reads the final state of a job from the state service and caches it; `None` if the job
    /// is not finished.
    pub(super) async fn read_final_state(&self, id: JobId) -> Result<Option<JobStatus>, StoreError> {
        let KeyRead::Found(item) = self.store.get_for_user(&record::final_key(id)).await? else {
            return Ok(None);
        };
        let record: FinalRecord = parse_value(item)?;
        let status = final_status(id, &record);
        self.final_states().insert(id, record);
        Ok(Some(status))
    }

    /// Looks up a job to respond to a user. If it is known to depend on others, what the
    /// response needs of those is read at the same time.
    pub async fn look_up_for_user(&self, id: JobId) -> Result<JobLookup, StoreError> {
        let index = async { Ok(self.prefetch_job_index(id).await) };
        let (job, index) = tokio::try_join!(self.look_up_job(id), index)?;
        Ok(JobLookup { id, job, index })
    }

    /// The state of a job that was looked up, taking into account the jobs that it depends
    /// on; `None` if it was never accepted. An unfinished job that is not cancelled is
    /// reported as queued, because only the leader knows whether it runs.
    pub async fn stored_state(&self, lookup: &JobLookup) -> Result<Option<JobState>, StoreError> {
        let record = match &lookup.job {
            StoredJob::NeverAccepted => return Ok(None),
            StoredJob::Finished(status) => return Ok(Some(status.state)),
            StoredJob::Unfinished(record, _) => record,
        };
        let is_cancelled = record.cancelled
            || self
                .any_cancelled(&record.spec.awaits, lookup.index.clone())
                .await?;
        Ok(Some(if is_cancelled {
            JobState::Cancelled
        } else {
            JobState::Queued
        }))
    }

    /// The response to a user with the status of a job that was looked up.
    pub async fn status_response(&self, lookup: &JobLookup) -> ApiResponse {
        match self.stored_state(lookup).await {
            Ok(state) => lookup.response_with_state(state),
            Err(_) => ApiResponse::unavailable("the state of a job that it needs can't be read now"),
        }
    }
}

impl JobLookup {
    /// The response with a state that [`Controller::stored_state`] returned for this job.
    pub fn response_with_state(&self, state: Option<JobState>) -> ApiResponse {
        match (&self.job, state) {
            (StoredJob::Finished(status), _) => ApiResponse::with_json(200, status),
            (_, None) => ApiResponse::error(404, "no such job"),
            (_, Some(state)) => {
                let status = JobStatus {
                    id: self.id,
                    state,
                    done: 0,
                    running: 0,
                };
                ApiResponse::with_json(200, &status)
            }
        }
    }
}
