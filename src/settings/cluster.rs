//! The `[cluster]` table of the settings file, which is the same for all controllers.

use std::time::Duration;

use serde::Deserialize;

use super::readers;
use super::StateLimits;

/// The `[cluster]` table of the settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct ClusterSettings {
    /// Names of the zones in which machines may be rented.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound on the error of a machine's wall clock (`clock_error_ms`, default 0).
    #[serde(default, rename = "clock_error_ms", deserialize_with = "readers::millis")]
    pub clock_error: Duration,
    /// The teams of users, with their quotas and limits.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The users' service-level objectives on their jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and bounds of the protocol with the workers.
    pub workers: WorkerTiming,
    /// Limits of the state service, for all controllers together.
    #[serde(default)]
    pub state: StateLimits,
    /// Limits of the cloud's API.
    #[serde(default)]
    pub cloud: CloudLimits,
    /// Limits of this controller's process (`machine_limits`).
    #[serde(default, rename = "machine_limits")]
    pub process_limits: ProcessLimits,
}

/// A team of users with its quotas and limits. 0, the default, means none.
#[derive(Debug, Clone, Deserialize, Default)]
pub struct Team {
    /// Its name, unique in the cluster.
    pub name: String,
    /// CPUs that the team is guaranteed.
    #[serde(default, rename = "cpus")]
    pub cpu_quota: f64,
    /// Most CPUs that the team's tasks may use at once (0: no limit).
    #[serde(default, rename = "cpus_max")]
    pub cpu_limit: f64,
    /// Accelerators that the team is guaranteed.
    #[serde(default, rename = "gpus")]
    pub gpu_quota: f64,
    /// Most accelerators that the team's tasks may use at once (0: no limit).
    #[serde(default, rename = "gpus_max")]
    pub gpu_limit: f64,
}

/// A service-level objective on when jobs start or finish.
#[derive(Debug, Clone, Deserialize, Default)]
pub struct Objective {
    /// Kind of objective: `deadline`, `wait`, `finished`, `guarantee` or another. Kinds
    /// that this version doesn't know are accepted and have no effect.
    pub kind: String,
    /// The job class that it applies to, if it is limited to one.
    #[serde(default)]
    pub class: Option<String>,
    /// Share of the jobs that should meet it, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// Time limit for a job to meet it, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Factor by which the job's deadline is multiplied.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Intervals and bounds of the protocol with the workers; all are above 0.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// Interval between two heartbeats of a worker.
    #[serde(rename = "report_s", deserialize_with = "readers::seconds")]
    pub heartbeat_interval: Duration,
    /// Lifetime of a worker's lease.
    #[serde(rename = "lease_s", deserialize_with = "readers::seconds")]
    pub lease: Duration,
    /// Time from a job's cancellation until all of its tasks must have ended; above the
    /// lease.
    #[serde(rename = "cancel_s", deserialize_with = "readers::seconds")]
    pub cancel_deadline: Duration,
}

/// Limits of the cloud: the rate of its API, and the lag of its machine list.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct CloudLimits {
    /// Most requests per second that the cloud accepts.
    pub rps: f64,
    /// How far the machine list may lag behind rentals and releases.
    #[serde(rename = "list_lag_s", deserialize_with = "readers::seconds")]
    pub list_lag: Duration,
}

impl Default for CloudLimits {
    fn default() -> Self {
        Self {
            rps: 1.0,
            list_lag: Duration::from_secs(15),
        }
    }
}

/// What a controller's process may use of its machine.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Processor time that it may use, as a share of one core.
    pub core_share: f64,
    /// Memory that it may use, in MB.
    pub memory_mb: f64,
    /// Sockets that it may have open at once (`fd_limit`).
    #[serde(rename = "fd_limit", deserialize_with = "readers::count")]
    pub max_sockets: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            core_share: 1.0,
            memory_mb: 256.0,
            // The usual limit on open files of a process.
            max_sockets: 1024,
        }
    }
}
