//! What a worker does on each turn: it sends its heartbeat once that is due.

use std::time::Duration;

use bitternfold::wire::*;
use rand::Rng;

use super::messages::Message;
use super::SimulatedSite;
use crate::support::*;

/// How a worker reports.
#[derive(Clone, Default)]
pub(super) struct Reporting {
    /// The controller that it sends heartbeats to.
    pub(super) controller: usize,
    /// When the next heartbeat is due.
    pub(super) next: Duration,
    /// Until when the machine hangs: it sends nothing and takes nothing.
    pub(super) hangs_until: Duration,
}

impl SimulatedSite {
    pub(super) fn hangs(&self, machine: usize) -> bool {
        self.now < self.reporting[machine].hangs_until
    }

    /// A worker's turn. Without a response it turns to the next controller.
    pub(super) fn run_worker(&mut self, machine: usize) {
        if self.now < self.reporting[machine].next || self.hangs(machine) {
            return;
        }
        let interval = self.times.heartbeat_interval * self.rng.random_range(0.75..1.25);
        self.reporting[machine].next = self.now + Duration::from_secs_f64(interval);
        let heartbeat = self.workers[machine].heartbeat();
        let controller = self.reporting[machine].controller;
        // Relayed to the latest leader, if the asked one leads no more.
        let mut asked = vec![controller];
        if self.times.peers_connected {
            asked.extend(self.latest_leader());
        }
        for asked in asked {
            if self.is_paused(asked) {
                self.clocks(asked);
                break;
            }
            if let Some(response) = self.respond(asked, &heartbeat) {
                let delay = Duration::from_secs_f64(self.rng.random_range(0.0..4.5f64).powi(3) / 20.0);
                let response = Message::HeartbeatResponse {
                    to: machine,
                    incarnation: heartbeat.incarnation,
                    response,
                    heartbeat_sent: self.now,
                };
                self.send(delay, response);
                return;
            }
        }
        self.reporting[machine].controller = (controller + 1) % 3;
        self.reporting[machine].next = self.now + secs(1);
    }

    /// A controller's response to a heartbeat, if it leads and may give one.
    fn respond(&mut self, controller: usize, heartbeat: &Heartbeat) -> Option<HeartbeatResponse> {
        let clocks = self.clocks(controller);
        let leader = self.leaders[controller].as_mut();
        let leader = leader.filter(|leader| !leader.deposed)?;
        if !leader.authority.may_renew_leases(clocks) {
            return None;
        }
        let model = &mut leader.model;
        model.apply_heartbeat(heartbeat, clocks.steady);
        let response = model.heartbeat_response(&heartbeat.machine, heartbeat.token, clocks.steady);
        let Some(mut response) = response else {
            leader.deposed = true;
            return None;
        };
        if !leader.authority.may_act(clocks) {
            response.commands.clear();
        }
        response.commands.extend(model.stops_for_cancelled(heartbeat));
        Some(response)
    }
}
