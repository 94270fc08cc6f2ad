//! The network: messages are sent, delivered, lost, duplicated or delayed.

use bitternfold::wire::*;

use super::super::message::Message;
use super::super::SimulatedCluster;

impl SimulatedCluster {
    pub(super) fn send_heartbeat(&mut self, machine: usize) {
        let index = machine % self.workers.len();
        let worker = &mut self.workers[index];
        if worker.alive && !self.heartbeats_lost.contains(&worker.id) {
            let heartbeat = worker.next_heartbeat();
            let sent = self.now;
            self.in_flight.push(Message::Heartbeat { heartbeat, sent });
        }
    }

    pub(super) fn deliver_selected(&mut self, selector: usize) {
        if !self.in_flight.is_empty() {
            let message = self.in_flight.remove(selector % self.in_flight.len());
            self.deliver(message);
        }
    }

    pub(super) fn duplicate(&mut self, selector: usize) {
        if !self.in_flight.is_empty() {
            let message = self.in_flight[selector % self.in_flight.len()].clone();
            self.deliver_copy(message);
        }
    }

    pub(super) fn lose(&mut self, selector: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = selector % self.in_flight.len();
        match self.in_flight[index].clone() {
            // The leader gives the command up, but it may still arrive.
            Message::Command { to, term, .. } => {
                self.in_flight.push(Message::CommandResponse {
                    from: to,
                    heartbeat: None,
                    term,
                });
            }
            Message::Heartbeat { .. } | Message::HeartbeatResponse { .. } => {
                drop(self.in_flight.remove(index));
            }
            Message::CommandResponse { from, term, .. } => {
                self.in_flight[index] = Message::CommandResponse {
                    from,
                    heartbeat: None,
                    term,
                };
            }
            _ => {}
        }
    }

    pub(super) fn keep_copy(&mut self, selector: usize) {
        if !self.in_flight.is_empty() {
            let message = self.in_flight[selector % self.in_flight.len()].clone();
            self.kept_copies.push(message);
        }
    }

    pub(super) fn keep_copies_of_commands(&mut self) {
        let commands = self
            .in_flight
            .iter()
            .filter(|message| matches!(message, Message::Command { .. }));
        self.kept_copies.extend(commands.cloned());
    }

    pub(super) fn deliver_kept_copy(&mut self, selector: usize) {
        if !self.kept_copies.is_empty() {
            let message = self.kept_copies[selector % self.kept_copies.len()].clone();
            self.deliver_copy(message);
        }
    }

    pub(super) fn lose_heartbeats(&mut self, machines: usize, begins: bool) {
        let count = machines % self.workers.len() + 1;
        for worker in self.workers.iter().take(count) {
            if begins {
                self.heartbeats_lost.insert(worker.id.clone());
            } else {
                self.heartbeats_lost.remove(&worker.id);
            }
        }
    }

    pub(super) fn deposed_leader_responds(&mut self, machine: usize) {
        let index = machine % self.workers.len();
        let worker = &mut self.workers[index];
        let Some(deposed) = self.deposed.as_mut().filter(|_| worker.alive) else {
            return;
        };
        let heartbeat = worker.next_heartbeat();
        deposed.apply_heartbeat(&heartbeat, self.now);
        let response = deposed.heartbeat_response(&heartbeat.machine, heartbeat.token, self.now);
        if let Some(response) = response {
            let commands = deposed.stops_for_cancelled(&heartbeat);
            self.in_flight.push(Message::HeartbeatResponse {
                to: heartbeat.machine,
                incarnation: heartbeat.incarnation,
                response: HeartbeatResponse {
                    token: response.token,
                    commands,
                },
                heartbeat_sent: self.now,
            });
        }
    }
}
