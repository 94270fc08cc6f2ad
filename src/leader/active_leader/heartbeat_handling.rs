//! Reports of workers, and which controller each of them is to report to.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Instant;

use tracing::{error, info};

use crate::core::evidence::heartbeats::HeartbeatOutcome;
use crate::core::state::machine::MachinePhase;
use crate::core::ClusterModel;
use crate::response::ApiResponse;
use crate::wire::{Heartbeat, MachineId};

use super::ActiveLeader;

impl ActiveLeader {
    /// The controller that a machine is to report to: the same one from every
    /// leader, among those that are connected and that the worker can reach.
    fn owner(&self, machine: &MachineId, now: Instant) -> String {
        let redirects = self.redirects.lock();
        let weight = |host: &String| {
            let mut hasher = DefaultHasher::new();
            (machine, host).hash(&mut hasher);
            hasher.finish()
        };
        self.controller
            .connected()
            .into_iter()
            .filter(|host| redirects.may_reach(machine, host, now))
            .max_by_key(weight)
            .unwrap_or_else(|| self.controller.host().to_owned())
    }

    /// A report that reached the controller `via`.
    pub fn heartbeat(&self, body: &[u8], via: &str) -> ApiResponse {
        if !self.may_renew_leases() {
            return ApiResponse::unavailable("leadership is in doubt");
        }
        let r: Heartbeat = match serde_json::from_slice(body) {
            Ok(r) => r,
            Err(e) => return ApiResponse::error(400, &e.to_string()),
        };
        let now = Instant::now();
        let may_act = self.may_act();
        let (outcome, response, stops) = {
            let mut m = self.model.lock();
            let outcome = m.apply_heartbeat(&r, now);
            let known = m.machines().get(&r.machine);
            if known.is_some_and(|m| m.phase == MachinePhase::Releasing) {
                return ApiResponse::unavailable("this machine is being returned");
            }
            match outcome {
                HeartbeatOutcome::MachineReleased => {
                    return ApiResponse::unavailable("this machine was returned")
                }
                // A command's answer has overtaken it, or it is a late copy,
                // whose answer reaches nobody.
                HeartbeatOutcome::Outdated
                    if known.is_none_or(|m| {
                        m.newest_message.0 != r.incarnation || m.incarnation_ended(r.incarnation)
                    }) =>
                {
                    return ApiResponse::unavailable("an older report")
                }
                HeartbeatOutcome::Outdated | HeartbeatOutcome::Applied => {}
            }
            if outcome == HeartbeatOutcome::Applied {
                self.log_unknown_tasks(&m, &r);
            }
            (
                outcome,
                m.heartbeat_response(&r.machine, r.token, now),
                m.stops_for_cancelled(&r),
            )
        };
        if outcome == HeartbeatOutcome::Applied {
            self.request_round();
        }
        let Some(mut response) = response else {
            // Only an elected one gives out such tokens.
            info!(
                term = self.term,
                token = r.token,
                "a newer leader has spoken to a worker"
            );
            self.end();
            return ApiResponse::unavailable("a newer leader has spoken to this worker");
        };
        // Late copies tell nothing of where the worker reports now.
        if outcome == HeartbeatOutcome::Applied {
            if let Some(to) = self.redirect(&r.machine, via, now) {
                return ApiResponse::redirect(&to);
            }
        }
        if !may_act {
            response.commands.clear();
        }
        response.commands.extend(stops);
        ApiResponse::json(200, &response)
    }

    fn log_unknown_tasks(&self, model: &ClusterModel, r: &Heartbeat) {
        for unknown in model.unknown_tasks(r) {
            error!(
                term = self.term,
                machine = %r.machine,
                task = %unknown.task,
                attempt = unknown.attempt,
                incarnation = r.incarnation,
                sequence = r.sequence,
                token = r.token,
                "invariant violated: a task runs that is not known"
            );
        }
    }

    /// The controller that a worker is to report to instead of `via`, if any.
    fn redirect(&self, machine: &MachineId, via: &str, now: Instant) -> Option<String> {
        if !self.redirects.lock().heartbeat_arrived(machine, via, now) {
            return None;
        }
        let owner = self.owner(machine, now);
        if owner == via {
            return None;
        }
        self.redirects.lock().redirected(machine, &owner, now);
        Some(owner)
    }
}
