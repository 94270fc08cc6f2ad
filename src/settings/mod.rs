//! What the platform hands over (TOML) and what operators may set themselves
//! (Java-style properties). Every value is checked; errors name the field.

mod operator;
mod state_limits;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

use crate::sockets;
pub use operator::OperatorSettings;
pub use state_limits::{NextStateLimits, StateLimits};

/// A controller without work takes less; below it none can start.
const MIN_MEMORY_MB: f64 = 8.0;

/// Why the settings can't be used; one line, naming the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is not valid TOML, or a field has the wrong type.
    #[error("{file}: field `{field}`: {reason}")]
    Field {
        /// The file's path.
        file: String,
        /// Dotted path of the field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

fn seconds<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let s = f64::deserialize(d)?;
    Duration::try_from_secs_f64(s).map_err(|_| serde::de::Error::custom("not a duration in seconds"))
}

/// A whole number, even if it is written as 4000.0.
fn count<'de, D: Deserializer<'de>>(d: D) -> Result<usize, D::Error> {
    let n = f64::deserialize(d)?;
    if (0.0..=1e9).contains(&n) && n.fract() == 0.0 {
        Ok(n as usize)
    } else {
        Err(serde::de::Error::custom("not a whole number"))
    }
}

fn millis<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let ms = f64::deserialize(d)?;
    Duration::try_from_secs_f64(ms / 1e3)
        .map_err(|_| serde::de::Error::custom("not a duration in milliseconds"))
}

/// The settings file of the platform, in the scheduler's own terms.
#[derive(Debug, Clone, Deserialize)]
pub struct DeploymentSettings {
    /// This controller's name.
    #[serde(rename = "host_name")]
    pub host: String,
    /// The zone it stands in.
    #[serde(default)]
    pub zone: String,
    /// Address for users, workers and health checks.
    #[serde(rename = "api_addr")]
    pub api_address: SocketAddr,
    /// Address for the other controllers.
    #[serde(rename = "back")]
    pub peer_address: SocketAddr,
    /// The other controllers.
    #[serde(default, rename = "seeds")]
    pub peers: Vec<PeerAddress>,
    /// The outside services.
    pub services: ServiceAddresses,
    /// What is common to the cluster.
    #[serde(rename = "cluster")]
    pub cluster: ClusterSettings,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerAddress {
    /// Its name.
    #[serde(rename = "host_name")]
    pub host: String,
    /// Its address for controllers.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
}

/// Addresses of the services.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    /// The cloud's API.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// Cluster-wide parameters.
#[derive(Debug, Clone, Deserialize)]
pub struct ClusterSettings {
    /// Zones that machines may stand in.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound on the error of the time of day.
    #[serde(default, rename = "clock_error_ms", deserialize_with = "millis")]
    pub clock_error: Duration,
    /// The teams with guarantees and limits.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// What the users expect.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of workers.
    pub workers: WorkerTiming,
    /// Limits of the state service.
    #[serde(default)]
    pub state: StateLimits,
    /// Limits of the cloud.
    #[serde(default)]
    pub cloud: CloudLimits,
    /// Limits of the machine that this controller runs on.
    #[serde(default, rename = "machine_limits")]
    pub process_limits: ProcessLimits,
}

/// A team; 0 means none, for guarantees and for limits.
#[derive(Debug, Clone, Deserialize, Default)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default, rename = "cpus")]
    pub cpu_quota: f64,
    /// Most CPUs its tasks may use (0: no limit).
    #[serde(default, rename = "cpus_max")]
    pub cpu_limit: f64,
    /// Guaranteed accelerators.
    #[serde(default, rename = "gpus")]
    pub gpu_quota: f64,
    /// Most accelerators its tasks may use (0: no limit).
    #[serde(default, rename = "gpus_max")]
    pub gpu_limit: f64,
}

/// An aim on starting or finishing.
#[derive(Debug, Clone, Deserialize, Default)]
pub struct Objective {
    /// `deadline`, `wait`, `finished`, `guarantee`, ...
    pub kind: String,
    /// The class of jobs it is about, if any.
    #[serde(default)]
    pub class: Option<String>,
    /// Share that is to meet it.
    #[serde(default)]
    pub share: Option<f64>,
    /// Time within which it is met, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Timing of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// Interval of reports.
    #[serde(rename = "report_s", deserialize_with = "seconds")]
    pub heartbeat_interval: Duration,
    /// Life of a worker's lease.
    #[serde(rename = "lease_s", deserialize_with = "seconds")]
    pub lease: Duration,
    /// Within this time a cancelled job's tasks must be gone.
    #[serde(rename = "cancel_s", deserialize_with = "seconds")]
    pub cancel_within: Duration,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How far the machine list lags.
    #[serde(rename = "list_lag_s", deserialize_with = "seconds")]
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

/// Limits of a controller's machine.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Share of a core.
    pub core_share: f64,
    /// Memory.
    pub memory_mb: f64,
    /// Open sockets of the process.
    #[serde(rename = "fd_limit", deserialize_with = "count")]
    pub max_sockets: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            core_share: 1.0,
            memory_mb: 256.0,
            // What a process is customarily allowed.
            max_sockets: 1024,
        }
    }
}

impl DeploymentSettings {
    /// Reads and checks the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Unreadable(file.clone(), e))?;
        Self::parse(&text, &file)
    }

    /// Parses and checks; `file` is named in errors.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        let fail = |field: String, reason: String| SettingsError::Field {
            file: file.to_owned(),
            field,
            reason: reason.lines().next().unwrap_or_default().to_owned(),
        };
        let de = toml::Deserializer::parse(text).map_err(|e| fail("(file)".into(), e.message().into()))?;
        let got: DeploymentSettings = serde_path_to_error::deserialize(de).map_err(|e| {
            let field = e.path().to_string();
            fail(field, e.inner().message().into())
        })?;
        got.check().map_err(|(field, reason)| fail(field, reason))?;
        Ok(got)
    }

    fn check(&self) -> Result<(), (String, String)> {
        let bad = |f: &str, r: &str| Err((f.to_owned(), r.to_owned()));
        if self.host.is_empty() {
            return bad("host_name", "must not be empty");
        }
        for (i, p) in self.peers.iter().enumerate() {
            if p.host.is_empty() || p.host == self.host {
                return bad(&format!("seeds[{i}].host_name"), "must name another controller");
            }
        }
        let positive = |f: &str, v: f64| {
            if v.is_finite() && v > 0.0 {
                Ok(())
            } else {
                Err((f.to_owned(), "must be above 0".to_owned()))
            }
        };
        let p = &self.cluster;
        positive(
            "cluster.workers.report_s",
            p.workers.heartbeat_interval.as_secs_f64(),
        )?;
        positive("cluster.workers.lease_s", p.workers.lease.as_secs_f64())?;
        positive("cluster.workers.cancel_s", p.workers.cancel_within.as_secs_f64())?;
        if p.workers.cancel_within <= p.workers.lease {
            return bad("cluster.workers.cancel_s", "must be above lease_s");
        }
        positive("cluster.state.rps", p.state.rps)?;
        positive("cluster.state.write_rps", p.state.write_rps)?;
        positive("cluster.state.value_kb", p.state.value_kb)?;
        if p.state.txn_ops < 2 {
            return bad("cluster.state.txn_ops", "must be at least 2");
        }
        let next = &p.state.next;
        for (field, value) in [
            ("rps", next.rps),
            ("write_rps", next.write_rps),
            ("value_kb", next.value_kb),
        ] {
            if let Some(value) = value {
                positive(&format!("cluster.state.next.{field}"), value)?;
            }
        }
        if next.txn_ops.is_some_and(|ops| ops < 2) {
            return bad("cluster.state.next.txn_ops", "must be at least 2");
        }
        positive("cluster.cloud.rps", p.cloud.rps)?;
        positive("cluster.machine_limits.core_share", p.process_limits.core_share)?;
        if !p.process_limits.memory_mb.is_finite() || p.process_limits.memory_mb < MIN_MEMORY_MB {
            let least = format!("must be at least {MIN_MEMORY_MB}");
            return bad("cluster.machine_limits.memory_mb", &least);
        }
        if p.process_limits.max_sockets < sockets::MIN_SOCKETS {
            let least = format!("must be at least {}", sockets::MIN_SOCKETS);
            return bad("cluster.machine_limits.fd_limit", &least);
        }
        let mut seen = std::collections::HashSet::new();
        for (i, t) in p.teams.iter().enumerate() {
            if t.name.is_empty() || !seen.insert(&t.name) {
                return bad(&format!("cluster.teams[{i}].name"), "must be present once");
            }
            for (f, v) in [
                ("cpus", t.cpu_quota),
                ("cpus_max", t.cpu_limit),
                ("gpus", t.gpu_quota),
                ("gpus_max", t.gpu_limit),
            ] {
                if !v.is_finite() || v < 0.0 {
                    return bad(&format!("cluster.teams[{i}].{f}"), "must be 0 (none) or more");
                }
            }
        }
        for (i, o) in p.objectives.iter().enumerate() {
            if o.share.is_some_and(|s| !(0.0..=1.0).contains(&s)) {
                return bad(&format!("cluster.objectives[{i}].share"), "must lie in 0 to 1");
            }
            if o.times.is_some_and(|t| !t.is_finite() || t < 0.0) {
                return bad(&format!("cluster.objectives[{i}].times"), "must be 0 or more");
            }
            if o.within_s.is_some_and(|s| !s.is_finite() || s < 0.0) {
                return bad(&format!("cluster.objectives[{i}].within_s"), "must be 0 or more");
            }
        }
        Ok(())
    }
}
