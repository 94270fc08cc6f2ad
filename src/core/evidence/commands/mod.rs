//! Decides what is sent to workers: commands, and the responses to their heartbeats.
//!
//! - `response` decides what the response to a heartbeat carries.
//! - `batch` assembles the next batch of commands for a machine.
//! - This module decides which machines are due, and records the outcome of a batch.
//!
//! At most one batch of commands is in flight to a machine. Each batch has its own fencing
//! token, higher than all issued for that machine before. A worker refuses tokens below the
//! highest that it has seen, so a batch that was overtaken by a later one has no effect.

mod batch;
mod response;

use std::time::{Duration, Instant};

use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::wire::{CommandBatch, Heartbeat, MachineId};

/// How long no batch is sent to a machine after one was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// A batch of commands to the worker of one machine, and the worker's address.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedBatch {
    /// Address of the worker, as its last heartbeat or the cloud gave it.
    pub address: String,
    /// The commands, with a token that is issued for this batch only.
    pub batch: CommandBatch,
}

/// A batch of commands that is to be sent to a machine now.
#[derive(Debug, Clone, PartialEq)]
pub struct DueBatch {
    /// The machine to send to.
    pub machine: MachineId,
    /// Address of its worker, as its last heartbeat or the cloud gave it.
    pub address: String,
    /// The commands, with a token that is issued for this batch only.
    pub batch: CommandBatch,
}

impl ClusterModel {
    /// Records that a command may be due for a machine, unless a batch is in flight to it.
    pub(in crate::core) fn add_command_candidate(&mut self, id: &MachineId) {
        let is_due = |machine: &Machine| !machine.batch_in_flight && machine.may_have_due_command();
        if self.machines.get(id).is_some_and(is_due) {
            self.command_candidates.insert(id.clone());
        }
    }

    /// Takes the batches of commands that are due. At most `max_probes` of them probe
    /// machines that are not fenced by this term yet: after a takeover those are all
    /// machines, and starts for other machines must not queue behind their probes. Each
    /// batch counts as in flight until [`Self::batch_finished`] or
    /// [`Self::batch_withheld`] is called for its machine.
    pub fn take_due_batches(&mut self, now: Instant, max_probes: usize) -> Vec<DueBatch> {
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
            match self.next_command_batch(&id, now) {
                Some(AddressedBatch { address, batch }) => {
                    probes_left -= usize::from(is_probe && probes_left > 0);
                    due.push(DueBatch {
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

    /// Records that a batch was answered by `heartbeat`, whether executed or refused, or not
    /// answered (`None`). Without an answer it may have been executed, or may be executed
    /// later: that is no evidence of either, and the machine is probed.
    pub fn batch_finished(&mut self, machine: &MachineId, heartbeat: Option<&Heartbeat>, now: Instant) {
        if let Some(heartbeat) = heartbeat.filter(|heartbeat| heartbeat.machine == *machine) {
            self.apply_heartbeat(heartbeat, now);
        }
        let term = self.term;
        let Some(state) = self.machines.get_mut(machine) else {
            return;
        };
        self.command_candidates.insert(machine.clone());
        state.batch_in_flight = false;
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
