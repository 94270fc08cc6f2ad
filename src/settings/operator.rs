//! What operators may set themselves, beyond the file that the platform hands over.

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use super::SettingsError;

/// Operators' own settings, with defaults that suit any deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// `leader.lease_ms` (earlier: `leader.hold_ms`): life of the leader's lease at
    /// the state service.
    pub leader_lease: Duration,
    /// `plan.pause_ms`: least time between two planning rounds.
    pub plan_pause: Duration,
    /// `fleet.idle_s`: an idle machine beyond the warm room is returned after this.
    pub idle_timeout: Duration,
    /// `fleet.silent_s`: a machine silent this long is released for its tasks' sake.
    /// Unset: derived from the workers' report interval.
    pub silence_timeout: Option<Duration>,
    /// `fleet.most`: most machines rented at once.
    pub max_machines: usize,
    /// `fleet.warm`: free room kept, as a share of the CPUs in use; half of it in a large fleet.
    pub warm_share: f64,
    /// `users.forward_ms`: how long a follower waits for the leader's answer.
    pub forward_timeout: Duration,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            leader_lease: Duration::from_millis(2000),
            plan_pause: Duration::from_millis(50),
            idle_timeout: Duration::from_secs(90),
            silence_timeout: None,
            max_machines: 10_000,
            warm_share: 0.15,
            forward_timeout: Duration::from_millis(200),
        }
    }
}

impl OperatorSettings {
    /// Reads and checks a properties file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read(path).map_err(|e| SettingsError::Unreadable(file.clone(), e))?;
        Self::parse(&text, &file)
    }

    /// Parses and checks; an unknown key is an error, as it is surely a slip.
    pub fn parse(text: &[u8], file: &str) -> Result<Self, SettingsError> {
        let fail = |field: &str, reason: String| SettingsError::Field {
            file: file.to_owned(),
            field: field.to_owned(),
            reason,
        };
        let map: HashMap<String, String> =
            java_properties::read(text).map_err(|e| fail("(file)", e.to_string()))?;
        let mut t = Self::default();
        for (key, value) in &map {
            let number = |lo: f64, hi: f64| {
                value
                    .trim()
                    .parse::<f64>()
                    .ok()
                    .filter(|v| (lo..=hi).contains(v))
                    .ok_or_else(|| fail(key, format!("must be a number from {lo} to {hi}")))
            };
            match key.as_str() {
                "leader.lease_ms" | "leader.hold_ms" => {
                    t.leader_lease = Duration::from_secs_f64(number(500.0, 60_000.0)? / 1e3)
                }
                "plan.pause_ms" => t.plan_pause = Duration::from_secs_f64(number(1.0, 5_000.0)? / 1e3),
                "fleet.idle_s" => t.idle_timeout = Duration::from_secs_f64(number(0.0, 86_400.0)?),
                "fleet.silent_s" => t.silence_timeout = Some(Duration::from_secs_f64(number(1.0, 600.0)?)),
                "fleet.most" => t.max_machines = number(1.0, 100_000.0)? as usize,
                "fleet.warm" => t.warm_share = number(0.0, 10.0)?,
                "users.forward_ms" => {
                    t.forward_timeout = Duration::from_secs_f64(number(10.0, 5_000.0)? / 1e3)
                }
                _ => return Err(fail(key, "is not a known key".into())),
            }
        }
        Ok(t)
    }
}
