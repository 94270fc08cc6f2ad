//! The interface through which a controller calls the leader of a term that it runs.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use crate::response::ApiResponse;
use crate::wire::JobId;

/// A boxed future of a response, as methods of a trait object can't be `async`.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = ApiResponse> + Send + 'a>>;

/// The leader of one term in this process. The controller passes it requests to respond to,
/// ends its term when a newer one exists, and notifies it when the process was paused.
pub trait TermLeader: Debug + Send + Sync {
    /// The term for which it was elected.
    fn term(&self) -> u64;

    /// Whether it may act as the leader now: the stored state is loaded, the term has not
    /// ended, and the leader's lease can't have expired.
    fn may_act(&self) -> bool;

    /// Ends the term in this process. May be called more than once.
    fn end_term(&self);

    /// Records that the process was paused until `now`. Heartbeats missed before then are no
    /// evidence that a worker failed.
    fn resumed_after_pause(&self, now: Instant);

    /// Responds to a worker's heartbeat that the controller `via` received.
    fn respond_to_heartbeat(&self, body: &[u8], via: &str) -> ApiResponse;

    /// Responds to a user's submission: its JSON body.
    fn submit<'a>(self: Arc<Self>, body: &'a [u8]) -> ResponseFuture<'a>;

    /// Responds to a user's poll of a job.
    fn poll_job(self: Arc<Self>, id: JobId) -> ResponseFuture<'static>;

    /// Responds to a user's cancellation of a job.
    fn cancel(self: Arc<Self>, id: JobId) -> ResponseFuture<'static>;
}
