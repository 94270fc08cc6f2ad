//! Requests of users at any controller: the leader responds if it can be reached, and else
//! this controller by what the state service says.

use std::time::{Duration, Instant};

use crate::core::storage::record::FinalRecord;
use crate::peer::PeerRequest;
use crate::response::ApiResponse;
use crate::wire::{JobId, JobState, JobStatus};

use super::submission::submitted_id;
use super::Controller;

/// How long the leader may take to respond to a cancellation that is passed on to it.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

impl Controller {
    /// Responds to a submission.
    pub async fn submit(&self, body: &[u8]) -> ApiResponse {
        self.check_for_stall();
        if let Some(active_leader) = self.active_leader() {
            return active_leader.submit(body).await;
        }
        let ended = submitted_id(body).and_then(|id| self.terminal_states().status(id));
        if let Some(status) = ended {
            return ApiResponse::json(200, &status);
        }
        let request = PeerRequest::Submit(body.to_vec());
        let timeout = self.operator_settings.forward_timeout;
        match self.forward_to_leader(request, timeout).await {
            Some(response) if !response.is_unavailable() => response,
            _ => self.submit_direct(body).await,
        }
    }

    /// Responds to a poll. An overloaded controller responds only about jobs whose
    /// terminal states it has.
    pub async fn poll(&self, id: JobId) -> ApiResponse {
        self.check_for_stall();
        if self.stall_detector.is_overloaded(Instant::now()) {
            return self
                .terminal_response(id)
                .unwrap_or_else(|| ApiResponse::unavailable("too much to do"));
        }
        if let Some(active_leader) = self.active_leader() {
            return active_leader.poll(id).await;
        }
        if let Some(response) = self.terminal_response(id) {
            return response;
        }
        let request = PeerRequest::Poll(id.to_string());
        let timeout = self.operator_settings.forward_timeout;
        match self.forward_to_leader(request, timeout).await {
            Some(response) if !response.is_unavailable() => {
                self.keep_terminal_state(&response);
                response
            }
            _ => self.poll_direct(id).await,
        }
    }

    /// Responds to a cancellation. Only the leader can cancel a job.
    pub async fn cancel(&self, id: JobId) -> ApiResponse {
        if let Some(active_leader) = self.active_leader() {
            return active_leader.cancel(id).await;
        }
        if let Some(response) = self.terminal_response(id) {
            return response;
        }
        let request = PeerRequest::Cancel(id.to_string());
        match self.forward_to_leader(request, CANCEL_TIMEOUT).await {
            Some(response) if !response.is_unavailable() => {
                self.keep_terminal_state(&response);
                response
            }
            _ => self.cancel_direct(id).await,
        }
    }

    /// Responds to a poll by what is stored.
    async fn poll_direct(&self, id: JobId) -> ApiResponse {
        match self.lookup_job(id).await {
            Ok(found) => self.status_response(id, &found).await,
            Err(_) => ApiResponse::unavailable("the job's state can't be read now"),
        }
    }

    /// Responds to a cancellation of a job that is stored as ended, or not at all.
    async fn cancel_direct(&self, id: JobId) -> ApiResponse {
        let Ok(found) = self.lookup_job(id).await else {
            return ApiResponse::unavailable("no leader to cancel it now");
        };
        match self.stored_state(&found).await {
            Ok(None | Some(JobState::Cancelled | JobState::Done)) => self.status_response(id, &found).await,
            _ => ApiResponse::unavailable("no leader to cancel it now"),
        }
    }

    /// The response about a job whose terminal state is kept here.
    fn terminal_response(&self, id: JobId) -> Option<ApiResponse> {
        self.terminal_states()
            .status(id)
            .map(|status| ApiResponse::json(200, &status))
    }

    /// Keeps the terminal state that the leader's response names, if it names one.
    fn keep_terminal_state(&self, response: &ApiResponse) {
        if response.status != 200 {
            return;
        }
        let Ok(status) = serde_json::from_slice::<JobStatus>(&response.body) else {
            return;
        };
        if matches!(status.state, JobState::Done | JobState::Cancelled) {
            let record = FinalRecord {
                state: status.state,
                done: status.done,
                ended_at: None,
            };
            self.terminal_states().insert(status.id, record);
        }
    }
}
