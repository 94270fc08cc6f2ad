//! Decides which controller each worker is to report to.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Instant;

use crate::wire::MachineId;

use super::ActiveLeader;

impl ActiveLeader {
    /// Records a heartbeat that came through the controller `via`. Returns the one that
    /// the worker is to be redirected to, if any.
    pub(super) fn choose_redirect(&self, machine: &MachineId, via: &str, now: Instant) -> Option<String> {
        if !self.redirects.lock().record_heartbeat(machine, via, now) {
            return None;
        }
        let target = self.assigned_controller(machine, now);
        if target == via {
            return None;
        }
        self.redirects.lock().record_redirect(machine, &target, now);
        Some(target)
    }

    /// The controller that a machine's worker is to report to, chosen by rendezvous
    /// hashing among those that are connected and that it may be redirected to. From
    /// the same controllers, every leader chooses the same one. If there is none, this
    /// controller is chosen.
    fn assigned_controller(&self, machine: &MachineId, now: Instant) -> String {
        let redirects = self.redirects.lock();
        self.controller
            .connected_hosts()
            .into_iter()
            .filter(|host| redirects.may_redirect_to(machine, host, now))
            .max_by_key(|host| rendezvous_weight(machine, host))
            .unwrap_or_else(|| self.controller.host().to_owned())
    }
}

fn rendezvous_weight(machine: &MachineId, host: &String) -> u64 {
    let mut hasher = DefaultHasher::new();
    (machine, host).hash(&mut hasher);
    hasher.finish()
}
