//! Messages are sent, arrive, are lost, duplicated or late.

use bitternfold::wire::*;

use super::super::message::Message;
use super::super::SimulatedCluster;

impl SimulatedCluster {
    pub(super) fn send_heartbeat(&mut self, machine: usize) {
        let index = machine % self.workers.len();
        let worker = &mut self.workers[index];
        if worker.alive && !self.heartbeats_lost.contains(&worker.id) {
            let heartbeat = worker.heartbeat();
            let sent = self.now;
            self.in_transit.push(Message::Heartbeat { heartbeat, sent });
        }
    }

    pub(super) fn deliver_any(&mut self, which: usize) {
        if !self.in_transit.is_empty() {
            let message = self.in_transit.remove(which % self.in_transit.len());
            self.deliver(message);
        }
    }

    pub(super) fn duplicate(&mut self, which: usize) {
        if !self.in_transit.is_empty() {
            let message = self.in_transit[which % self.in_transit.len()].clone();
            self.deliver_copy(message);
        }
    }

    pub(super) fn lose(&mut self, which: usize) {
        if self.in_transit.is_empty() {
            return;
        }
        let index = which % self.in_transit.len();
        match self.in_transit[index].clone() {
            // Given up by the leader, yet it may still arrive.
            Message::Command { to, term, .. } => {
                self.in_transit.push(Message::CommandResponse {
                    from: to,
                    heartbeat: None,
                    term,
                });
            }
            Message::Heartbeat { .. } | Message::HeartbeatResponse { .. } => {
                drop(self.in_transit.remove(index));
            }
            Message::CommandResponse { from, term, .. } => {
                self.in_transit[index] = Message::CommandResponse {
                    from,
                    heartbeat: None,
                    term,
                };
            }
            _ => {}
        }
    }

    pub(super) fn keep_copy(&mut self, which: usize) {
        if !self.in_transit.is_empty() {
            let message = self.in_transit[which % self.in_transit.len()].clone();
            self.kept_copies.push(message);
        }
    }

    pub(super) fn deliver_kept_copy(&mut self, which: usize) {
        if !self.kept_copies.is_empty() {
            let message = self.kept_copies[which % self.kept_copies.len()].clone();
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
        let heartbeat = worker.heartbeat();
        deposed.apply_heartbeat(&heartbeat, self.now);
        let response = deposed.heartbeat_response(&heartbeat.machine, heartbeat.token, self.now);
        if let Some(response) = response {
            let commands = deposed.stops_for_cancelled(&heartbeat);
            self.in_transit.push(Message::HeartbeatResponse {
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
