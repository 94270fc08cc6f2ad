//! Messages between leaders and workers: how they are sent, lost, held back and delivered.

use std::time::Duration;

use bitternfold::wire::*;
use rand::Rng;

use super::{SimulatedSite, FAULTS_FROM, STEP};
use crate::worker::RESPONSE_TIMEOUT;

/// After how long the sender of a command gives it up.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);

/// A message in transit. Controllers and machines are named by their index.
pub(super) enum Message {
    Command {
        to: usize,
        from: usize,
        term: u64,
        commands: CommandBatch,
        /// Its sender has given it up.
        late: bool,
    },
    /// The response to a command; without a heartbeat the command was given up.
    CommandResponse {
        to: usize,
        term: u64,
        machine: MachineId,
        heartbeat: Option<Heartbeat>,
    },
    HeartbeatResponse {
        to: usize,
        incarnation: u64,
        response: HeartbeatResponse,
        heartbeat_sent: Duration,
    },
}

impl SimulatedSite {
    /// Lets a message arrive after a delay.
    pub(super) fn send(&mut self, delay: Duration, message: Message) {
        self.in_transit.push((self.now + delay, message));
    }

    pub(super) fn send_command(&mut self, from: usize, term: u64, id: &MachineId, commands: CommandBatch) {
        let to = self.workers.iter().position(|worker| worker.id == *id);
        let to = to.expect("known");
        let faulty = self.now > FAULTS_FROM;
        let late = faulty && self.rng.random_bool(self.times.commands_late);
        let mut delay = STEP;
        if late {
            // Given up by its sender; it may still arrive, unless nothing does.
            delay = Duration::from_secs_f64(self.rng.random_range(0.0..self.times.max_delay + 0.1));
            let given_up = Message::CommandResponse {
                to: from,
                term,
                machine: id.clone(),
                heartbeat: None,
            };
            self.send(COMMAND_TIMEOUT, given_up);
        }
        if !late || self.times.commands_late < 1.0 {
            let command = Message::Command {
                to,
                from,
                term,
                commands,
                late,
            };
            self.send(delay, command);
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Command { to, .. } if self.hangs(to) => {
                // It waits for a machine that hangs.
                let until = self.reporting[to].hangs_until;
                self.in_transit.push((until, message));
            }
            Message::Command {
                to,
                from,
                term,
                commands,
                late,
            } => {
                let heartbeat = self.execute(to, &commands, late);
                if let Some(heartbeat) = heartbeat {
                    let response = Message::CommandResponse {
                        to: from,
                        term,
                        machine: heartbeat.machine.clone(),
                        heartbeat: Some(heartbeat),
                    };
                    self.send(STEP, response);
                }
            }
            Message::CommandResponse {
                to,
                term,
                machine,
                heartbeat,
            } => {
                let now = self.clock(to);
                let waiting = self.leaders[to].as_mut();
                if let Some(leader) = waiting.filter(|leader| leader.term == term) {
                    leader.model.command_finished(&machine, heartbeat.as_ref(), now);
                }
            }
            Message::HeartbeatResponse {
                to,
                incarnation,
                response,
                heartbeat_sent,
            } => self.deliver_heartbeat_response(to, incarnation, response, heartbeat_sent),
        }
    }

    /// A worker executes commands; its heartbeat, unless their sender has given them up.
    fn execute(&mut self, machine: usize, commands: &CommandBatch, late: bool) -> Option<Heartbeat> {
        let worker = &mut self.workers[machine];
        worker.execute(commands);
        for task in worker.tasks.values_mut() {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
            }
        }
        (!late).then(|| worker.heartbeat())
    }

    /// Late responses and those for an earlier incarnation or of an earlier leader are
    /// dropped by the worker.
    fn deliver_heartbeat_response(
        &mut self,
        to: usize,
        incarnation: u64,
        response: HeartbeatResponse,
        heartbeat_sent: Duration,
    ) {
        let hangs = self.hangs(to);
        let sent_by_its_clock = self.worker_clock_at(to, heartbeat_sent);
        let worker = &mut self.workers[to];
        let dropped = hangs
            || self.now > heartbeat_sent + RESPONSE_TIMEOUT
            || incarnation != worker.incarnation
            || response.token < worker.token;
        if !dropped {
            worker.lease_renewed = worker.lease_renewed.max(sent_by_its_clock);
            worker.execute(&CommandBatch {
                token: response.token,
                incarnation,
                commands: response.commands,
            });
        }
    }
}
