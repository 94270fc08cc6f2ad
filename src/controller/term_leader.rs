//! The leader of one term, as the controller that runs it sees it.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use crate::response::ApiResponse;
use crate::wire::JobId;

/// A response that is being computed.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = ApiResponse> + Send + 'a>>;

/// The leader of one term in this process. The controller hands it the requests that
/// only a leader may answer, and notifies it of what ends its term or casts doubt on it.
pub trait TermLeader: Debug + Send + Sync {
    /// The term that it was elected for.
    fn term(&self) -> u64;

    /// Whether it may act as the leader now: its state is loaded, its term has not
    /// ended, and its lease surely lasts.
    fn may_act(&self) -> bool;

    /// Ends the term in this process. May be called more than once.
    fn end(&self);

    /// The process was paused until `now`: missed heartbeats before then prove nothing.
    fn resumed_after_pause(&self, now: Instant);

    /// Responds to a worker's heartbeat that reached the controller `via`.
    fn heartbeat(&self, body: &[u8], via: &str) -> ApiResponse;

    /// Responds to a submission.
    fn submit<'a>(self: Arc<Self>, body: &'a [u8]) -> ResponseFuture<'a>;

    /// Responds to a poll of a job.
    fn poll(self: Arc<Self>, id: JobId) -> ResponseFuture<'static>;

    /// Responds to a cancellation.
    fn cancel(self: Arc<Self>, id: JobId) -> ResponseFuture<'static>;
}
