//! Requests of users at any controller: answered by the leader if it can be
//! asked, and else by what the state service says.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

use super::Controller;
use crate::clock::unix_time_ms;
use crate::controller::job_lookup::StoredJob;
use crate::core::scheduling::admission::{check_admission, AdmissionError};
use crate::core::storage::record::{self, FinalRecord, JobRecord};
use crate::peer::PeerRequest;
use crate::response::ApiResponse;
use crate::store::KeyRead;
use crate::wire::{Change, Condition, JobId, JobSpec, JobState, JobStatus, MachineType, Transaction};

/// Whether a body can be a JSON object: a list of values in the order of the
/// fields would be read as one, too.
fn is_object(body: &[u8]) -> bool {
    body.trim_ascii_start().starts_with(b"{")
}

/// The id in a submission, whatever else is wrong with it.
fn id_in(body: &[u8]) -> Option<JobId> {
    if !is_object(body) {
        return None;
    }
    #[derive(serde::Deserialize)]
    struct Only {
        #[serde(rename = "name_id")]
        id: JobId,
    }
    serde_json::from_slice::<Only>(body).ok().map(|o| o.id)
}

impl Controller {
    /// A submission.
    pub async fn submit(&self, body: &[u8]) -> ApiResponse {
        self.check_for_stall();
        if let Some(active_leader) = self.active_leader() {
            return active_leader.submit(body).await;
        }
        if let Some(view) = id_in(body).and_then(|id| self.terminal_states().status(id)) {
            return ApiResponse::json(200, &view);
        }
        let asked = self
            .forward_to_leader(
                PeerRequest::Submit(body.to_vec()),
                self.operator_settings.forward_timeout,
            )
            .await;
        match asked {
            Some(r) if r.status != 503 => r,
            _ => self.submit_direct(body).await,
        }
    }

    /// A poll.
    pub async fn poll(&self, id: JobId) -> ApiResponse {
        self.check_for_stall();
        if self.stall_detector.is_overloaded(Instant::now()) {
            return match self.terminal_states().status(id) {
                Some(view) => ApiResponse::json(200, &view),
                None => ApiResponse::unavailable("too much to do"),
            };
        }
        if let Some(active_leader) = self.active_leader() {
            return active_leader.poll(id).await;
        }
        if let Some(view) = self.terminal_states().status(id) {
            return ApiResponse::json(200, &view);
        }
        let asked = self
            .forward_to_leader(
                PeerRequest::Poll(id.to_string()),
                self.operator_settings.forward_timeout,
            )
            .await;
        match asked {
            Some(r) if r.status != 503 => {
                self.learn(&r);
                r
            }
            _ => match self.lookup(id).await {
                Ok(found) => self.response_about(id, &found).await,
                Err(_) => ApiResponse::unavailable("the job's state can't be read now"),
            },
        }
    }

    /// Keeps a final state that passes by.
    fn learn(&self, r: &ApiResponse) {
        if r.status != 200 {
            return;
        }
        if let Ok(v) = serde_json::from_slice::<JobStatus>(&r.body) {
            if matches!(v.state, JobState::Done | JobState::Cancelled) {
                let record = FinalRecord {
                    state: v.state,
                    done: v.done,
                    ended_at: None,
                };
                self.terminal_states().keep(v.id, record);
            }
        }
    }

    /// A cancellation. Only the leader can take it.
    pub async fn cancel(&self, id: JobId) -> ApiResponse {
        if let Some(active_leader) = self.active_leader() {
            return active_leader.cancel(id).await;
        }
        if let Some(view) = self.terminal_states().status(id) {
            return ApiResponse::json(200, &view);
        }
        let asked = self
            .forward_to_leader(PeerRequest::Cancel(id.to_string()), Duration::from_secs(2))
            .await;
        match asked {
            Some(r) if r.status != 503 => {
                self.learn(&r);
                r
            }
            _ => {
                let Ok(found) = self.lookup(id).await else {
                    return ApiResponse::unavailable("no leader to cancel it now");
                };
                match self.stored_state(&found).await {
                    Ok(None | Some(JobState::Cancelled | JobState::Done)) => {
                        self.response_about(id, &found).await
                    }
                    _ => ApiResponse::unavailable("no leader to cancel it now"),
                }
            }
        }
    }

    /// The machine types, read from the state service if need be.
    pub async fn known_types(&self) -> Arc<Vec<MachineType>> {
        let known = self.machine_types();
        if !known.is_empty() {
            return known;
        }
        if let Ok(KeyRead::Found(item)) = self.store.get_soon(record::TYPES).await {
            if let Ok(types) = serde_json::from_value::<Vec<MachineType>>(item.value) {
                self.set_machine_types(Arc::new(types));
            }
        }
        self.machine_types()
    }

    /// Judges a submission: its job, or the answer.
    pub fn judge(&self, body: &[u8], types: &[MachineType]) -> Result<JobSpec, ApiResponse> {
        if !is_object(body) {
            return Err(ApiResponse::error(400, "not a JSON object"));
        }
        let mut json = serde_json::Deserializer::from_slice(body);
        // The error names the field.
        let spec: JobSpec = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| ApiResponse::error(400, &e.to_string()))?;
        json.end().map_err(|e| ApiResponse::error(400, &e.to_string()))?;
        spec.check()
            .map_err(|f| ApiResponse::error(400, &format!("invalid field `{f}`")))?;
        if !self.config.teams.contains_key(&spec.team) {
            return Err(ApiResponse::error(422, &AdmissionError::UnknownTeam.to_string()));
        }
        if types.is_empty() {
            return Err(ApiResponse::unavailable("the machine types are not known yet"));
        }
        check_admission(&spec, &self.config.teams, types)
            .map_err(|u| ApiResponse::error(422, &u.to_string()))?;
        let mut spec = spec;
        if spec.awaits.contains(&spec.id) {
            return Err(ApiResponse::error(
                422,
                &AdmissionError::DependsOnItself.to_string(),
            ));
        }
        if let Some(list) = &mut spec.types {
            // Types that don't exist are of no use to anybody.
            list.retain(|t| types.iter().any(|k| k.name == *t));
            list.sort();
            list.dedup();
        }
        spec.awaits.sort_unstable();
        spec.awaits.dedup();
        Ok(spec)
    }

    /// The id of a submission, or the answer to one that has none.
    pub fn id_of(&self, body: &[u8]) -> Result<JobId, ApiResponse> {
        id_in(body).ok_or_else(|| match self.judge(body, &[]) {
            Err(r) if r.status == 400 => r,
            _ => ApiResponse::error(400, "malformed id"),
        })
    }

    /// Whether the record fits the state service.
    pub fn record_fits(&self, record: &JobRecord) -> bool {
        // A cancellation adds to it.
        serde_json::to_vec(record).is_ok_and(|v| v.len() + 64 <= self.config.value_bytes)
    }

    /// Stores a new job without the leader, who finds it by its inbox mark.
    async fn submit_direct(&self, body: &[u8]) -> ApiResponse {
        let id = match self.id_of(body) {
            Ok(id) => id,
            Err(r) => return r,
        };
        // The id comes before the body: a repeat of an accepted job is 200.
        match self.lookup(id).await {
            Ok(StoredJob::NeverAccepted) => {}
            Ok(found) => return self.response_about(id, &found).await,
            Err(_) => return ApiResponse::unavailable("the job's state can't be read now"),
        }
        let types = self.known_types().await;
        let spec = match self.judge(body, &types) {
            Ok(s) => s,
            Err(r) => return r,
        };
        let rec = JobRecord {
            spec,
            at: unix_time_ms(),
            cancelled: false,
        };
        if !self.record_fits(&rec) {
            return ApiResponse::error(400, "the job's description is too long");
        }
        if let Err(r) = self.check_awaits(&rec.spec, |_| None).await {
            return r;
        }
        let Ok(value) = serde_json::to_value(&rec) else {
            return ApiResponse::error(400, "malformed");
        };
        let t = Transaction {
            conditions: vec![
                Condition {
                    key: record::job_key(id),
                    version: 0,
                },
                Condition {
                    key: record::final_key(id),
                    version: 0,
                },
            ],
            changes: vec![
                Change::Put {
                    put: record::job_key(id),
                    value,
                    lease: None,
                },
                Change::Put {
                    put: record::inbox_key(id),
                    value: true.into(),
                    lease: None,
                },
            ],
        };
        match self.store.transact(&t, Duration::from_millis(1200)).await {
            Ok(_) => {
                debug!(job = %id, "accepted without the leader");
                accepted(id, 201)
            }
            Err(_) => match self.lookup(id).await {
                Ok(StoredJob::NeverAccepted) | Err(_) => {
                    ApiResponse::unavailable("the job can't be stored now")
                }
                Ok(found) => self.response_about(id, &found).await,
            },
        }
    }
}

/// A submission was accepted.
pub fn accepted(id: JobId, status: u16) -> ApiResponse {
    ApiResponse::json(
        status,
        &JobStatus {
            id,
            state: JobState::Queued,
            done: 0,
            running: 0,
        },
    )
}
