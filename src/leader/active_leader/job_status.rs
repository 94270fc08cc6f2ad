//! Polls of jobs: answered from memory if that can't be outdated, else as stored.

use crate::controller::job_lookup::StoredJob;
use crate::response::ApiResponse;
use crate::wire::JobId;

use super::ActiveLeader;

impl ActiveLeader {
    /// Responds to a user's poll: from memory, or as the job is stored.
    pub async fn poll_job(&self, id: JobId) -> ApiResponse {
        if let Some(status) = self.confirmed_status(id).await {
            return status;
        }
        self.stored_status_or(id, ApiResponse::error(404, "no such job"))
            .await
    }

    /// The response about a job from memory; 503 if this controller may not act now.
    /// `None` if the job is not in memory, or if its final state or a cancellation may be
    /// stored without this controller knowing.
    pub(super) fn status_in_memory(&self, id: JobId) -> Option<ApiResponse> {
        if !self.may_act() {
            return Some(ApiResponse::unavailable("leadership is in doubt"));
        }
        let unfinished = self.model.lock().status(id);
        let status = unfinished.or_else(|| self.controller.final_states().status(id))?;
        Some(ApiResponse::with_json(200, &status))
    }

    /// The response about a job from memory, after a check that no other leader can have
    /// confirmed a newer status to a user. Final states need no check: they never change.
    pub(super) async fn confirmed_status(&self, id: JobId) -> Option<ApiResponse> {
        if let Some(status) = self.controller.final_states().status(id) {
            return Some(ApiResponse::with_json(200, &status));
        }
        let response = self.status_in_memory(id)?;
        if response.status == 200 && !self.confirm_leadership().await {
            return Some(ApiResponse::unavailable("leadership can't be confirmed now"));
        }
        Some(response)
    }

    /// The response about a job as it is stored, or `if_never_accepted`. An unfinished
    /// job that was unknown here is added to the model.
    pub(super) async fn stored_status_or(&self, id: JobId, if_never_accepted: ApiResponse) -> ApiResponse {
        let Ok(lookup) = self.controller.look_up_for_user(id).await else {
            return ApiResponse::unavailable("the job's state can't be read now");
        };
        if matches!(lookup.job, StoredJob::NeverAccepted) {
            return if_never_accepted;
        }
        let response = self.controller.status_response(&lookup).await;
        if let StoredJob::Unfinished(record, version) = lookup.job {
            self.add_stored_job(*record, version);
        }
        response
    }
}
