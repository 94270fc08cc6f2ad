//! The settings that the cluster model needs, computed once when a process starts.

use std::collections::HashMap;
use std::time::Duration;

use crate::settings::{DeploymentSettings, Objective, OperatorSettings, Team};

/// Lower bound of the default silence limit, however short the heartbeat interval is;
/// only a worker's lease that is shorter takes precedence.
const MIN_SILENCE_LIMIT: Duration = Duration::from_secs(9);

/// The settings that the model's rules read. They don't change while the process runs.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// Teams by name, with their quotas and limits.
    pub teams: HashMap<String, Team>,
    /// Service-level objectives for classes of jobs, such as a time to finish.
    pub objectives: Vec<Objective>,
    /// Zones in which machines may be rented.
    pub zones: Vec<String>,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// How long a worker keeps its tasks running after the last heartbeat that was
    /// answered.
    pub worker_lease: Duration,
    /// Time from the acceptance of a cancellation until all tasks of the job must have
    /// ended.
    pub cancel_deadline: Duration,
    /// A machine that sends no heartbeat for this long is released, so that its tasks
    /// can run elsewhere.
    pub silence_limit: Duration,
    /// How long the cloud's machine list may lag behind rentals and releases.
    pub machine_list_lag: Duration,
    /// Least time between two appends to the write-ahead log.
    pub min_log_append_interval: Duration,
    /// Most changes in a transaction of the state service: the smaller of the current
    /// limit and the announced one.
    pub max_transaction_changes: usize,
    /// Largest value of the state service in bytes, also the smaller of both limits.
    pub max_value_bytes: usize,
    /// Settings that operators may change without a new deployment.
    pub operator_settings: OperatorSettings,
}

impl SchedulerConfig {
    /// Takes what the model needs from the settings.
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
            cancel_deadline: workers.cancel_deadline,
            silence_limit: operator_settings
                .silence_limit
                .unwrap_or_else(|| default_silence_limit(workers.heartbeat_interval, workers.lease)),
            machine_list_lag: cluster.cloud.list_lag,
            min_log_append_interval: Duration::from_secs_f64(2.0 / cluster.state.write_rps),
            max_transaction_changes: cluster.state.max_transaction_changes(),
            max_value_bytes: cluster.state.max_value_bytes(),
            operator_settings,
        }
    }
}

/// Allows for two heartbeats that are late, or lost on the way to a controller that
/// doesn't answer; no healthy machine is silent for longer. Never exceeds the worker's
/// lease.
fn default_silence_limit(heartbeat_interval: Duration, worker_lease: Duration) -> Duration {
    (heartbeat_interval * 9 / 4)
        .max(MIN_SILENCE_LIMIT)
        .min(worker_lease)
}
