//! The interface through which the peer protocol calls the controller.

use std::future::Future;

use crate::response::ApiResponse;

use super::frame::{KnownLeader, PeerRequest};

/// Handles what other controllers send. All methods except
/// [`handle_request`](Self::handle_request) return without waiting for I/O.
pub trait PeerRequestHandler: Send + Sync + 'static {
    /// This controller's name, sent in the hello.
    fn host(&self) -> &str;

    /// Maximum number of responses that wait to be sent on one connection; further ones are
    /// dropped.
    fn max_queued_responses(&self) -> usize;

    /// The highest term known to this controller.
    fn known_term(&self) -> u64;

    /// The latest leader known to this controller.
    fn known_leader(&self) -> Option<KnownLeader>;

    /// Records the highest term that another controller knows.
    fn observe_term(&self, term: u64);

    /// Records the latest leader that another controller knows; `None`: it knows none.
    fn observe_leader(&self, leader: Option<KnownLeader>);

    /// Records that a frame was received on a connection opened by the controller `host`.
    fn frame_received(&self, host: &str);

    /// Records that a connection opened by the controller `host` has ended.
    fn peer_disconnected(&self, host: &str);

    /// Responds to a worker's heartbeat that the controller `from` forwarded.
    fn handle_heartbeat(&self, from: &str, body: &[u8]) -> ApiResponse;

    /// Responds to a request of the controller `from`.
    fn handle_request(&self, from: &str, request: PeerRequest) -> impl Future<Output = ApiResponse> + Send;
}
