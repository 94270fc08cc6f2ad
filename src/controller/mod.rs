//! The controller process: what it knows about the leader and the other controllers, and
//! how it responds to a request itself or forwards it to the leader.
//!
//! [`Controller`] owns the clients of the state service and the cloud, the links to the
//! other controllers, and the role and the highest term that are known. It owns none of the
//! cluster's state: that belongs to the leader of the term, which it calls through the
//! trait [`TermLeader`](term_leader::TermLeader). All modules that serve requests share one
//! `Controller`; its fields are private to this folder.
//!
//! - `role` tracks which controller leads and the highest term, `peers` the connections to
//!   the other controllers.
//! - `user_requests` responds to users; without the leader, `leaderless_submission` stores
//!   new jobs.
//! - [`submission`] validates submissions, [`job_lookup`] reads stored jobs,
//!   `stored_dependencies` those that they depend on.
//! - [`final_states`] caches the final states of jobs, `machine_types` the machine
//!   types.

pub mod final_states;
pub mod job_lookup;
mod leaderless_submission;
mod machine_types;
mod peers;
mod role;
mod stored_dependencies;
pub mod submission;
pub mod term_leader;
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

use final_states::FinalStates;
use stored_dependencies::JobIndexCell;

pub use role::Role;

/// What a controller process keeps for as long as it runs.
#[derive(Debug)]
pub struct Controller {
    deployment: DeploymentSettings,
    operator_settings: OperatorSettings,
    config: Arc<SchedulerConfig>,
    /// Random; distinguishes this process from earlier ones on the same host.
    nonce: u64,
    store: Arc<Store>,
    cloud: Arc<Cloud>,
    sockets: SocketBudget,
    stall_detector: StallDetector,
    /// One link to each other controller.
    links: Vec<Arc<PeerLink>>,
    final_states: Mutex<FinalStates>,
    /// Replaced when it is too old to be brought up to date.
    job_index: Mutex<JobIndexCell>,
    /// Empty until they have been read.
    machine_types: Mutex<Arc<Vec<MachineType>>>,
    role: Mutex<Role>,
    /// The highest term that this controller knows.
    known_term: Mutex<u64>,
    /// When the latest frame of each other controller was received on its connection to
    /// this one.
    last_frame_from: Mutex<HashMap<String, Instant>>,
}

impl Controller {
    /// Creates a controller; its listeners, links and elections are started elsewhere.
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
            final_states: Mutex::default(),
            job_index: Mutex::default(),
            machine_types: Mutex::default(),
            role: Mutex::new(Role::Unknown),
            known_term: Mutex::new(0),
            last_frame_from: Mutex::default(),
            deployment,
            operator_settings,
        })
    }

    /// This controller's name (`host_name` in the settings file).
    pub fn host(&self) -> &str {
        &self.deployment.host
    }

    /// The settings of the settings file.
    pub fn deployment(&self) -> &DeploymentSettings {
        &self.deployment
    }

    /// The settings of the operators' properties file.
    pub fn operator_settings(&self) -> &OperatorSettings {
        &self.operator_settings
    }

    /// The values of both kinds of settings that the scheduler uses.
    pub fn config(&self) -> &Arc<SchedulerConfig> {
        &self.config
    }

    /// A random number that distinguishes this process from earlier ones on the same host.
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

    /// The budget of sockets of this process.
    pub fn sockets(&self) -> &SocketBudget {
        &self.sockets
    }

    /// The links to the other controllers, one each.
    pub fn links(&self) -> &[Arc<PeerLink>] {
        &self.links
    }

    /// Locks the cache of final states until the guard is dropped. A caller that also
    /// locks the model has to lock the model first.
    pub fn final_states(&self) -> MutexGuard<'_, FinalStates> {
        self.final_states.lock()
    }
}
