//! The other controllers: which of them are connected, what is forwarded to the leader
//! among them, and how their requests are handled.

use std::time::{Duration, Instant};

use crate::peer::{KnownLeader, PeerRequest, PeerRequestHandler};
use crate::response::ApiResponse;

use super::{Controller, Role};

/// A controller that has sent no frame for so long doesn't count as connected.
const MAX_SILENCE: Duration = Duration::from_millis(2500);
/// Timeout of the leader's response to a forwarded heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);

impl Controller {
    /// Whether the link to at least one other controller is alive.
    pub fn has_reachable_peer(&self) -> bool {
        self.links.iter().any(|link| link.is_alive())
    }

    /// Whether this controller can respond to users: it leads and may act, or it can reach
    /// another controller or the state service.
    pub fn can_respond_to_users(&self) -> bool {
        self.active_leader().is_some() || self.has_reachable_peer() || self.store.is_reachable()
    }

    /// The names of the controllers connected to this one, and its own, sorted.
    pub fn connected_hosts(&self) -> Vec<String> {
        let last_frame_from = self.last_frame_from.lock();
        let mut hosts: Vec<String> = last_frame_from
            .iter()
            .filter(|(_, last_frame_at)| last_frame_at.elapsed() < MAX_SILENCE)
            .map(|(host, _)| host.clone())
            .collect();
        hosts.push(self.host().to_owned());
        hosts.sort();
        hosts
    }

    /// Forwards a request to the leader. Returns `None` if no other controller is known to
    /// lead, if the one that is known doesn't lead any more, or if no response came within
    /// `response_timeout`.
    pub(super) async fn forward_to_leader(
        &self,
        request: PeerRequest,
        response_timeout: Duration,
    ) -> Option<ApiResponse> {
        let Role::Following { host, .. } = self.role() else {
            return None;
        };
        let link = self.links.iter().find(|link| link.host() == host)?;
        let response = link.request(request, response_timeout).await?;
        (!response.is_not_leading()).then_some(response)
    }

    /// Responds to a worker's heartbeat, or forwards it if another controller leads.
    pub async fn respond_to_heartbeat(&self, body: &[u8]) -> ApiResponse {
        self.check_for_stall();
        match self.role() {
            Role::Leading(active_leader) => active_leader.respond_to_heartbeat(body, self.host()),
            Role::Following { .. } => self
                .forward_to_leader(PeerRequest::Heartbeat(body.to_vec()), HEARTBEAT_TIMEOUT)
                .await
                .unwrap_or_else(|| ApiResponse::unavailable("no leader answers")),
            Role::Unknown => ApiResponse::unavailable("no leader known"),
        }
    }
}

impl PeerRequestHandler for Controller {
    fn host(&self) -> &str {
        Controller::host(self)
    }

    fn max_queued_responses(&self) -> usize {
        self.sockets.max_incoming()
    }

    fn known_term(&self) -> u64 {
        Controller::known_term(self)
    }

    fn known_leader(&self) -> Option<KnownLeader> {
        Controller::known_leader(self)
    }

    fn observe_term(&self, term: u64) {
        Controller::observe_term(self, term);
    }

    fn observe_leader(&self, leader: Option<KnownLeader>) {
        Controller::observe_leader(self, leader);
    }

    fn frame_received(&self, host: &str) {
        self.last_frame_from
            .lock()
            .insert(host.to_owned(), Instant::now());
    }

    fn peer_disconnected(&self, host: &str) {
        self.last_frame_from.lock().remove(host);
    }

    fn handle_heartbeat(&self, from: &str, body: &[u8]) -> ApiResponse {
        self.check_for_stall();
        match self.role() {
            Role::Leading(active_leader) => active_leader.respond_to_heartbeat(body, from),
            _ => ApiResponse::not_leading(),
        }
    }

    async fn handle_request(&self, from: &str, request: PeerRequest) -> ApiResponse {
        if let PeerRequest::Heartbeat(body) = request {
            return self.handle_heartbeat(from, &body);
        }
        let Some(active_leader) = self.active_leader() else {
            return ApiResponse::not_leading();
        };
        match request {
            PeerRequest::Submit(body) => active_leader.submit(&body).await,
            PeerRequest::Poll(id) => match id.parse() {
                Ok(id) => active_leader.poll_job(id).await,
                Err(_) => ApiResponse::error(404, "no such job"),
            },
            PeerRequest::Cancel(id) => match id.parse() {
                Ok(id) => active_leader.cancel(id).await,
                Err(_) => ApiResponse::error(404, "no such job"),
            },
            PeerRequest::Ping { .. } | PeerRequest::Heartbeat(_) => ApiResponse::not_leading(),
        }
    }
}
