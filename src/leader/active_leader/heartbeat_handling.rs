//! Heartbeats of workers: applied to the model, and answered with a fencing token and
//! commands, or with a redirect.

use std::time::Instant;

use thiserror::Error;
use tracing::{error, info};

use crate::core::evidence::heartbeats::HeartbeatOutcome;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::ClusterModel;
use crate::response::ApiResponse;
use crate::wire::{Command, Heartbeat, HeartbeatResponse};

use super::ActiveLeader;

/// Why a heartbeat renews no lease. The texts are the error bodies of the
/// responses.
#[derive(Debug, Error)]
enum HeartbeatRejection {
    #[error("leadership is in doubt")]
    LeadershipInDoubt,
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("this machine is being returned")]
    MachineReleasing,
    #[error("this machine was returned")]
    MachineReleased,
    #[error("an older report")]
    Outdated,
    #[error("a newer leader has spoken to this worker")]
    NewerLeader,
}

impl From<HeartbeatRejection> for ApiResponse {
    fn from(rejection: HeartbeatRejection) -> Self {
        let reason = rejection.to_string();
        match rejection {
            HeartbeatRejection::Malformed(_) => ApiResponse::error(400, &reason),
            HeartbeatRejection::LeadershipInDoubt
            | HeartbeatRejection::MachineReleasing
            | HeartbeatRejection::MachineReleased
            | HeartbeatRejection::Outdated
            | HeartbeatRejection::NewerLeader => ApiResponse::unavailable(&reason),
        }
    }
}

/// Outcome of a heartbeat in the model, and what is to be sent in response.
struct HandledHeartbeat {
    outcome: HeartbeatOutcome,
    /// `None`: the worker has accepted a token of a newer leader.
    response: Option<HeartbeatResponse>,
    /// Stops of tasks of cancelled jobs, which are sent even while this
    /// controller may not act.
    stops: Vec<Command>,
}

impl ActiveLeader {
    /// Responds to a heartbeat that came through the controller `via`.
    pub fn respond_to_heartbeat(&self, body: &[u8], via: &str) -> ApiResponse {
        self.handle_heartbeat(body, via).unwrap_or_else(ApiResponse::from)
    }

    fn handle_heartbeat(&self, body: &[u8], via: &str) -> Result<ApiResponse, HeartbeatRejection> {
        if !self.may_renew_leases() {
            return Err(HeartbeatRejection::LeadershipInDoubt);
        }
        let heartbeat: Heartbeat = serde_json::from_slice(body)?;
        let now = Instant::now();
        let may_act = self.may_act();
        let handled = self.apply_heartbeat(&heartbeat, now)?;
        if handled.outcome == HeartbeatOutcome::Applied {
            self.request_round();
        }
        let Some(mut response) = handled.response else {
            self.end_for_newer_leader(&heartbeat);
            return Err(HeartbeatRejection::NewerLeader);
        };
        // An outdated heartbeat doesn't show which controller the worker uses now.
        if handled.outcome == HeartbeatOutcome::Applied {
            if let Some(host) = self.choose_redirect(&heartbeat.machine, via, now) {
                return Ok(ApiResponse::redirect(&host));
            }
        }
        if !may_act {
            response.commands.clear();
        }
        response.commands.extend(handled.stops);
        Ok(ApiResponse::with_json(200, &response))
    }

    /// Applies a heartbeat to the model and computes the response to it, under
    /// one lock.
    fn apply_heartbeat(
        &self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<HandledHeartbeat, HeartbeatRejection> {
        let mut model = self.model.lock();
        let outcome = model.apply_heartbeat(heartbeat, now);
        let machine = model.machines().get(&heartbeat.machine);
        if machine.is_some_and(|machine| machine.phase == MachinePhase::Releasing) {
            return Err(HeartbeatRejection::MachineReleasing);
        }
        match outcome {
            HeartbeatOutcome::MachineReleased => return Err(HeartbeatRejection::MachineReleased),
            HeartbeatOutcome::Outdated if !is_of_live_incarnation(heartbeat, machine) => {
                return Err(HeartbeatRejection::Outdated);
            }
            HeartbeatOutcome::Outdated => {}
            HeartbeatOutcome::Applied => self.log_unknown_tasks(&model, heartbeat),
        }
        Ok(HandledHeartbeat {
            outcome,
            response: model.heartbeat_response(&heartbeat.machine, heartbeat.token, now),
            stops: model.stops_for_cancelled(heartbeat),
        })
    }

    fn end_for_newer_leader(&self, heartbeat: &Heartbeat) {
        // Only an elected leader gives out a token of its term, so this term is over.
        info!(
            term = self.term,
            token = heartbeat.token,
            "a worker has accepted a token of a newer leader; the term ends"
        );
        self.end_term();
    }

    fn log_unknown_tasks(&self, model: &ClusterModel, heartbeat: &Heartbeat) {
        for unknown in model.unknown_tasks(heartbeat) {
            error!(
                term = self.term,
                machine = %heartbeat.machine,
                task = %unknown.task,
                attempt = unknown.attempt,
                incarnation = heartbeat.incarnation,
                sequence = heartbeat.sequence,
                token = heartbeat.token,
                "invariant violated: a worker runs a task attempt that the model does not know on its machine"
            );
        }
    }
}

/// Whether an outdated heartbeat is from the worker's latest known incarnation, and
/// that has not ended. Then either the response to a command has overtaken it, or it
/// is a late copy whose response reaches nobody: the lease may be renewed.
fn is_of_live_incarnation(heartbeat: &Heartbeat, machine: Option<&Machine>) -> bool {
    machine.is_some_and(|machine| {
        machine.newest_message.incarnation == heartbeat.incarnation
            && !machine.incarnation_ended(heartbeat.incarnation)
    })
}
