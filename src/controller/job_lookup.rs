//! What is stored of a job, and of the jobs that it waits for.
//!
//! Anybody who answers for an unfinished job has to know whether a job before
//! it was cancelled: that stored cancellation holds for all jobs after it, long
//! before their own records say so.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::controller::Controller;
use crate::core::scheduling::admission::AdmissionError;
use crate::core::storage::record::{self, FinalRecord, JobRecord};
use crate::response::ApiResponse;
use crate::store::{parse_value, KeyRead, StoreError};
use crate::wire::{JobId, JobKind, JobSpec, JobState, JobStatus};

/// Final states kept at hand; the rest is read from the state service.
const MAX_FINALS: usize = 50_000;

/// Final states of jobs: once known they hold for ever.
#[derive(Debug, Default)]
pub struct TerminalStates {
    records: HashMap<JobId, FinalRecord>,
    order: VecDeque<JobId>,
}

impl TerminalStates {
    /// Keeps a final state.
    pub fn keep(&mut self, id: JobId, record: FinalRecord) {
        let ended_at = record.ended_at;
        match self.records.insert(id, record) {
            None => self.order.push_back(id),
            // What passes by in another controller's answer tells no time.
            Some(old) if ended_at.is_none() => {
                self.records.entry(id).and_modify(|r| r.ended_at = old.ended_at);
            }
            Some(_) => {}
        }
        if self.order.len() > MAX_FINALS {
            if let Some(old) = self.order.pop_front() {
                self.records.remove(&old);
            }
        }
    }

    /// The final record, if at hand.
    pub fn record(&self, id: JobId) -> Option<&FinalRecord> {
        self.records.get(&id)
    }

    /// What its user is told, if at hand.
    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        self.records.get(&id).map(|record| terminal_status(id, record))
    }
}

fn terminal_status(id: JobId, record: &FinalRecord) -> JobStatus {
    JobStatus {
        id,
        state: record.state,
        done: record.done,
        running: 0,
    }
}

/// What the state service says of a job.
#[derive(Debug)]
pub enum StoredJob {
    /// Not finished: its record, and the version of that.
    Unfinished(Box<JobRecord>, u64),
    /// Finished.
    Finished(JobStatus),
    /// Never accepted.
    NeverAccepted,
}

impl Controller {
    /// What the state service says of a job, read afresh. The unfinished ones
    /// come first: a job moves from there to the finished ones, never back.
    pub async fn lookup(&self, id: JobId) -> Result<StoredJob, StoreError> {
        if let KeyRead::Found(item) = self.store.get_soon(&record::job_key(id)).await? {
            let version = item.version;
            let record = parse_value(item)?;
            return Ok(StoredJob::Unfinished(Box::new(record), version));
        }
        if let KeyRead::Found(item) = self.store.get_soon(&record::final_key(id)).await? {
            let record: FinalRecord = parse_value(item)?;
            let view = terminal_status(id, &record);
            self.terminal_states().keep(id, record);
            return Ok(StoredJob::Finished(view));
        }
        Ok(StoredJob::NeverAccepted)
    }

    /// The state of a job that was looked up, given the jobs before it; `None`:
    /// it was never accepted. How far an unfinished one is, only the leader knows.
    pub async fn stored_state(&self, found: &StoredJob) -> Result<Option<JobState>, StoreError> {
        Ok(match found {
            StoredJob::NeverAccepted => None,
            StoredJob::Finished(view) => Some(view.state),
            StoredJob::Unfinished(record, _) if record.cancelled => Some(JobState::Cancelled),
            StoredJob::Unfinished(record, _) if self.any_cancelled(&record.spec.awaits).await? => {
                Some(JobState::Cancelled)
            }
            StoredJob::Unfinished(..) => Some(JobState::Queued),
        })
    }

    /// Whether one of the jobs, or a job before them, is cancelled.
    async fn any_cancelled(&self, jobs: &[JobId]) -> Result<bool, StoreError> {
        let mut seen: HashSet<JobId> = jobs.iter().copied().collect();
        let mut next: VecDeque<JobId> = jobs.iter().copied().collect();
        while let Some(id) = next.pop_front() {
            let known = self.terminal_states().status(id);
            let found = match known {
                Some(view) => StoredJob::Finished(view),
                None => self.lookup(id).await?,
            };
            match found {
                StoredJob::Finished(view) if view.state == JobState::Cancelled => return Ok(true),
                StoredJob::Unfinished(record, _) if record.cancelled => return Ok(true),
                StoredJob::Unfinished(record, _) => {
                    let before = record.spec.awaits.into_iter();
                    next.extend(before.filter(|named| seen.insert(*named)));
                }
                StoredJob::Finished(_) | StoredJob::NeverAccepted => {}
            }
        }
        Ok(false)
    }

    /// The answer about a job that was looked up.
    pub async fn response_about(&self, id: JobId, found: &StoredJob) -> ApiResponse {
        if let StoredJob::Finished(view) = found {
            return ApiResponse::json(200, view);
        }
        match self.stored_state(found).await {
            Ok(None) => ApiResponse::error(404, "no such job"),
            Ok(Some(state)) => ApiResponse::json(
                200,
                &JobStatus {
                    id,
                    state,
                    done: 0,
                    running: 0,
                },
            ),
            Err(_) => ApiResponse::unavailable("the state of a job that it needs can't be read now"),
        }
    }

    /// Checks that all jobs which a new one names were accepted and can end;
    /// `in_memory` gives the kind of those that are known to be unfinished.
    pub async fn check_awaits(
        &self,
        spec: &JobSpec,
        in_memory: impl Fn(JobId) -> Option<JobKind>,
    ) -> Result<(), ApiResponse> {
        for named in &spec.awaits {
            let mut kind = in_memory(*named);
            if kind.is_none() && self.terminal_states().record(*named).is_none() {
                kind = match self.lookup(*named).await {
                    Ok(StoredJob::Unfinished(record, _)) => Some(record.spec.kind),
                    Ok(StoredJob::Finished(_)) => None,
                    Ok(StoredJob::NeverAccepted) => {
                        let reason = AdmissionError::UnknownDependency(*named);
                        return Err(ApiResponse::error(422, &reason.to_string()));
                    }
                    Err(_) => {
                        return Err(ApiResponse::unavailable(
                            "a job that it waits for can't be read now",
                        ))
                    }
                };
            }
            if kind == Some(JobKind::Service) {
                let reason = AdmissionError::DependsOnService(*named);
                return Err(ApiResponse::error(422, &reason.to_string()));
            }
        }
        Ok(())
    }
}
