//! What is said to workers: responses to reports, and commands.

use std::time::{Duration, Instant};

use crate::core::evidence::permission::check_job;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::Resources;
use crate::core::state::slot::SlotState;
use crate::core::state::token;
use crate::wire::{Command, CommandBatch, Heartbeat, HeartbeatResponse, MachineId, TaskState};

/// Commands to the worker of one machine, and where it takes them.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedBatch {
    /// Address of the worker.
    pub address: String,
    /// The commands, under a token given out for them alone.
    pub batch: CommandBatch,
}

/// Commands that are to be sent to a machine now.
#[derive(Debug, Clone, PartialEq)]
pub struct DueCommand {
    /// The machine.
    pub machine: MachineId,
    /// Address of its worker.
    pub address: String,
    /// The commands, under a token given out for them alone.
    pub batch: CommandBatch,
}

impl ClusterModel {
    /// The token for the response to a report, and what the response orders.
    /// The token is one that the worker has reported in this term, so that no
    /// response runs ahead of a command that is still on its way; where it has
    /// none, or where outcomes are to be forgotten and no command is on its
    /// way, a fresh one that no command carries. `None`: a later leader has spoken.
    pub fn heartbeat_response(
        &mut self,
        machine: &MachineId,
        reported: u64,
        now: Instant,
    ) -> Option<HeartbeatResponse> {
        if token::term_of(reported) > self.term {
            return None;
        }
        let term = self.term;
        let patience = self.config.heartbeat_interval;
        let (log, jobs) = (&self.log, &self.jobs);
        let m = self.machines.get_mut(machine)?;
        m.last_response = Some(now);
        if !m.fenced(term) {
            return Some(HeartbeatResponse {
                token: m.fresh_token(term),
                commands: Vec::new(),
            });
        }
        // A start on its way to a task that is to be stopped: where commands don't
        // get through, it would wait out there for as long as this worker's lease
        // is renewed here. A fresh token refuses it for good.
        let start_in_flight = m.slots.values().any(|s| {
            s.state == SlotState::Placed
                && s.start_token > m.seen_token
                && s.stop_at
                    .is_some_and(|t| now.saturating_duration_since(t) > patience)
        });
        if start_in_flight {
            return Some(HeartbeatResponse {
                token: m.fresh_token(term),
                commands: Vec::new(),
            });
        }
        if m.command_in_flight || m.unacknowledged_since.is_none() {
            return Some(HeartbeatResponse {
                token: m.seen_token,
                commands: Vec::new(),
            });
        }
        let commands = m.acknowledgements(log, jobs);
        let token = if commands.is_empty() {
            m.seen_token
        } else {
            m.fresh_token(term)
        };
        Some(HeartbeatResponse { token, commands })
    }

    /// Stops for what a report lists of cancelled jobs. They go with every
    /// response that renews a lease, also past the right to act, so that no
    /// answer of one who knows of a cancellation lets its tasks live on. A stop
    /// names an attempt and may be repeated; it is no evidence by itself.
    pub fn stops_for_cancelled(&self, r: &Heartbeat) -> Vec<Command> {
        let live = r.tasks.iter().filter(|t| t.state != TaskState::Exited);
        live.filter(|t| self.jobs.get(&t.task.job).is_some_and(|j| j.cancelled))
            .map(|t| Command::Stop {
                task: t.task,
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    /// Notes that a command may be due for a machine that none is on its way to.
    pub(in crate::core) fn note_due(&mut self, id: &MachineId) {
        let due = |m: &Machine| !m.command_in_flight && m.wants_command();
        if self.machines.get(id).is_some_and(due) {
            self.command_candidates.insert(id.clone());
        }
    }

    /// Commands that are due, at most so many probes of machines that have
    /// nothing else to do. Tokens are fresh.
    pub fn take_due_commands(&mut self, now: Instant, max_probes: usize) -> Vec<DueCommand> {
        let mut out = Vec::new();
        let mut left = max_probes;
        for id in std::mem::take(&mut self.command_candidates) {
            let Some(m) = self.machines.get(&id) else { continue };
            if left == 0 && m.needs_probe && !m.fenced(self.term) {
                self.command_candidates.insert(id);
                continue;
            }
            let probe = m.needs_probe;
            match self.next_command(&id, now) {
                Some(AddressedBatch { address, batch }) => {
                    left -= usize::from(probe && left > 0);
                    out.push(DueCommand {
                        machine: id,
                        address,
                        batch,
                    });
                }
                None => self.note_due(&id),
            }
        }
        out
    }

    /// The next command to a worker, if one is due. The token is fresh.
    pub fn next_command(&mut self, machine: &MachineId, now: Instant) -> Option<AddressedBatch> {
        let term = self.term;
        let types = &self.machine_types;
        let (log, jobs, dependencies) = (&self.log, &self.jobs, &self.dependencies);
        let patience = self.config.heartbeat_interval * 2;
        let m = self.machines.get_mut(machine)?;
        if m.command_in_flight || m.addr.is_empty() || m.no_command_before.is_some_and(|t| t > now) {
            return None;
        }
        if m.phase == MachinePhase::Releasing {
            return None;
        }
        let mut commands = m.acknowledgements(log, jobs);
        let acknowledgements = commands.len();
        let mut used = Resources::default();
        for (task, slot) in &mut m.slots {
            let Some(grace) = slot.stop.filter(|_| slot.takes_room()) else {
                if !matches!(slot.state, SlotState::Ended(_) | SlotState::Placed) || slot.start_token > 0 {
                    if let Some(s) = slot.spec.as_ref().filter(|_| slot.takes_room()) {
                        used += Resources::of_task(s);
                    }
                }
                continue;
            };
            let overdue = slot
                .stop_at
                .is_some_and(|t| now > t + grace + Duration::from_secs(2));
            let grace = if overdue { Duration::ZERO } else { grace };
            let saves = slot
                .spec
                .as_ref()
                .is_some_and(|s| s.checkpoint_s > 0.0 && s.checkpoint_grace_s > 0.0)
                && !grace.is_zero();
            if saves {
                if let Some(s) = &slot.spec {
                    used += Resources::of_task(s);
                }
            }
            if slot.state == SlotState::Saving && !overdue && !grace.is_zero() {
                continue;
            }
            commands.push(Command::Stop {
                task: *task,
                attempt: slot.attempt,
                grace_s: grace.as_secs_f64(),
            });
        }
        let kind = types.iter().find(|t| t.name == m.machine_type);
        let token = m.peek_token(term);
        let incarnation = m.newest_message.0.max(1);
        for (task, slot) in &mut m.slots {
            if slot.state != SlotState::Placed || slot.stop.is_some() || !log.is_stored(slot.logged) {
                continue;
            }
            let Some(s) = &slot.spec else { continue };
            // Asked once more here, whatever led to the placement.
            if check_job(jobs, dependencies, task.job).is_err() {
                continue;
            }
            if slot.start_token == 0 {
                // Not before there is room for it: tasks told to stop may
                // still be saving.
                let Some(k) = kind else { continue };
                if !(used + Resources::of_task(s)).fits_into(&Resources::of_type(k)) {
                    continue;
                }
                used += Resources::of_task(s);
            }
            slot.start_token = token;
            // The latest session that a start went to: any later one refuses.
            slot.start_incarnation = slot.start_incarnation.max(incarnation);
            commands.push(Command::Start {
                task: *task,
                attempt: slot.attempt,
            });
        }
        // Outcomes are forgotten along with other orders or in the response to
        // a report; alone only if neither comes.
        let tardy = m
            .unacknowledged_since
            .is_some_and(|t| now.saturating_duration_since(t) > patience);
        if !m.needs_probe && (commands.is_empty() || commands.len() == acknowledgements && !tardy) {
            return None;
        }
        m.needs_probe = false;
        m.command_in_flight = true;
        let token = m.fresh_token(term);
        Some(AddressedBatch {
            address: m.addr.clone(),
            batch: CommandBatch {
                token,
                incarnation,
                commands,
            },
        })
    }

    /// A command was answered, or not (`heartbeat` is `None`: unknown).
    pub fn command_finished(&mut self, machine: &MachineId, heartbeat: Option<&Heartbeat>, now: Instant) {
        if let Some(r) = heartbeat.filter(|r| r.machine == *machine) {
            self.apply_heartbeat(r, now);
        }
        let term = self.term;
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        self.command_candidates.insert(machine.clone());
        m.command_in_flight = false;
        if heartbeat.is_some() {
            m.commands_unanswered_since = None;
            m.last_command_answer = Some(now);
        }
        if heartbeat.is_none() {
            m.commands_unanswered_since.get_or_insert(now);
            m.needs_probe = true;
            m.no_command_before = Some(now + Duration::from_millis(700));
        } else if !m.fenced(term) {
            m.needs_probe = true;
        }
    }
}
