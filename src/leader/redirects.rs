//! History of redirects: which controllers workers were redirected to, and which
//! ones they left or failed to reach.
//!
//! Each worker sends its heartbeats to one controller, which the leader chooses.
//! A redirect renews no lease, and a worker that is sent to a controller it can't
//! reach loses seconds before it tries another. So a worker is redirected only if
//! its previous heartbeat was answered through the same controller, and, if there is
//! another choice, not to a controller that it has recently left or failed to reach.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::wire::MachineId;

/// How long a worker is not redirected to a controller that it left or couldn't
/// reach.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(30);
/// If the next heartbeat after a redirect comes within this time and not through
/// the target, the worker is taken to have failed to reach the target.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(15);

/// The latest redirect of a worker that has sent no heartbeat since.
#[derive(Debug)]
struct PendingRedirect {
    target: String,
    sent_at: Instant,
}

/// The controllers that each worker has used, was redirected to, and left or
/// couldn't reach. Kept in memory only: a new leader starts with an empty history.
#[derive(Debug, Default)]
pub struct RedirectHistory {
    /// The controller that each worker's latest heartbeat came through.
    last_controller: HashMap<MachineId, String>,
    pending: HashMap<MachineId, PendingRedirect>,
    /// Controllers that a worker left or couldn't reach, and when.
    avoided: HashMap<MachineId, HashMap<String, Instant>>,
}

impl RedirectHistory {
    /// Records a heartbeat that came through the controller `via`. Returns whether
    /// the worker may be redirected now: its previous heartbeat came through the
    /// same controller, and no redirect was sent in response to it.
    pub fn record_heartbeat(&mut self, machine: &MachineId, via: &str, now: Instant) -> bool {
        let previous = self.last_controller.insert(machine.clone(), via.to_owned());
        if let Some(redirect) = self.pending.remove(machine) {
            let age = now.saturating_duration_since(redirect.sent_at);
            if redirect.target != via && age < FOLLOW_TIMEOUT {
                self.avoid(machine, redirect.target, now);
            }
            return false;
        }
        match previous {
            Some(host) if host == via => true,
            Some(host) => {
                // The worker has changed controllers without a redirect.
                self.avoid(machine, host, now);
                false
            }
            None => false,
        }
    }

    /// Records that a worker is redirected to another controller.
    pub fn record_redirect(&mut self, machine: &MachineId, target: &str, now: Instant) {
        let redirect = PendingRedirect {
            target: target.to_owned(),
            sent_at: now,
        };
        self.pending.insert(machine.clone(), redirect);
    }

    /// Whether a worker may be redirected to a controller: it has neither left it nor
    /// failed to reach it recently.
    pub fn may_redirect_to(&self, machine: &MachineId, host: &str, now: Instant) -> bool {
        let avoided_since = self.avoided.get(machine).and_then(|hosts| hosts.get(host));
        avoided_since.is_none_or(|at| now.saturating_duration_since(*at) > AVOIDANCE_PERIOD)
    }

    /// Removes the workers of machines that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&MachineId) -> bool) {
        self.last_controller.retain(|machine, _| exists(machine));
        self.pending.retain(|machine, _| exists(machine));
        self.avoided.retain(|machine, _| exists(machine));
    }

    fn avoid(&mut self, machine: &MachineId, host: String, now: Instant) {
        let hosts = self.avoided.entry(machine.clone()).or_default();
        hosts.insert(host, now);
    }
}
