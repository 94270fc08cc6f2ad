//! Reads from the state service what is stored of a job and of the jobs that it depends on.
//!
//! A response about an unfinished job has to take into account whether a job that it
//! depends on, directly or indirectly, was cancelled: a stored cancellation cancels all
//! dependent jobs long before their own records say so.

use std::collections::{HashSet, VecDeque};
use std::time::Instant;

use tracing::debug;

use crate::controller::Controller;
use crate::core::storage::record::{self, FinalRecord, JobRecord};
use crate::response::ApiResponse;
use crate::store::{parse_value, KeyRead, StoreError};
use crate::wire::{JobId, JobState, JobStatus};

use super::final_states::final_status;

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

/// How many jobs a walk over dependencies has looked up, one after the other. Logged when
/// the walk ends, also if it is abandoned because the user no longer waits.
struct DependencyWalk {
    began: Instant,
    lookups: u32,
}

impl DependencyWalk {
    fn new() -> Self {
        Self {
            began: Instant::now(),
            lookups: 0,
        }
    }
}

impl Drop for DependencyWalk {
    fn drop(&mut self) {
        let took_ms = self.began.elapsed().as_millis() as u64;
        debug!(
            lookups = self.lookups,
            took_ms, "stored dependencies of a job visited"
        );
    }
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
        if let KeyRead::Found(item) = self.store.get_for_user(&record::final_key(id)).await? {
            let record: FinalRecord = parse_value(item)?;
            let status = final_status(id, &record);
            self.final_states().insert(id, record);
            return Ok(StoredJob::Finished(status));
        }
        Ok(StoredJob::NeverAccepted)
    }

    /// The state of a job that was looked up, taking into account the jobs that it depends
    /// on; `None` if it was never accepted. An unfinished job that is not cancelled is
    /// reported as queued, because only the leader knows whether it runs.
    pub async fn stored_state(&self, found: &StoredJob) -> Result<Option<JobState>, StoreError> {
        Ok(match found {
            StoredJob::NeverAccepted => None,
            StoredJob::Finished(status) => Some(status.state),
            StoredJob::Unfinished(record, _) if record.cancelled => Some(JobState::Cancelled),
            StoredJob::Unfinished(record, _) if self.any_cancelled(&record.spec.awaits).await? => {
                Some(JobState::Cancelled)
            }
            StoredJob::Unfinished(..) => Some(JobState::Queued),
        })
    }

    /// Whether one of the jobs, or any job that they depend on directly or indirectly, is
    /// cancelled.
    async fn any_cancelled(&self, jobs: &[JobId]) -> Result<bool, StoreError> {
        let mut work = DependencyWalk::new();
        let mut visited: HashSet<JobId> = jobs.iter().copied().collect();
        let mut to_visit: VecDeque<JobId> = jobs.iter().copied().collect();
        while let Some(id) = to_visit.pop_front() {
            let cached = self.final_states().status(id);
            let found = match cached {
                Some(status) => StoredJob::Finished(status),
                None => {
                    work.lookups += 1;
                    self.look_up_job(id).await?
                }
            };
            match found {
                StoredJob::Finished(status) if status.state == JobState::Cancelled => return Ok(true),
                StoredJob::Unfinished(record, _) if record.cancelled => return Ok(true),
                StoredJob::Unfinished(record, _) => {
                    let dependencies = record.spec.awaits.into_iter();
                    to_visit.extend(dependencies.filter(|dependency| visited.insert(*dependency)));
                }
                StoredJob::Finished(_) | StoredJob::NeverAccepted => {}
            }
        }
        Ok(false)
    }

    /// The response to a user with the status of a job that was looked up.
    pub async fn status_response(&self, id: JobId, found: &StoredJob) -> ApiResponse {
        if let StoredJob::Finished(status) = found {
            return ApiResponse::with_json(200, status);
        }
        match self.stored_state(found).await {
            Ok(None) => ApiResponse::error(404, "no such job"),
            Ok(Some(state)) => {
                let status = JobStatus {
                    id,
                    state,
                    done: 0,
                    running: 0,
                };
                ApiResponse::with_json(200, &status)
            }
            Err(_) => ApiResponse::unavailable("the state of a job that it needs can't be read now"),
        }
    }
}
