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
    pub report: Duration,
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
    pub tuning: crate::settings::OperatorSettings,
}

impl SchedulerConfig {
    /// Takes what it needs from the settings.
    pub fn new(p: &crate::settings::DeploymentSettings, tuning: crate::settings::OperatorSettings) -> Self {
        Self {
            teams: p
                .params
                .teams
                .iter()
                .map(|t| (t.name.clone(), t.clone()))
                .collect(),
            objectives: p.params.objectives.clone(),
            zones: p.params.zones.clone(),
            report: p.params.workers.report,
            lease: p.params.workers.lease,
            cancel: p.params.workers.cancel,
            silent: tuning.silent.unwrap_or_else(|| {
                // Two reports may be late or lost on the way to a node that
                // doesn't answer; and no healthy machine is silent for longer.
                let w = &p.params.workers;
                (w.report * 9 / 4).max(Duration::from_secs(9)).min(w.lease)
            }),
            list_lag: p.params.cloud.list_lag,
            log_pause: Duration::from_secs_f64(2.0 / p.params.state.write_rps),
            txn_ops: p.params.state.least_txn_ops(),
            value_bytes: p.params.state.value_bytes(),
            tuning,
        }
    }
}
