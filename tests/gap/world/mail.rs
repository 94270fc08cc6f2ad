//! Messages between leaders and workers: how they are sent, lost, held back and delivered.

use std::time::Duration;

use bitternfold::wire::*;
use rand::Rng;

use super::{World, TICK};
use crate::support::*;
use crate::worker::RESPONSE_TIMEOUT;

/// Something on its way.
pub(super) enum Mail {
    Command {
        to: usize,
        from: usize,
        term: u64,
        commands: CommandBatch,
        /// Its sender has given it up.
        late: bool,
    },
    Answer {
        to: usize,
        term: u64,
        machine: MachineId,
        report: Option<Heartbeat>,
    },
    ApiResponse {
        to: usize,
        incarnation: u64,
        reply: HeartbeatResponse,
        sent: Duration,
    },
}

impl World {
    pub(super) fn send(&mut self, from: usize, term: u64, id: &MachineId, commands: CommandBatch) {
        let to = self.workers.iter().position(|w| w.id == *id).expect("known");
        let troubled = self.now > secs(20);
        let late = troubled && self.rng.random_bool(self.times.lost);
        let mut after = TICK;
        if late {
            // Given up by its sender; it may still arrive, unless nothing does.
            after = Duration::from_secs_f64(self.rng.random_range(0.0..self.times.held + 0.1));
            let machine = id.clone();
            let given_up = Mail::Answer {
                to: from,
                term,
                machine,
                report: None,
            };
            self.mail.push((self.now + Duration::from_millis(1500), given_up));
        }
        if !late || self.times.lost < 1.0 {
            let command = Mail::Command {
                to,
                from,
                term,
                commands,
                late,
            };
            self.mail.push((self.now + after, command));
        }
    }

    pub(super) fn deliver(&mut self, m: Mail) {
        match m {
            // It waits for a machine that hangs.
            Mail::Command { to, .. } if self.now < self.to[to].2 => self.mail.push((self.to[to].2, m)),
            Mail::Command {
                to,
                from,
                term,
                commands,
                late,
            } => {
                let w = &mut self.workers[to];
                w.execute(&commands);
                for t in w.tasks.values_mut().filter(|t| t.state == TaskState::Fetching) {
                    t.state = TaskState::Running;
                }
                if !late {
                    let (machine, report) = (w.id.clone(), Some(w.heartbeat()));
                    let a = Mail::Answer {
                        to: from,
                        term,
                        machine,
                        report,
                    };
                    self.mail.push((self.now + TICK, a));
                }
            }
            Mail::Answer {
                to,
                term,
                machine,
                report,
            } => {
                let now = self.clock(to);
                if let Some(l) = self.leaders[to].as_mut().filter(|l| l.term == term) {
                    l.model.command_finished(&machine, report.as_ref(), now);
                }
            }
            Mail::ApiResponse {
                to,
                incarnation,
                reply,
                sent,
            } => {
                let hangs = self.now < self.to[to].2;
                let at = self.base + sent.mul_f64(1.0 + self.drift[3 + to]);
                let w = &mut self.workers[to];
                let dropped = hangs
                    || self.now > sent + RESPONSE_TIMEOUT
                    || incarnation != w.incarnation
                    || reply.token < w.token;
                if !dropped {
                    w.lease_renewed = w.lease_renewed.max(at);
                    w.execute(&CommandBatch {
                        token: reply.token,
                        incarnation,
                        commands: reply.commands,
                    });
                }
            }
        }
    }
}
