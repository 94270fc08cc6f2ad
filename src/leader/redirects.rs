//! Redirects of workers between controllers, and those that failed.
//!
//! Each worker sends its heartbeats to one controller, which the leader chooses.
//! A redirect renews no lease, and a worker that is sent to a controller it can't
//! reach loses seconds before it tries another. So a worker is redirected only
//! right after a heartbeat was answered through its present controller, and not
//! to a controller that it has just left or failed to reach.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::wire::MachineId;

/// How long a worker is not redirected to a controller that it couldn't reach.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(30);
/// A worker whose heartbeat comes through another controller than the target so
/// soon after a redirect has failed to reach the target.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(15);

/// A redirect that no heartbeat has followed yet.
#[derive(Debug)]
struct PendingRedirect {
    target: String,
    sent_at: Instant,
}

/// The controllers that each worker has used, was redirected to and couldn't
/// reach. Kept in memory only: a new leader starts with an empty one.
#[derive(Debug, Default)]
pub struct RedirectHistory {
    /// The controller that each worker's latest heartbeat came through.
    latest: HashMap<MachineId, String>,
    pending: HashMap<MachineId, PendingRedirect>,
    /// Controllers that a worker left or couldn't reach, and when.
    unreachable: HashMap<MachineId, HashMap<String, Instant>>,
}

impl RedirectHistory {
    /// Notes that a heartbeat came through a controller. Returns whether the
    /// worker may be redirected now: its heartbeat before this one came through
    /// the same controller, and no redirect has been sent since.
    pub fn record_heartbeat(&mut self, machine: &MachineId, via: &str, now: Instant) -> bool {
        let before = self.latest.insert(machine.clone(), via.to_owned());
        if let Some(redirect) = self.pending.remove(machine) {
            let age = now.saturating_duration_since(redirect.sent_at);
            if redirect.target != via && age < FOLLOW_TIMEOUT {
                self.avoid(machine, redirect.target, now);
            }
            return false;
        }
        match before {
            Some(host) if host == via => true,
            Some(host) => {
                // It left without a redirect.
                self.avoid(machine, host, now);
                false
            }
            None => false,
        }
    }

    /// Notes that a worker is being redirected to another controller.
    pub fn redirected(&mut self, machine: &MachineId, target: &str, now: Instant) {
        let redirect = PendingRedirect {
            target: target.to_owned(),
            sent_at: now,
        };
        self.pending.insert(machine.clone(), redirect);
    }

    /// Whether a worker may be redirected to a controller: it has not left it, nor
    /// failed to reach it, of late.
    pub fn may_redirect_to(&self, machine: &MachineId, host: &str, now: Instant) -> bool {
        let failed = self.unreachable.get(machine).and_then(|hosts| hosts.get(host));
        failed.is_none_or(|at| now.saturating_duration_since(*at) > AVOIDANCE_PERIOD)
    }

    /// Forgets the workers of machines that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&MachineId) -> bool) {
        self.latest.retain(|machine, _| exists(machine));
        self.pending.retain(|machine, _| exists(machine));
        self.unreachable.retain(|machine, _| exists(machine));
    }

    fn avoid(&mut self, machine: &MachineId, host: String, now: Instant) {
        let hosts = self.unreachable.entry(machine.clone()).or_default();
        hosts.insert(host, now);
    }
}
