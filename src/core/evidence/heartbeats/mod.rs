//! Applies messages of workers: heartbeats, and the responses to commands, which have the
//! same form.
//!
//! A message is applied in these steps, in this order:
//!
//! 1. `machine`: ignore the message unless it is newer than all applied before, and update
//!    the machine.
//! 2. `absence`: remove the attempts that it proves to be gone, and mark those that are lost.
//! 3. `reported_task`, `exit`: apply the state of each task that it lists.
//!
//! The steps rely on two orders. Messages of one worker are ordered by incarnation and
//! sequence, so that delayed copies are ignored. Commands to one machine are ordered by
//! fencing token: a worker refuses those below the highest token that it has seen. A late copy
//! of the latest batch is not refused, so evidence that an attempt is over counts only with a
//! token above that of its start.

mod absence;
mod exit;
mod machine;
mod reported_task;

use std::time::Instant;

use tracing::{debug, info};

use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::core::state::token;
use crate::wire::{Heartbeat, MachineId, TaskState};

/// Whether a message of a worker was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Ignored: the release of its machine is confirmed.
    MachineReleased,
    /// Ignored: a newer message of the same worker, or a later incarnation, is known.
    Outdated,
    /// Applied: it was newer than all messages of the worker before.
    Applied,
}

/// A message that is being applied, with what holds for all its tasks.
struct AcceptedHeartbeat<'a> {
    heartbeat: &'a Heartbeat,
    /// Whether the worker had seen a token of this term when it sent the message.
    /// Otherwise it may be a delayed copy from before the term.
    fenced: bool,
    /// Size of the machine's image cache, in GB.
    cache_gb: f64,
    /// When this process received the message.
    now: Instant,
}

impl ClusterModel {
    /// Applies a message of a worker: a heartbeat, or the response to a batch of
    /// commands.
    ///
    /// Messages may arrive late, twice and in any order. One that is not newer than all
    /// applied before changes nothing.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        if self.released_machines.contains(&heartbeat.machine) {
            return HeartbeatOutcome::MachineReleased;
        }
        let cache_gb = self.image_cache_gb(&heartbeat.machine_type);
        self.adopt_unknown_machine(&heartbeat.machine, now);
        let machine = self
            .machines
            .get_mut(&heartbeat.machine)
            .expect("an unknown machine was adopted just above");
        if !machine::accept_message(machine, heartbeat, now) {
            return HeartbeatOutcome::Outdated;
        }
        if machine::update_identity(machine, heartbeat) {
            self.log.push(machine.log_entry());
        }
        machine::update_token_and_notice(machine, heartbeat, self.term, now);
        let absent = absence::absent_attempts(machine, heartbeat);
        absence::mark_lost_attempts(machine, heartbeat);
        for task in absent {
            debug!(%task, machine = %heartbeat.machine, "attempt is gone from its machine, slot removed");
            self.remove_slot(&heartbeat.machine, task, now);
        }
        self.apply_reported_tasks(&AcceptedHeartbeat {
            heartbeat,
            fenced: token::term_of(heartbeat.token) == self.term,
            cache_gb,
            now,
        });
        self.add_command_candidate(&heartbeat.machine);
        HeartbeatOutcome::Applied
    }

    /// Size of the image cache on machines of a type, in GB; unlimited while the type is
    /// not known.
    fn image_cache_gb(&self, machine_type: &str) -> f64 {
        let known = self.machine_types.iter().find(|t| t.name == machine_type);
        known.map_or(f64::MAX, |t| t.cache_gb)
    }

    /// Adds a machine whose worker sends heartbeats although neither the log nor the
    /// cloud has listed it yet: an earlier leader rented it, or its rental is still
    /// pending.
    fn adopt_unknown_machine(&mut self, id: &MachineId, now: Instant) {
        if !self.machines.contains_key(id) {
            info!(machine = %id, "heartbeat of an unknown machine, machine adopted");
            self.machines.insert(id.clone(), Machine::new(id.clone(), now));
        }
    }

    fn apply_reported_tasks(&mut self, accepted: &AcceptedHeartbeat) {
        let tasks = &accepted.heartbeat.tasks;
        for task in tasks {
            self.apply_reported_task(accepted, task);
        }
        if accepted.fenced {
            for task in tasks.iter().filter(|task| task.state != TaskState::Ended) {
                self.track_unexpected_attempt(&accepted.heartbeat.machine, task);
            }
        }
    }
}
