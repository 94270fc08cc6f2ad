//! The arrival of a message, once or as a copy of it.

use bitternfold::core::evidence::heartbeats::HeartbeatOutcome;
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;

use super::message::Message;
use super::World;
use crate::worker::{Worker, PATIENCE};

impl World {
    pub fn deliver(&mut self, m: Message) {
        match m {
            Message::Command { to, commands, term } => {
                let hears = |w: &&mut Worker| w.alive && !w.unreachable && !w.hears_no_commands;
                let Some(w) = self.worker(&to).filter(hears) else {
                    self.mail.push(Message::Answer {
                        from: to,
                        report: None,
                        term,
                    });
                    return;
                };
                let started = w.run(&commands);
                let report = Some(w.heartbeat());
                for t in started {
                    self.no_double(t);
                    self.all_needed_are_done(t);
                }
                self.mail.push(Message::Answer {
                    from: to,
                    report,
                    term,
                });
            }
            Message::Answer { from, report, term } if term == self.term => {
                self.model.command_finished(&from, report.as_ref(), self.now);
            }
            Message::Heartbeat(r, sent) => {
                let outcome = self.model.apply_heartbeat(&r, self.now);
                let known = self.model.machines().get(&r.machine);
                let over = known.is_none_or(|m| {
                    m.newest_message.0 != r.incarnation || m.incarnation_ended(r.incarnation)
                });
                match outcome {
                    HeartbeatOutcome::MachineReleased => return,
                    HeartbeatOutcome::Outdated if over => return,
                    HeartbeatOutcome::Outdated | HeartbeatOutcome::Applied => {}
                }
                if let Some(response) = self.model.heartbeat_response(&r.machine, r.token, self.now) {
                    let mut orders = response.commands;
                    orders.extend(self.model.stops_for_cancelled(&r));
                    self.renews_nothing_unknown(&r, &orders);
                    self.mail.push(Message::ApiResponse {
                        to: r.machine,
                        incarnation: r.incarnation,
                        token: response.token,
                        orders,
                        sent,
                    });
                }
            }
            Message::ApiResponse {
                to,
                incarnation,
                token,
                orders,
                sent,
            } => {
                let now = self.now;
                if let Some(w) = self.worker(&to).filter(|w| w.alive && !w.unreachable) {
                    // Answers that are late, of an earlier session or of an
                    // earlier leader are dropped.
                    if now > sent + PATIENCE || incarnation != w.incarnation || token < w.token {
                        return;
                    }
                    w.renewed = w.renewed.max(sent);
                    let started = w.run(&CommandBatch {
                        token,
                        incarnation,
                        commands: orders,
                    });
                    assert!(started.is_empty(), "a response starts nothing");
                }
            }
            // Guarded by the leader's key; its user is told once it is stored.
            Message::Cancel { id, term } if term == self.term => {
                let Some(r) = self.jobs.get_mut(&id) else {
                    panic!("{id} was finished while its cancellation was on its way");
                };
                r.cancelled = true;
                self.mail.push(Message::CancelStored { id, term });
            }
            Message::CancelStored { id, term } if term == self.term => {
                self.model.cancel_stored(id);
                self.tell(id, JobState::Cancelled);
            }
            Message::PendingWrite { write, term } => {
                // Guarded by the leader's key: an earlier leader's is refused.
                let ok = term == self.term;
                if ok {
                    self.store(&write);
                }
                self.mail.push(Message::Wrote { write, ok, term });
            }
            Message::Wrote { write, ok, term } if term == self.term => {
                if let (true, PendingWrite::Final { id, record, .. }) = (ok, &write) {
                    self.tell(*id, record.state);
                }
                self.model.write_finished(&write, ok, self.now);
            }
            _ => {}
        }
    }

    /// A copy of a message arrives, now or much later than the message itself.
    pub fn repeat(&mut self, m: Message) {
        match m {
            // Its answer reaches nobody.
            Message::Heartbeat(r, _) => {
                self.model.apply_heartbeat(&r, self.now);
                let _ = self.model.heartbeat_response(&r.machine, r.token, self.now);
            }
            Message::Command { to, commands, .. } => {
                let hears = |w: &&mut Worker| w.alive && !w.unreachable && !w.hears_no_commands;
                if let Some(w) = self.worker(&to).filter(hears) {
                    for t in w.run(&commands) {
                        self.no_double(t);
                    }
                }
            }
            // A transaction's conditions hold once at the most, and what its
            // sender makes of its answer, or of one given up, it makes once.
            Message::ApiResponse { .. }
            | Message::Cancel { .. }
            | Message::CancelStored { .. }
            | Message::PendingWrite { .. }
            | Message::Wrote { .. }
            | Message::Answer { .. } => {}
        }
    }
}
