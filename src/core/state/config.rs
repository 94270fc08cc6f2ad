//! The settings that the cluster model needs, computed once when a process starts.

use std::collections::HashMap;
use std::time::Duration;

use crate::settings::{DeploymentSettings, Objective, OperatorSettings, Team};

/// Least silence limit, however short the interval of heartbeats.
const MIN_SILENCE_LIMIT: Duration = Duration::from_secs(9);

/// The part of the settings that the model's rules read. It never changes.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// Teams by name, with their quotas and limits.
    pub teams: HashMap<String, Team>,
    /// The users' objectives: by when jobs of a kind should be done.
    pub objectives: Vec<Objective>,
    /// Zones in which machines may be rented.
    pub zones: Vec<String>,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// How long a worker runs its tasks on after the last answered heartbeat.
    pub worker_lease: Duration,
    /// Within this time of its acceptance, a cancellation must have stopped all tasks.
    pub cancel_deadline: Duration,
    /// A machine without a heartbeat for so long is released, so that its tasks can
    /// run elsewhere.
    pub silence_limit: Duration,
    /// How far the cloud's machine list may lag behind rentals and releases.
    pub machine_list_lag: Duration,
    /// Least time between two appends to the write-ahead log.
    pub min_log_append_interval: Duration,
    /// Most changes in a transaction of the state service: the smaller of the limit in
    /// force and the one that is announced.
    pub max_transaction_changes: usize,
    /// Largest value of the state service in bytes, likewise the smaller limit.
    pub max_value_bytes: usize,
    /// What operators may tune without a new deployment.
    pub operator_settings: OperatorSettings,
}

impl SchedulerConfig {
    /// Takes what it needs from the settings.
    pub fn new(deployment: &DeploymentSettings, operator_settings: OperatorSettings) -> Self {
        let cluster = &deployment.cluster;
        let workers = &cluster.workers;
        Self {
            teams: cluster
                .teams
                .iter()
                .map(|team| (team.name.clone(), team.clone()))
                .collect(),
            objectives: cluster.objectives.clone(),
            zones: cluster.zones.clone(),
            heartbeat_interval: workers.heartbeat_interval,
            worker_lease: workers.lease,
            cancel_deadline: workers.cancel_within,
            silence_limit: operator_settings
                .silence_timeout
                .unwrap_or_else(|| default_silence_limit(workers.heartbeat_interval, workers.lease)),
            machine_list_lag: cluster.cloud.list_lag,
            min_log_append_interval: Duration::from_secs_f64(2.0 / cluster.state.write_rps),
            max_transaction_changes: cluster.state.min_txn_ops(),
            max_value_bytes: cluster.state.value_bytes(),
            operator_settings,
        }
    }
}

/// Two heartbeats may be late or lost on the way to a node that doesn't answer; and
/// no healthy machine is silent for longer.
fn default_silence_limit(heartbeat_interval: Duration, worker_lease: Duration) -> Duration {
    (heartbeat_interval * 9 / 4)
        .max(MIN_SILENCE_LIMIT)
        .min(worker_lease)
}
