//! Workers: each sends its heartbeat when it is due.

use std::time::Duration;

use bitternfold::wire::*;
use rand::Rng;

use super::messages::Message;
use super::SimulatedSite;
use crate::support::*;

/// Where and when a worker sends its heartbeats.
#[derive(Clone, Default)]
pub(super) struct Reporting {
    /// The controller that it sends heartbeats to.
    pub(super) controller: usize,
    /// When the next heartbeat is due.
    pub(super) next_due: Duration,
    /// When the machine stops hanging. Until then it neither sends nor receives anything.
    pub(super) hangs_until: Duration,
}

impl SimulatedSite {
    pub(super) fn is_hanging(&self, machine: usize) -> bool {
        self.now < self.reporting[machine].hangs_until
    }

    /// Sends the heartbeat of a worker if it is due. If no controller responds, the worker
    /// sends the next one to the next controller.
    pub(super) fn run_worker(&mut self, machine: usize) {
        if self.now < self.reporting[machine].next_due || self.is_hanging(machine) {
            return;
        }
        let interval = self.scenario.heartbeat_interval * self.rng.random_range(0.75..1.25);
        self.reporting[machine].next_due = self.now + Duration::from_secs_f64(interval);
        let heartbeat = self.workers[machine].next_heartbeat();
        let controller = self.reporting[machine].controller;
        // A controller that doesn't lead relays the heartbeat to the latest leader.
        let mut receivers = vec![controller];
        if self.scenario.peers_connected {
            receivers.extend(self.latest_leader());
        }
        for receiver in receivers {
            if self.is_paused(receiver) {
                // Draws from the random generator as `respond` does.
                self.read_clocks(receiver);
                break;
            }
            if let Some(response) = self.respond(receiver, &heartbeat) {
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
        self.reporting[machine].next_due = self.now + secs(1);
    }

    /// The response of a controller to a heartbeat, if it leads and may renew leases.
    fn respond(&mut self, controller: usize, heartbeat: &Heartbeat) -> Option<HeartbeatResponse> {
        let clocks = self.read_clocks(controller);
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
