//! Users' requests. A controller that doesn't lead responds from its cache of final
//! states if the job is there. It forwards other requests to the leader, and responds
//! from the state service if the leader can't be reached or is unavailable.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use crate::core::storage::record::FinalRecord;
use crate::peer::PeerRequest;
use crate::response::{ApiResponse, MAX_POLL_TIME};
use crate::store::StoreError;
use crate::wire::{JobId, JobState, JobStatus};

use super::submission::parse_submission_id;
use super::Controller;

/// Timeout of the leader's response to a forwarded cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

impl Controller {
    /// Responds to a submission: its JSON body.
    pub async fn submit(&self, body: &[u8]) -> ApiResponse {
        self.check_for_stall();
        if let Some(active_leader) = self.active_leader() {
            return active_leader.submit(body).await;
        }
        let cached = parse_submission_id(body).and_then(|id| self.final_states().status(id));
        if let Some(status) = cached {
            return ApiResponse::with_json(200, &status);
        }
        let request = PeerRequest::Submit(body.to_vec());
        let timeout = self.operator_settings.forward_timeout;
        match self.forward_to_leader(request, timeout).await {
            Some(response) if !response.is_unavailable() => response,
            _ => self.submit_without_leader(body).await,
        }
    }

    /// Responds to a poll. An overloaded controller responds only about jobs whose final
    /// states are cached, and refuses all other polls.
    pub async fn poll_job(self: &Arc<Self>, id: JobId) -> ApiResponse {
        self.check_for_stall();
        if self.stall_detector.is_overloaded(Instant::now()) {
            return self
                .final_response(id)
                .unwrap_or_else(|| ApiResponse::unavailable("too much to do"));
        }
        if let Some(active_leader) = self.active_leader() {
            return active_leader.poll_job(id).await;
        }
        if let Some(response) = self.final_response(id) {
            return response;
        }
        self.poll_through_leader(id).await
    }

    /// Responds to a poll with the leader's response. If there is none within
    /// `forward_timeout`, also looks up what is stored, and responds with whichever is there
    /// first: a leader that waits for a slow state service may need longer than that, but
    /// the look-up has to wait for the same service.
    async fn poll_through_leader(self: &Arc<Self>, id: JobId) -> ApiResponse {
        let request = PeerRequest::Poll(id.to_string());
        let forwarded = async {
            let response = self
                .forward_to_leader(request, MAX_POLL_TIME)
                .await
                .unwrap_or_else(|| ApiResponse::unavailable("no leader answers"));
            self.cache_final_state(&response);
            response
        };
        tokio::pin!(forwarded);
        let patience = self.operator_settings.forward_timeout;
        match timeout(patience, &mut forwarded).await {
            Ok(response) if !response.is_unavailable() => response,
            Ok(_) => self.poll_without_leader(id).await,
            Err(_) => first_available(forwarded, self.poll_without_leader(id)).await,
        }
    }

    /// Responds to a cancellation. Only the leader can cancel a job.
    pub async fn cancel(&self, id: JobId) -> ApiResponse {
        if let Some(active_leader) = self.active_leader() {
            return active_leader.cancel(id).await;
        }
        if let Some(response) = self.final_response(id) {
            return response;
        }
        let request = PeerRequest::Cancel(id.to_string());
        match self.forward_to_leader(request, CANCEL_TIMEOUT).await {
            Some(response) if !response.is_unavailable() => {
                self.cache_final_state(&response);
                response
            }
            _ => self.cancel_without_leader(id).await,
        }
    }

    /// Responds to a poll with what the state service has stored. The look-up goes on if the
    /// user gives up, as what it reads makes the next one shorter.
    async fn poll_without_leader(self: &Arc<Self>, id: JobId) -> ApiResponse {
        let controller = self.clone();
        let lookup = tokio::spawn(async move {
            let lookup = controller.look_up_for_user(id).await?;
            Ok::<_, StoreError>(controller.status_response(&lookup).await)
        });
        match lookup.await {
            Ok(Ok(response)) => response,
            _ => ApiResponse::unavailable("the job's state can't be read now"),
        }
    }

    /// Responds to a cancellation from the state service. Only a job that is finished, is
    /// cancelled already or was never accepted needs no leader.
    async fn cancel_without_leader(&self, id: JobId) -> ApiResponse {
        let Ok(lookup) = self.look_up_for_user(id).await else {
            return ApiResponse::unavailable("no leader to cancel it now");
        };
        match self.stored_state(&lookup).await {
            Ok(state @ (None | Some(JobState::Cancelled | JobState::Done))) => {
                lookup.response_with_state(state)
            }
            _ => ApiResponse::unavailable("no leader to cancel it now"),
        }
    }

    /// The response with a job's final state, if it is cached.
    fn final_response(&self, id: JobId) -> Option<ApiResponse> {
        self.final_states()
            .status(id)
            .map(|status| ApiResponse::with_json(200, &status))
    }

    /// Caches the final state in the leader's response, if it contains one.
    fn cache_final_state(&self, response: &ApiResponse) {
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
            self.final_states().insert(status.id, record);
        }
    }
}

/// The response that is there first and is not a 503; a 503 if both are.
async fn first_available(
    one: impl Future<Output = ApiResponse>,
    other: impl Future<Output = ApiResponse>,
) -> ApiResponse {
    tokio::pin!(one, other);
    tokio::select! {
        response = &mut one => if response.is_unavailable() { other.await } else { response },
        response = &mut other => if response.is_unavailable() { one.await } else { response },
    }
}
