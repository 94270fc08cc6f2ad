//! What each operation of a generated run does.

use std::time::Duration;

use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::wire::*;

use super::message::Message;
use super::{Op, World, LEASE};
use crate::support::*;
use crate::worker::Worker;

impl World {
    /// The leader reads how a job ended that others wait for.
    pub fn resolve(&mut self, which: usize) {
        let unresolved = self.model.dependencies().unresolved();
        let Some(id) = unresolved.iter().nth(which % unresolved.len().max(1)).copied() else {
            return;
        };
        let Some(record) = self.finals.get(&id) else {
            return;
        };
        let outcome = match record.state {
            JobState::Cancelled => DependencyOutcome::Cancelled,
            _ => DependencyOutcome::Done(None),
        };
        self.model.resolve_dependency(id, outcome);
    }

    pub fn step(&mut self, op: Op) {
        self.step_users(&op);
        self.step_messages(&op);
        self.step_machines(&op);
        self.step_leaders(&op);
        self.round();
        self.told_as_stored();
    }

    /// Users submit and call off.
    pub fn step_users(&mut self, op: &Op) {
        let n = self.workers.len();
        match op.clone() {
            Op::Submit {
                tasks,
                cpus,
                red,
                awaits,
            } => {
                self.next_job += 1;
                let mut spec = job(self.next_job, tasks, f64::from(cpus));
                let named = awaits.iter().filter(|_| !self.submitted.is_empty());
                spec.awaits = named.map(|i| self.submitted[i % self.submitted.len()]).collect();
                self.awaits.insert(spec.id, spec.awaits.clone());
                if red {
                    spec.team = "red".into();
                }
                let rec = record(spec);
                self.submitted.push(rec.spec.id);
                self.jobs.insert(rec.spec.id, rec.clone());
                self.model.add_job(rec, self.now);
            }
            Op::Resolve(i) => self.resolve(i),
            Op::Cancel(i) if !self.submitted.is_empty() => {
                let id = self.submitted[i % self.submitted.len()];
                let open = self
                    .model
                    .jobs()
                    .get(&id)
                    .is_some_and(|j| !j.is_complete() && !j.cancelled);
                if open {
                    self.cancel(id);
                }
            }
            Op::CancelAtEnd(i) => {
                let w = &mut self.workers[i % n];
                let mut ended = Vec::new();
                for (id, t) in &mut w.tasks {
                    if t.1 == TaskState::Running {
                        *t = (t.0, TaskState::Exited, Some(ExitReason::Done));
                        ended.push(id.job);
                    }
                }
                let r = w.heartbeat();
                if w.alive && !self.mute.contains(&r.machine) {
                    self.mail.push(Message::Heartbeat(r, self.now));
                }
                let open = |j: &JobId| {
                    self.model
                        .jobs()
                        .get(j)
                        .is_some_and(|j| !j.is_complete() && !j.cancelled)
                };
                ended.retain(open);
                ended.dedup();
                ended.into_iter().for_each(|id| self.cancel(id));
            }
            _ => {}
        }
    }

    /// Messages are sent, arrive, are lost, repeated or late.
    pub fn step_messages(&mut self, op: &Op) {
        let n = self.workers.len();
        match op.clone() {
            Op::Heartbeat(i) => {
                let w = &mut self.workers[i % n];
                if w.alive && !self.mute.contains(&w.id) {
                    let r = w.heartbeat();
                    self.mail.push(Message::Heartbeat(r, self.now));
                }
            }
            Op::Deliver(i) if !self.mail.is_empty() => {
                let m = self.mail.remove(i % self.mail.len());
                self.deliver(m);
            }
            Op::Repeat(i) if !self.mail.is_empty() => {
                let m = self.mail[i % self.mail.len()].clone();
                self.repeat(m);
            }
            Op::Lose(i) if !self.mail.is_empty() => {
                let i = i % self.mail.len();
                match self.mail[i].clone() {
                    // Given up by the leader, yet it may still arrive.
                    Message::Command { to, term, .. } => {
                        self.mail.push(Message::Answer {
                            from: to,
                            report: None,
                            term,
                        });
                    }
                    Message::Heartbeat(..) | Message::ApiResponse { .. } => drop(self.mail.remove(i)),
                    Message::Answer { from, term, .. } => {
                        self.mail[i] = Message::Answer {
                            from,
                            report: None,
                            term,
                        };
                    }
                    _ => {}
                }
            }
            Op::Mute(many, mute) => {
                for w in self.workers.iter().take(many % n + 1) {
                    if mute {
                        self.mute.insert(w.id.clone());
                    } else {
                        self.mute.remove(&w.id);
                    }
                }
            }
            Op::Copy(i) if !self.mail.is_empty() => {
                self.copies.push(self.mail[i % self.mail.len()].clone());
            }
            Op::Late(i) if !self.copies.is_empty() => {
                let m = self.copies[i % self.copies.len()].clone();
                self.repeat(m);
            }
            Op::OldReport(i) => {
                let w = &mut self.workers[i % n];
                if let Some(old) = self.old.as_mut().filter(|_| w.alive) {
                    let r = w.heartbeat();
                    old.apply_heartbeat(&r, self.now);
                    if let Some(response) = old.heartbeat_response(&r.machine, r.token, self.now) {
                        let orders = old.stops_for_cancelled(&r);
                        self.mail.push(Message::ApiResponse {
                            to: r.machine,
                            incarnation: r.incarnation,
                            token: response.token,
                            orders,
                            sent: self.now,
                        });
                    }
                }
            }
            _ => {}
        }
    }

    /// Workers run, fail, end, come back.
    pub fn step_machines(&mut self, op: &Op) {
        let n = self.workers.len();
        match op.clone() {
            Op::Run(i, how) => {
                let w = &mut self.workers[i % n];
                for t in w.tasks.values_mut() {
                    *t = match (t.1, how % 5) {
                        (TaskState::Fetching, _) => (t.0, TaskState::Running, None),
                        (TaskState::Running, 0..=2) => (t.0, TaskState::Exited, Some(ExitReason::Done)),
                        (TaskState::Running, 3) => (t.0, TaskState::Exited, Some(ExitReason::Failed)),
                        _ => *t,
                    };
                }
            }
            Op::Fail => {
                for t in self.workers.iter_mut().flat_map(|w| w.tasks.values_mut()) {
                    if matches!(t.1, TaskState::Fetching | TaskState::Running) {
                        *t = (t.0, TaskState::Exited, Some(ExitReason::Failed));
                    }
                }
            }
            Op::Expire(i) => {
                let w = &mut self.workers[i % n];
                w.tasks.clear();
                w.incarnation += 1;
                w.sequence = 0;
            }
            Op::Die(i) => self.workers[i % n].alive = false,
            Op::Unreachable(many, unreachable) => {
                for w in self.workers.iter_mut().take(many % n + 1) {
                    w.unreachable = unreachable;
                }
            }
            Op::HearsNoCommands(many, deaf) => {
                for w in self.workers.iter_mut().take(many % n + 1) {
                    w.hears_no_commands = deaf;
                }
            }
            Op::Reboot(i, renewed) => {
                let w = &mut self.workers[i % n];
                w.tasks.clear();
                if renewed {
                    w.incarnation += 1;
                    w.sequence = 0;
                }
            }
            Op::Release(i) => {
                // The cloud's 200: the machine is gone, another takes its name's place.
                let id = self.workers[i % n].id.clone();
                if self.model.machines().contains_key(&id) {
                    self.workers[i % n].alive = false;
                    self.model.released(&id, self.now);
                    let fresh = format!("{id}x");
                    // Names are never used again.
                    let used = self.workers.iter().any(|w| *w.id == *fresh);
                    if fresh.len() < 9 && !used {
                        self.workers.push(Worker::new(&fresh, false, self.now));
                    }
                }
            }
            _ => {}
        }
    }

    /// Time passes, leaders change.
    pub fn step_leaders(&mut self, op: &Op) {
        match op.clone() {
            Op::Chain(leaders) => {
                for i in 0..usize::from(leaders) {
                    self.elect();
                    self.round();
                    self.pass(Duration::from_millis(1500));
                    for k in 0..3 {
                        if !self.mail.is_empty() {
                            let m = self.mail.remove((i * 7 + k * 3) % self.mail.len());
                            self.deliver(m);
                        }
                    }
                }
            }
            Op::Away => {
                self.pass(LEASE + secs(2));
                self.elect();
            }
            Op::Elect => self.elect(),
            Op::Wait(ms) => self.pass(Duration::from_millis(ms)),
            Op::Freeze(s) => {
                self.pass(secs(s));
                self.model.ignore_silence_before(self.now);
            }
            _ => {}
        }
    }
}
