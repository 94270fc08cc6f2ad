//! What is sent to workers: commands, and the responses to their heartbeats.
//!
//! - `response` decides what the response to a heartbeat carries.
//! - `batch` puts together the next commands for a machine.
//! - This module decides which machines are due, and takes in how a command ended.
//!
//! One batch of commands at a time is on its way to a machine, and each has a token of
//! its own, above all given out for that machine before. A worker refuses tokens below
//! the highest that it has seen, so a batch that another one overtook takes no effect.

mod batch;
mod response;

use std::time::{Duration, Instant};

use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::wire::{CommandBatch, Heartbeat, MachineId};

/// How long nothing is sent to a machine after a command was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Commands to the worker of one machine, and where it takes them.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedBatch {
    /// Address of the worker, as its last heartbeat or the cloud gave it.
    pub address: String,
    /// The commands, under a token given out for them alone.
    pub batch: CommandBatch,
}

/// Commands that are to be sent to a machine now.
#[derive(Debug, Clone, PartialEq)]
pub struct DueCommand {
    /// The machine.
    pub machine: MachineId,
    /// Address of its worker, as its last heartbeat or the cloud gave it.
    pub address: String,
    /// The commands, under a token given out for them alone.
    pub batch: CommandBatch,
}

impl ClusterModel {
    /// Notes that a command may be due for a machine, unless one is on its way to it.
    pub(in crate::core) fn add_command_candidate(&mut self, id: &MachineId) {
        let is_due = |machine: &Machine| !machine.command_in_flight && machine.may_have_due_command();
        if self.machines.get(id).is_some_and(is_due) {
            self.command_candidates.insert(id.clone());
        }
    }

    /// Takes the commands that are due, with at most `max_probes` of them to machines
    /// that don't obey this term yet: after a takeover those are all machines, and the
    /// starts of others must not queue behind them. Each is on its way from now on, until
    /// [`Self::command_finished`] or [`Self::command_withheld`].
    pub fn take_due_commands(&mut self, now: Instant, max_probes: usize) -> Vec<DueCommand> {
        let mut due = Vec::new();
        let mut probes_left = max_probes;
        for id in std::mem::take(&mut self.command_candidates) {
            let Some(machine) = self.machines.get(&id) else {
                continue;
            };
            let is_probe = machine.needs_probe;
            if probes_left == 0 && is_probe && !machine.is_fenced_by(self.term) {
                self.command_candidates.insert(id);
                continue;
            }
            match self.next_command(&id, now) {
                Some(AddressedBatch { address, batch }) => {
                    probes_left -= usize::from(is_probe && probes_left > 0);
                    due.push(DueCommand {
                        machine: id,
                        address,
                        batch,
                    });
                }
                None => self.add_command_candidate(&id),
            }
        }
        due
    }

    /// A command was answered by `heartbeat`, whether executed or refused, or not
    /// answered (`None`). Without an answer it may have been executed, or may still be:
    /// that is no evidence, and the machine is probed.
    pub fn command_finished(&mut self, machine: &MachineId, heartbeat: Option<&Heartbeat>, now: Instant) {
        if let Some(heartbeat) = heartbeat.filter(|heartbeat| heartbeat.machine == *machine) {
            self.apply_heartbeat(heartbeat, now);
        }
        let term = self.term;
        let Some(state) = self.machines.get_mut(machine) else {
            return;
        };
        self.command_candidates.insert(machine.clone());
        state.command_in_flight = false;
        if heartbeat.is_some() {
            state.commands_unanswered_since = None;
            state.last_command_answer = Some(now);
        }
        if heartbeat.is_none() {
            state.commands_unanswered_since.get_or_insert(now);
            state.needs_probe = true;
            state.no_command_before = Some(now + RETRY_PAUSE);
        } else if !state.is_fenced_by(term) {
            state.needs_probe = true;
        }
    }
}
