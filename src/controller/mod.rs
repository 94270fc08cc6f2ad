//! One controller: what it knows of the others, and how a request of a user
//! or a worker finds the one who may answer it.

pub mod job_lookup;
pub mod term_leader;
mod users;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Mutex, MutexGuard};
use tracing::info;

use crate::cloud::Cloud;
use crate::controller::job_lookup::TerminalStates;
use crate::controller::term_leader::TermLeader;
use crate::core::SchedulerConfig;
use crate::http::HttpClient;
use crate::peer::{KnownLeader, PeerLink, PeerRequest, PeerRequestHandler};
use crate::response::ApiResponse;
use crate::settings::{DeploymentSettings, OperatorSettings};
use crate::sockets::SocketBudget;
use crate::stall::StallDetector;
use crate::store::Store;
use crate::wire::MachineType;

/// A controller whose link was quiet so long isn't counted as connected.
const PEER_QUIET: Duration = Duration::from_millis(2500);

pub use users::accepted;

/// Who leads, as far as is known here.
#[derive(Debug, Clone)]
pub enum Role {
    /// Not known.
    Unknown,
    /// Another.
    Following {
        /// Its name.
        host: String,
        /// Its term.
        term: u64,
    },
    /// This one.
    Leading(Arc<dyn TermLeader>),
}

/// A controller.
#[derive(Debug)]
pub struct Controller {
    deployment: DeploymentSettings,
    operator_settings: OperatorSettings,
    config: Arc<SchedulerConfig>,
    /// Drawn at the start: tells this process from earlier ones on the same host.
    nonce: u64,
    store: Arc<Store>,
    cloud: Arc<Cloud>,
    sockets: SocketBudget,
    stall_detector: StallDetector,
    /// One link to each other controller.
    links: Vec<Arc<PeerLink>>,
    terminal_states: Mutex<TerminalStates>,
    /// Empty until they are known.
    machine_types: Mutex<Arc<Vec<MachineType>>>,
    role: Mutex<Role>,
    /// The highest term known.
    term: Mutex<u64>,
    /// When each other controller last sent a frame on its link to this one.
    peers: Mutex<HashMap<String, Instant>>,
}

impl Controller {
    /// A controller that is not running yet.
    pub fn new(deployment: DeploymentSettings, operator_settings: OperatorSettings) -> Arc<Self> {
        let limits = deployment.cluster.state.clone();
        let http = HttpClient::default();
        let store = Store::new(http.clone(), deployment.services.state.to_string(), &limits);
        let cloud = Cloud::new(
            http,
            deployment.services.cloud.to_string(),
            deployment.cluster.cloud.rps,
        );
        let sockets = SocketBudget::new(deployment.cluster.process_limits.max_sockets);
        let links = deployment
            .peers
            .iter()
            .map(|p| PeerLink::new(p.host.clone(), p.address, sockets.max_incoming()))
            .collect();
        Arc::new(Self {
            config: Arc::new(SchedulerConfig::new(&deployment, operator_settings.clone())),
            nonce: rand::random(),
            sockets,
            stall_detector: StallDetector::new(Instant::now()),
            store: Arc::new(store),
            cloud: Arc::new(cloud),
            links,
            terminal_states: Mutex::default(),
            machine_types: Mutex::default(),
            role: Mutex::new(Role::Unknown),
            term: Mutex::new(0),
            peers: Mutex::default(),
            deployment,
            operator_settings,
        })
    }

    /// This controller's name.
    pub fn host(&self) -> &str {
        &self.deployment.host
    }

    /// The deployment's settings.
    pub fn deployment(&self) -> &DeploymentSettings {
        &self.deployment
    }

    /// The operators' settings.
    pub fn operator_settings(&self) -> &OperatorSettings {
        &self.operator_settings
    }

    /// What the scheduler needs of both settings.
    pub fn config(&self) -> &Arc<SchedulerConfig> {
        &self.config
    }

    /// Drawn at random by this process, which tells it from earlier ones on this host.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// The client of the state service.
    pub fn store(&self) -> &Arc<Store> {
        &self.store
    }

    /// The client of the cloud.
    pub fn cloud(&self) -> &Arc<Cloud> {
        &self.cloud
    }

    /// The sockets of this process, shared out by use.
    pub fn sockets(&self) -> &SocketBudget {
        &self.sockets
    }

    /// The links to the other controllers, one each.
    pub fn links(&self) -> &[Arc<PeerLink>] {
        &self.links
    }

    /// The terminal states kept here, locked until the guard is dropped. A caller that
    /// also locks the model does so first.
    pub fn terminal_states(&self) -> MutexGuard<'_, TerminalStates> {
        self.terminal_states.lock()
    }

    /// The machine types that may be rented; empty until they are known.
    pub fn machine_types(&self) -> Arc<Vec<MachineType>> {
        self.machine_types.lock().clone()
    }

    /// Replaces the machine types.
    pub fn set_machine_types(&self, types: Arc<Vec<MachineType>>) {
        *self.machine_types.lock() = types;
    }

    /// Whether a request could be sent to any other controller now.
    pub fn any_peer_reachable(&self) -> bool {
        self.links.iter().any(|link| link.is_alive())
    }

    /// Who leads, as far as is known.
    pub fn role(&self) -> Role {
        self.role.lock().clone()
    }

    /// Notes who leads.
    pub fn set_role(&self, role: Role) {
        *self.role.lock() = role;
    }

    /// The highest term known.
    pub fn known_term(&self) -> u64 {
        *self.term.lock()
    }

    /// Notes a term. A leader of an older one steps down.
    pub fn observe_term(&self, term: u64) {
        {
            let mut known = self.term.lock();
            if term <= *known {
                return;
            }
            *known = term;
        }
        let role = self.role();
        if let Role::Leading(active_leader) = role {
            if active_leader.term() < term {
                info!(
                    term = active_leader.term(),
                    newer = term,
                    "another leads in a newer term"
                );
                active_leader.end();
            }
        }
    }

    /// The timer that the stall detector watches has fired.
    pub fn stall_timer_fired(&self, now: Instant) {
        self.stall_detector.timer_fired(now);
    }

    /// Notices that the process has stood still. Asked wherever something is
    /// about to follow from what was heard, or not heard, of late.
    pub fn check_for_stall(&self) {
        let now = Instant::now();
        let Some(still) = self.stall_detector.take_stall(now) else {
            return;
        };
        info!(for_s = still.as_secs_f64(), "this process stood still");
        if let Role::Leading(active_leader) = self.role() {
            active_leader.resumed_after_pause(now);
        }
    }

    /// The latest leader known here, and its term.
    pub fn known_leader(&self) -> Option<KnownLeader> {
        match self.role() {
            Role::Unknown => None,
            Role::Following { host, term } => Some(KnownLeader { term, host }),
            Role::Leading(active_leader) => Some(KnownLeader {
                term: active_leader.term(),
                host: self.host().to_owned(),
            }),
        }
    }

    /// Another controller tells who leads. One that can't read the state
    /// service itself still finds the leader so.
    pub fn observe_leader(&self, leader: Option<KnownLeader>) {
        let Some(KnownLeader { term, host }) = leader.filter(|leader| leader.host != self.host()) else {
            return;
        };
        let mut role = self.role.lock();
        let newer = match &*role {
            Role::Unknown => true,
            Role::Following { term: known, .. } => term > *known,
            Role::Leading(_) => false,
        };
        if newer && term >= self.known_term() {
            info!(leader = host, term, "following, by another's word");
            *role = Role::Following { host, term };
        }
    }

    /// Whether this controller can be of use to a user: it leads, or another
    /// can be asked, or the state service can.
    pub fn can_serve(&self) -> bool {
        self.active_leader().is_some() || self.any_peer_reachable() || self.store.is_reachable()
    }

    /// The leader of the current term, if this one leads and may act now.
    fn active_leader(&self) -> Option<Arc<dyn TermLeader>> {
        match self.role() {
            Role::Leading(r) if r.may_act() => Some(r),
            _ => None,
        }
    }

    /// Controllers connected to this one, itself included.
    pub fn connected(&self) -> Vec<String> {
        let peers = self.peers.lock();
        let mut all: Vec<String> = peers
            .iter()
            .filter(|(_, t)| t.elapsed() < PEER_QUIET)
            .map(|(h, _)| h.clone())
            .collect();
        all.push(self.host().to_owned());
        all.sort();
        all
    }

    async fn forward_to_leader(&self, request: PeerRequest, patience: Duration) -> Option<ApiResponse> {
        let Role::Following { host, .. } = self.role() else {
            return None;
        };
        let link = self.links.iter().find(|link| link.host() == host)?;
        link.request(request, patience).await.filter(|r| r.status != 0)
    }

    /// A worker's report, relayed to the leader if that is another.
    pub async fn heartbeat(&self, body: &[u8]) -> ApiResponse {
        self.check_for_stall();
        match self.role() {
            Role::Leading(active_leader) => active_leader.heartbeat(body, self.host()),
            Role::Following { .. } => self
                .forward_to_leader(PeerRequest::Heartbeat(body.to_vec()), Duration::from_millis(2500))
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

    fn max_pending_responses(&self) -> usize {
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

    fn peer_alive(&self, host: &str) {
        self.peers.lock().insert(host.to_owned(), Instant::now());
    }

    fn peer_disconnected(&self, host: &str) {
        self.peers.lock().remove(host);
    }

    fn handle_heartbeat(&self, from: &str, body: &[u8]) -> ApiResponse {
        self.check_for_stall();
        match self.role() {
            Role::Leading(active_leader) => active_leader.heartbeat(body, from),
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
                Ok(id) => active_leader.poll(id).await,
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
