//! What a controller does with the messages of the others.

use std::future::Future;

use crate::response::ApiResponse;

use super::frame::{KnownLeader, PeerRequest};

/// Handles what other controllers send. All methods but
/// [`handle_request`](Self::handle_request) return without waiting for any I/O.
pub trait PeerRequestHandler: Send + Sync + 'static {
    /// This controller's name.
    fn host(&self) -> &str;

    /// Most responses that wait to be sent on one link; further ones are dropped.
    fn max_pending_responses(&self) -> usize;

    /// The highest term known here.
    fn known_term(&self) -> u64;

    /// The latest leader known here.
    fn known_leader(&self) -> Option<KnownLeader>;

    /// Another controller knows of this term.
    fn observe_term(&self, term: u64);

    /// Another controller knows of this leader, or of none.
    fn observe_leader(&self, leader: Option<KnownLeader>);

    /// A frame came from this controller.
    fn peer_alive(&self, host: &str);

    /// The link from this controller ended.
    fn peer_disconnected(&self, host: &str);

    /// Responds to a worker's heartbeat that the controller `from` passes on.
    fn handle_heartbeat(&self, from: &str, body: &[u8]) -> ApiResponse;

    /// Responds to a request of the controller `from`.
    fn handle_request(&self, from: &str, request: PeerRequest) -> impl Future<Output = ApiResponse> + Send;
}
