//! Responses to heartbeats. They renew the worker's lease and never start a task.

use std::time::{Duration, Instant};

use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::SlotState;
use crate::core::state::token;
use crate::wire::{Command, Heartbeat, HeartbeatResponse, MachineId, TaskState};

impl ClusterModel {
    /// The response to a heartbeat that carried `reported_token`, with acknowledgements of
    /// ended tasks. `None` if a later leader has fenced the worker, or the machine is not
    /// known.
    ///
    /// The token is usually the highest that the worker itself has reported in this term.
    /// With the token of a batch in flight, the response could overtake that batch: the
    /// worker would report the token, and a start in the batch would look absent although it
    /// may still arrive. A fresh token, which no batch carries, is used if the worker has
    /// reported none of this term, if a start has to be refused (`has_outstanding_start`,
    /// `awaits_fence`), or if tasks are acknowledged while no batch is in flight.
    pub fn heartbeat_response(
        &mut self,
        machine: &MachineId,
        reported_token: u64,
        now: Instant,
    ) -> Option<HeartbeatResponse> {
        if token::term_of(reported_token) > self.term {
            return None;
        }
        let term = self.term;
        let max_stop_delay = self.config.heartbeat_interval;
        let (log, jobs) = (&self.log, &self.jobs);
        let machine = self.machines.get_mut(machine)?;
        machine.last_heartbeat_response = Some(now);
        if !machine.is_fenced_by(term)
            || has_outstanding_start(machine, max_stop_delay, now)
            || awaits_fence(machine)
        {
            return Some(response_without_commands(machine.issue_token(term)));
        }
        if machine.batch_in_flight || machine.unacknowledged_since.is_none() {
            return Some(response_without_commands(machine.seen_token));
        }
        let commands = machine.acknowledgements(log, jobs);
        let token = if commands.is_empty() {
            machine.seen_token
        } else {
            machine.issue_token(term)
        };
        Some(HeartbeatResponse { token, commands })
    }

    /// Stops for the tasks of cancelled jobs that a heartbeat lists. They go with every
    /// response that renews a lease, even when the leader may no longer act: a leader that
    /// knows of a cancellation must not let its tasks run on. A stop names an attempt and
    /// may be repeated; sending it is no evidence that the task is gone.
    pub fn stops_for_cancelled(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        let live = heartbeat.tasks.iter().filter(|t| t.state != TaskState::Ended);
        live.filter(|t| self.jobs.get(&t.task.job).is_some_and(|job| job.cancelled))
            .map(|t| Command::Stop {
                task: t.task,
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect()
    }
}

/// Whether the start of a task may still be in flight although the task's stop was ordered
/// more than `max_stop_delay` ago. If commands don't get through, the worker could accept
/// that start for as long as responses renew its lease; a fresh token makes the worker
/// refuse the start.
fn has_outstanding_start(machine: &Machine, max_stop_delay: Duration, now: Instant) -> bool {
    machine.slots.values().any(|slot| {
        slot.state == SlotState::Placed
            && slot.start_token > machine.seen_token
            && slot
                .stop_ordered_at
                .is_some_and(|at| now.saturating_duration_since(at) > max_stop_delay)
    })
}

/// Whether an attempt on the machine awaits a higher token and no batch is on its way that
/// carries one.
fn awaits_fence(machine: &Machine) -> bool {
    !machine.batch_in_flight && machine.slots.values().any(|slot| slot.awaits_fence)
}

fn response_without_commands(token: u64) -> HeartbeatResponse {
    HeartbeatResponse {
        token,
        commands: Vec::new(),
    }
}
