//! Redirects of workers between controllers, and those that failed.
//!
//! Each worker reports to one controller, which the leader chooses. A redirect
//! renews no lease, and a worker that is sent to a controller it can't reach
//! loses seconds before it tries another. So a worker is redirected only right
//! after a report of its was answered where it is, and not to a controller that
//! it has just left or failed to reach.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::wire::MachineId;

/// A worker is not sent again to a controller that it couldn't reach for so long.
const AVOIDED_FOR: Duration = Duration::from_secs(30);
/// A worker that shows up elsewhere so soon after a redirect has failed to
/// follow it.
const FOLLOWED_WITHIN: Duration = Duration::from_secs(15);

/// Where workers report, where they were sent, and what they couldn't reach.
#[derive(Debug, Default)]
pub struct RedirectHistory {
    /// The controller that each worker's latest report came through.
    latest: HashMap<MachineId, String>,
    /// Redirects that no report has followed yet.
    pending: HashMap<MachineId, (String, Instant)>,
    /// Controllers that a worker left or couldn't reach, and when.
    unreachable: HashMap<MachineId, HashMap<String, Instant>>,
}

impl RedirectHistory {
    /// Notes that a report came through a controller. Whether the worker may be
    /// redirected now: its report before was answered there.
    pub fn heartbeat_arrived(&mut self, machine: &MachineId, via: &str, now: Instant) -> bool {
        let before = self.latest.insert(machine.clone(), via.to_owned());
        if let Some((target, at)) = self.pending.remove(machine) {
            if target != via && now.saturating_duration_since(at) < FOLLOWED_WITHIN {
                self.avoid(machine, target, now);
            }
            return false;
        }
        match before {
            Some(host) if host == via => true,
            Some(host) => {
                // It left without being told to.
                self.avoid(machine, host, now);
                false
            }
            None => false,
        }
    }

    /// Notes that a worker was told to report to another controller.
    pub fn redirected(&mut self, machine: &MachineId, target: &str, now: Instant) {
        self.pending.insert(machine.clone(), (target.to_owned(), now));
    }

    /// Whether a worker may be sent to a controller, as far as is known.
    pub fn may_reach(&self, machine: &MachineId, host: &str, now: Instant) -> bool {
        let failed = self.unreachable.get(machine).and_then(|hosts| hosts.get(host));
        failed.is_none_or(|at| now.saturating_duration_since(*at) > AVOIDED_FOR)
    }

    /// Forgets workers of machines that are gone.
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
