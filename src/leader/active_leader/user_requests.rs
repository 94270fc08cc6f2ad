//! Submissions, questions and cancellations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::clock::unix_time_ms;
use crate::controller::accepted;
use crate::controller::job_lookup::StoredJob;
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record::{self, JobRecord};
use crate::response::ApiResponse;
use crate::store::writer::CommitError;
use crate::wire::{JobId, JobSpec};

use super::job_intake::Intake;
use super::ActiveLeader;

/// How long a user's change may take to be stored.
const STORED_WITHIN: Duration = Duration::from_millis(2500);

impl ActiveLeader {
    /// A submission.
    pub async fn submit(self: &Arc<Self>, body: &[u8]) -> ApiResponse {
        let id = match self.controller.id_of(body) {
            Ok(id) => id,
            Err(r) => return r,
        };
        if let Some(r) = self.known_for_sure(id).await {
            return r;
        }
        let types = self.controller.machine_types();
        let spec = match self.controller.judge(body, &types) {
            Ok(s) => s,
            // Only an unknown job is judged: a follower may have stored it.
            Err(bad) => return self.unless_known(id, bad).await,
        };
        let rec = JobRecord {
            spec,
            at: unix_time_ms(),
            cancelled: false,
        };
        if !self.controller.record_fits(&rec) {
            let bad = ApiResponse::error(400, "the job's description is too long");
            return self.unless_known(id, bad).await;
        }
        let in_memory = |named| self.model.lock().jobs().get(&named).map(|j| j.spec.kind);
        if let Err(bad) = self.controller.check_awaits(&rec.spec, in_memory).await {
            return self.unless_known(id, bad).await;
        }
        // What can't be stored in time is refused at once.
        let within = self.controller.store().max_changes_within(STORED_WITHIN);
        if self.writer.queued_urgent_changes() as f64 > within {
            return ApiResponse::unavailable("too many jobs are being stored");
        }
        let active_leader = self.clone();
        let stored = tokio::spawn(async move { active_leader.accept(rec).await });
        match timeout(STORED_WITHIN, stored).await {
            Ok(Ok(Ok(()))) => accepted(id, 201),
            Ok(Ok(Err(CommitError::Conflict(_) | CommitError::Refused))) => {
                let other = ApiResponse::unavailable("the job's state can't be read now");
                self.unless_known(id, other).await
            }
            _ => ApiResponse::unavailable("the job can't be stored now"),
        }
    }

    pub(super) async fn accept(&self, rec: JobRecord) -> Result<(), CommitError> {
        let id = rec.spec.id;
        let value = serde_json::to_value(&rec).unwrap_or(Value::Null);
        let key = record::job_key(id);
        let unit = AtomicWrite {
            changes: vec![(key.clone(), Some(value))],
            absent: vec![key, record::final_key(id)],
            urgent: true,
        };
        self.writer.commit(unit).await?;
        let s: &JobSpec = &rec.spec;
        debug!(job = %id, team = s.team, class = s.class, tasks = s.tasks, cpus = s.cpus, "accepted");
        self.model.lock().add_job(rec, Instant::now());
        self.resolve_from_memory();
        self.request_round();
        Ok(())
    }

    /// The answer for a job known here.
    pub(super) fn known(&self, id: JobId) -> Option<ApiResponse> {
        if !self.may_act() {
            return Some(ApiResponse::unavailable("leadership is in doubt"));
        }
        let active = self.model.lock().status(id);
        let view = active.or_else(|| self.controller.terminal_states().status(id))?;
        Some(ApiResponse::json(200, &view))
    }

    /// The same, if it can't be older than what another leader has told since:
    /// final states never are.
    pub(super) async fn known_for_sure(&self, id: JobId) -> Option<ApiResponse> {
        if let Some(view) = self.controller.terminal_states().status(id) {
            return Some(ApiResponse::json(200, &view));
        }
        let response = self.known(id)?;
        if response.status == 200 && !self.confirm_leadership().await {
            return Some(ApiResponse::unavailable("leadership can't be confirmed now"));
        }
        Some(response)
    }

    pub(super) async fn unless_known(&self, id: JobId, otherwise: ApiResponse) -> ApiResponse {
        match self.controller.lookup(id).await {
            Ok(StoredJob::NeverAccepted) => otherwise,
            Ok(found) => {
                let response = self.controller.response_about(id, &found).await;
                if let StoredJob::Unfinished(record, version) = found {
                    self.admit(*record, version);
                }
                response
            }
            Err(_) => ApiResponse::unavailable("the job's state can't be read now"),
        }
    }

    /// A poll.
    pub async fn poll(&self, id: JobId) -> ApiResponse {
        match self.known_for_sure(id).await {
            Some(r) => r,
            None => {
                self.unless_known(id, ApiResponse::error(404, "no such job"))
                    .await
            }
        }
    }

    /// A cancellation.
    pub async fn cancel(self: &Arc<Self>, id: JobId) -> ApiResponse {
        if !self.may_act() {
            return ApiResponse::unavailable("leadership is in doubt");
        }
        if self.load_job(id).await == Intake::Unreadable {
            return ApiResponse::unavailable("the job's state can't be read now");
        }
        let active_leader = self.clone();
        let work = tokio::spawn(async move { active_leader.cancel_stored(id).await });
        match timeout(STORED_WITHIN, work).await {
            Ok(Ok(response)) => response,
            _ => ApiResponse::unavailable("the cancellation can't be stored now"),
        }
    }

    pub(super) async fn cancel_stored(self: Arc<Self>, id: JobId) -> ApiResponse {
        // A job whose last task is done is about to be stored as done.
        for _ in 0..100 {
            let finishing = self
                .model
                .lock()
                .jobs()
                .get(&id)
                .is_some_and(|j| j.is_complete() && !j.cancelled);
            if !finishing {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let record = {
            let mut m = self.model.lock();
            match m.jobs().get(&id) {
                None => {
                    drop(m);
                    return match self.controller.terminal_states().status(id) {
                        Some(v) => ApiResponse::json(200, &v),
                        None => ApiResponse::error(404, "no such job"),
                    };
                }
                Some(j) if j.is_complete() && !j.cancelled => {
                    return ApiResponse::unavailable("the job is ending")
                }
                Some(j) if j.cancellation_is_stored() => None,
                Some(_) => {
                    m.cancel(id, Instant::now());
                    m.jobs().get(&id).map(|j| j.record())
                }
            }
        };
        self.request_round();
        if let Some(record) = record {
            if !self.store_cancellation(id, &record).await {
                return ApiResponse::unavailable("the cancellation can't be stored now");
            }
            info!(job = %id, "cancelled");
            self.model.lock().cancel_stored(id);
            self.request_round();
        }
        match self.known(id) {
            Some(r) => r,
            None => ApiResponse::unavailable("the job's state can't be told now"),
        }
    }

    /// Stores a cancellation that the model has taken already: its tasks are
    /// being stopped, so there is no way back but the end of the term. A key
    /// that was not as expected is read again, or the job would be neither run
    /// nor cancelled for as long as this term lasts.
    pub(super) async fn store_cancellation(&self, id: JobId, record: &JobRecord) -> bool {
        let key = record::job_key(id);
        let value = serde_json::to_value(record).unwrap_or(Value::Null);
        loop {
            let unit = AtomicWrite {
                changes: vec![(key.clone(), Some(value.clone()))],
                absent: Vec::new(),
                urgent: true,
            };
            match self.writer.commit(unit).await {
                Ok(()) => return true,
                Err(CommitError::Deposed) => return false,
                // Told apart from a changed key only by reading it.
                Err(CommitError::Conflict(_) | CommitError::Refused) => {
                    match self.controller.lookup(id).await {
                        Ok(StoredJob::Unfinished(r, _)) if r.cancelled => return true,
                        Ok(StoredJob::Unfinished(_, version)) => self.writer.set_known_version(&key, version),
                        Ok(_) => {
                            info!(job = %id, "cancelled here, yet not unfinished in the state service");
                            self.end();
                            return false;
                        }
                        Err(_) => {}
                    }
                }
            }
            sleep(Duration::from_millis(150)).await;
        }
    }
}
