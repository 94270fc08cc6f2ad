//! The controller process: what it knows of the cluster's leader and of the other
//! controllers, and how a request finds whoever may respond to it.
//!
//! [`Controller`] owns the clients of the state service and of the cloud, the links to the
//! other controllers and what is known of their terms. It owns nothing of the cluster's
//! state: that belongs to the leader of the term, known here only as a
//! [`TermLeader`](term_leader::TermLeader). Every module that serves a request shares one
//! controller; its fields are private to this folder.
//!
//! - `role` is who leads, in which term; `peers` the other controllers.
//! - `user_requests` responds to users, with `direct_submission` where no leader can.
//! - [`submission`] checks what users submit, [`job_lookup`] reads what is stored of a job.
//! - [`terminal_states`] keeps the states of jobs that ended, `machine_types` the types.

mod direct_submission;
pub mod job_lookup;
mod machine_types;
mod peers;
mod role;
pub mod submission;
pub mod term_leader;
pub mod terminal_states;
mod user_requests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::{Mutex, MutexGuard};

use crate::cloud::Cloud;
use crate::core::SchedulerConfig;
use crate::http::HttpClient;
use crate::peer::PeerLink;
use crate::settings::{DeploymentSettings, OperatorSettings};
use crate::sockets::SocketBudget;
use crate::stall::StallDetector;
use crate::store::Store;
use crate::wire::MachineType;

use terminal_states::TerminalStates;

pub use role::Role;

/// One controller, for as long as its process runs.
#[derive(Debug)]
pub struct Controller {
    deployment: DeploymentSettings,
    operator_settings: OperatorSettings,
    config: Arc<SchedulerConfig>,
    /// Drawn at the start: distinguishes this process from earlier ones on the same host.
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
            .map(|peer| PeerLink::new(peer.host.clone(), peer.address, sockets.max_incoming()))
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

    /// Drawn at random by this process, which distinguishes it from earlier ones on this host.
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
}
