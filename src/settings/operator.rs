//! Operators' own settings, in addition to the file that the platform hands over: a file of
//! Java-style properties, in which every key is optional.

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use super::error::{FieldError, InvalidValue, SettingsError};

/// Operators' own settings. The defaults suit any deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// `leader.lease_ms` (earlier: `leader.hold_ms`), 500 to 60,000: lifetime of the
    /// leader's lease at the state service.
    pub leader_lease: Duration,
    /// `plan.pause_ms`, 1 to 5,000: shortest pause between two scheduling rounds.
    pub min_round_pause: Duration,
    /// `fleet.idle_s`, 0 to 86,400: longest time that an idle machine is kept if it isn't
    /// needed as warm capacity. Machines with a higher price per CPU are released sooner.
    pub idle_timeout: Duration,
    /// `fleet.silent_s`, 1 to 600: a machine that has sent no heartbeat for this long is
    /// released, so that its tasks can run elsewhere. If unset, it is derived from the
    /// heartbeat interval and the worker lease.
    pub silence_limit: Option<Duration>,
    /// `fleet.most`, 1 to 100,000: most machines rented at once.
    pub max_machines: usize,
    /// `fleet.warm`, 0 to 10: warm capacity (free CPUs for tasks to come), as a share of
    /// the CPUs in use; half of it in a large fleet.
    pub warm_share: f64,
    /// `users.forward_ms`, 10 to 5,000: how long a follower waits for the leader's
    /// response to a submission or a poll before it turns to the state service.
    pub forward_timeout: Duration,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            leader_lease: Duration::from_millis(2000),
            min_round_pause: Duration::from_millis(50),
            idle_timeout: Duration::from_secs(90),
            silence_limit: None,
            max_machines: 10_000,
            warm_share: 0.15,
            forward_timeout: Duration::from_millis(200),
        }
    }
}

impl OperatorSettings {
    /// Reads a properties file and checks it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read(path) {
            Ok(text) => Self::parse(&text, &file),
            Err(source) => Err(SettingsError::Unreadable { file, source }),
        }
    }

    /// Parses and checks `text`; errors name `file` as its source. An unknown key is an
    /// error, since it is most likely misspelt.
    pub fn parse(text: &[u8], file: &str) -> Result<Self, SettingsError> {
        let properties: HashMap<String, String> = java_properties::read(text)
            .map_err(|e| FieldError::new("(file)", InvalidValue::Malformed(e.to_string())).in_file(file))?;
        let mut settings = Self::default();
        for (key, value) in &properties {
            settings
                .set(key, value)
                .map_err(|reason| FieldError::new(key, reason).in_file(file))?;
        }
        Ok(settings)
    }

    /// Sets the property with this key, if its value is a number in the allowed range.
    fn set(&mut self, key: &str, value: &str) -> Result<(), InvalidValue> {
        match key {
            "leader.lease_ms" | "leader.hold_ms" => self.leader_lease = parse_millis(value, 500.0, 60_000.0)?,
            "plan.pause_ms" => self.min_round_pause = parse_millis(value, 1.0, 5_000.0)?,
            "fleet.idle_s" => self.idle_timeout = parse_seconds(value, 0.0, 86_400.0)?,
            "fleet.silent_s" => self.silence_limit = Some(parse_seconds(value, 1.0, 600.0)?),
            "fleet.most" => self.max_machines = parse_number(value, 1.0, 100_000.0)? as usize,
            "fleet.warm" => self.warm_share = parse_number(value, 0.0, 10.0)?,
            "users.forward_ms" => self.forward_timeout = parse_millis(value, 10.0, 5_000.0)?,
            _ => return Err(InvalidValue::UnknownKey),
        }
        Ok(())
    }
}

fn parse_number(value: &str, min: f64, max: f64) -> Result<f64, InvalidValue> {
    value
        .trim()
        .parse::<f64>()
        .ok()
        .filter(|number| (min..=max).contains(number))
        .ok_or(InvalidValue::NotInRange { min, max })
}

fn parse_seconds(value: &str, min: f64, max: f64) -> Result<Duration, InvalidValue> {
    parse_number(value, min, max).map(Duration::from_secs_f64)
}

fn parse_millis(value: &str, min: f64, max: f64) -> Result<Duration, InvalidValue> {
    parse_number(value, min, max).map(|millis| Duration::from_secs_f64(millis / 1e3))
}
