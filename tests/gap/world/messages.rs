//! Messages between leaders and workers: how they are sent, delayed, lost and delivered.

use std::time::Duration;

use bitternfold::wire::*;
use rand::Rng;

use super::{SimulatedSite, FAULT_FREE_PERIOD, TIME_STEP};
use crate::worker::RESPONSE_TIMEOUT;

/// How long the sender of a command waits for an answer before it gives the command up.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);

/// A message in flight. Controllers and machines are given by their index.
pub(super) enum Message {
    Command {
        to: usize,
        from: usize,
        term: u64,
        commands: CommandBatch,
        /// Whether its sender has given it up, or is going to.
        given_up: bool,
    },
    /// The end of a command: answered by a heartbeat, or given up (`None`).
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
    /// Sends a message that arrives after a delay.
    pub(super) fn send(&mut self, delay: Duration, message: Message) {
        self.in_flight.push((self.now + delay, message));
    }

    pub(super) fn send_command(&mut self, from: usize, term: u64, id: &MachineId, commands: CommandBatch) {
        let to = self.workers.iter().position(|worker| worker.id == *id);
        let to = to.expect("known");
        let faults_have_begun = self.now > FAULT_FREE_PERIOD;
        let given_up = faults_have_begun && self.rng.random_bool(self.scenario.given_up_share);
        let mut delay = TIME_STEP;
        if given_up {
            // The sender gives the command up. It may still arrive, unless the scenario lets
            // none arrive.
            delay =
                Duration::from_secs_f64(self.rng.random_range(0.0..self.scenario.max_command_delay + 0.1));
            let unanswered = Message::CommandResponse {
                to: from,
                term,
                machine: id.clone(),
                heartbeat: None,
            };
            self.send(COMMAND_TIMEOUT, unanswered);
        }
        if !given_up || self.scenario.given_up_share < 1.0 {
            let command = Message::Command {
                to,
                from,
                term,
                commands,
                given_up,
            };
            self.send(delay, command);
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Command { to, .. } if self.is_hanging(to) => {
                // The command arrives once the machine no longer hangs.
                let until = self.reporting[to].hangs_until;
                self.in_flight.push((until, message));
            }
            Message::Command {
                to,
                from,
                term,
                commands,
                given_up,
            } => {
                let heartbeat = self.execute(to, &commands, given_up);
                if let Some(heartbeat) = heartbeat {
                    let response = Message::CommandResponse {
                        to: from,
                        term,
                        machine: heartbeat.machine.clone(),
                        heartbeat: Some(heartbeat),
                    };
                    self.send(TIME_STEP, response);
                }
            }
            Message::CommandResponse {
                to,
                term,
                machine,
                heartbeat,
            } => {
                let now = self.clock(to);
                let leader = self.leaders[to].as_mut();
                if let Some(leader) = leader.filter(|leader| leader.term == term) {
                    leader.model.batch_finished(&machine, heartbeat.as_ref(), now);
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

    /// Lets a worker execute commands. Returns its heartbeat as the answer, unless the sender
    /// gives the commands up.
    fn execute(&mut self, machine: usize, commands: &CommandBatch, given_up: bool) -> Option<Heartbeat> {
        let worker = &mut self.workers[machine];
        worker.execute(commands);
        for task in worker.tasks.values_mut() {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
            }
        }
        (!given_up).then(|| worker.next_heartbeat())
    }

    /// Delivers a response to a heartbeat. The worker drops it if it is late, for an earlier
    /// incarnation, or of an earlier leader, or if its machine hangs.
    fn deliver_heartbeat_response(
        &mut self,
        to: usize,
        incarnation: u64,
        response: HeartbeatResponse,
        heartbeat_sent: Duration,
    ) {
        let is_hanging = self.is_hanging(to);
        let sent_by_worker_clock = self.worker_clock_at(to, heartbeat_sent);
        let worker = &mut self.workers[to];
        let dropped = is_hanging
            || self.now > heartbeat_sent + RESPONSE_TIMEOUT
            || incarnation != worker.incarnation
            || response.token < worker.token;
        if !dropped {
            worker.lease_renewed = worker.lease_renewed.max(sent_by_worker_clock);
            worker.execute(&CommandBatch {
                token: response.token,
                incarnation,
                commands: response.commands,
            });
        }
    }
}
