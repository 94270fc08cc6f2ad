//! The trait through which the controller calls the leader of a term.

use std::sync::Arc;
use std::time::Instant;

use crate::controller::term_leader::{ResponseFuture, TermLeader};
use crate::response::ApiResponse;
use crate::wire::JobId;

use super::ActiveLeader;

impl TermLeader for ActiveLeader {
    fn term(&self) -> u64 {
        self.term
    }

    fn may_act(&self) -> bool {
        ActiveLeader::may_act(self)
    }

    fn end_term(&self) {
        ActiveLeader::end_term(self);
    }

    fn resumed_after_pause(&self, now: Instant) {
        ActiveLeader::resumed_after_pause(self, now);
    }

    fn respond_to_heartbeat(&self, body: &[u8], via: &str) -> ApiResponse {
        ActiveLeader::respond_to_heartbeat(self, body, via)
    }

    fn submit<'a>(self: Arc<Self>, body: &'a [u8]) -> ResponseFuture<'a> {
        Box::pin(async move { ActiveLeader::submit(&self, body).await })
    }

    fn poll_job(self: Arc<Self>, id: JobId) -> ResponseFuture<'static> {
        Box::pin(async move { ActiveLeader::poll_job(&self, id).await })
    }

    fn cancel(self: Arc<Self>, id: JobId) -> ResponseFuture<'static> {
        Box::pin(async move { ActiveLeader::cancel(&self, id).await })
    }
}
