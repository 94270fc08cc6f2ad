//! What the cluster model is told once, from the settings.

use std::collections::HashMap;
use std::time::Duration;

use crate::settings::{Objective, Team};

/// What the model is told once.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// Teams by name.
    pub teams: HashMap<String, Team>,
    /// The users' aims.
    pub objectives: Vec<Objective>,
    /// Zones of the cluster.
    pub zones: Vec<String>,
    /// Interval of reports.
    pub heartbeat_interval: Duration,
    /// Life of a worker's lease.
    pub lease: Duration,
    /// Time for a cancellation.
    pub cancel: Duration,
    /// A machine silent for so long is released for its tasks' sake.
    pub silent: Duration,
    /// Lag of the machine list.
    pub list_lag: Duration,
    /// Least time between two appends to the log.
    pub log_pause: Duration,
    /// Most changes in a transaction, now and by the limits that are announced.
    pub txn_ops: usize,
    /// Largest value of the state service in bytes, likewise.
    pub value_bytes: usize,
    /// Operators' settings.
    pub operator_settings: crate::settings::OperatorSettings,
}

impl SchedulerConfig {
    /// Takes what it needs from the settings.
    pub fn new(
        p: &crate::settings::DeploymentSettings,
        operator_settings: crate::settings::OperatorSettings,
    ) -> Self {
        Self {
            teams: p
                .cluster
                .teams
                .iter()
                .map(|t| (t.name.clone(), t.clone()))
                .collect(),
            objectives: p.cluster.objectives.clone(),
            zones: p.cluster.zones.clone(),
            heartbeat_interval: p.cluster.workers.heartbeat_interval,
            lease: p.cluster.workers.lease,
            cancel: p.cluster.workers.cancel_within,
            silent: operator_settings.silence_timeout.unwrap_or_else(|| {
                // Two reports may be late or lost on the way to a node that
                // doesn't answer; and no healthy machine is silent for longer.
                let w = &p.cluster.workers;
                (w.heartbeat_interval * 9 / 4)
                    .max(Duration::from_secs(9))
                    .min(w.lease)
            }),
            list_lag: p.cluster.cloud.list_lag,
            log_pause: Duration::from_secs_f64(2.0 / p.cluster.state.write_rps),
            txn_ops: p.cluster.state.min_txn_ops(),
            value_bytes: p.cluster.state.value_bytes(),
            operator_settings,
        }
    }
}
