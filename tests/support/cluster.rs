//! The generated cluster: what may happen to it, and what must hold after each step.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bitternfold::core::evidence::heartbeats::HeartbeatOutcome;
use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::storage::record::{FinalRecord, JobRecord};
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::support::*;
use crate::worker::{Worker, PATIENCE};

/// The lease of the settings.
pub const LEASE: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
pub enum Message {
    Command {
        to: MachineId,
        commands: CommandBatch,
        term: u64,
    },
    Answer {
        from: MachineId,
        report: Option<Heartbeat>,
        term: u64,
    },
    /// A report and when it was sent.
    Heartbeat(Heartbeat, Instant),
    PendingWrite {
        write: PendingWrite,
        term: u64,
    },
    Wrote {
        write: PendingWrite,
        ok: bool,
        term: u64,
    },
    /// A cancellation on its way to be stored.
    Cancel {
        id: JobId,
        term: u64,
    },
    /// The answer that it is.
    CancelStored {
        id: JobId,
        term: u64,
    },
    /// The response to a report, with its token and orders.
    ApiResponse {
        to: MachineId,
        incarnation: u64,
        token: u64,
        orders: Vec<Command>,
        /// When its report was sent.
        sent: Instant,
    },
}

#[derive(Debug, Clone)]
/// A step of a generated run.
pub enum Op {
    Submit {
        tasks: u32,
        cpus: u32,
        red: bool,
        /// Which earlier jobs it waits for.
        awaits: Vec<usize>,
    },
    /// The leader reads how a job ended that others wait for.
    Resolve(usize),
    Cancel(usize),
    Heartbeat(usize),
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    Run(usize, u8),
    Expire(usize),
    Die(usize),
    Release(usize),
    /// Commands and answers reach so many machines no more, or again.
    Unreachable(usize, bool),
    /// Direct commands reach so many machines no more, or again; answers do.
    HearsNoCommands(usize, bool),
    /// Reports of so many machines arrive nowhere, or again.
    Mute(usize, bool),
    /// A job is called off at the very moment at which all tasks on a machine
    /// end, whatever the leader knows of that.
    CancelAtEnd(usize),
    /// Whatever runs or fetches fails, everywhere.
    Fail,
    /// Leaders follow on each other, some messages between arrive.
    Chain(u8),
    /// All controllers are away for longer than a lease.
    Away,
    /// The machine is back at once, with nothing on it.
    Reboot(usize, bool),
    /// A copy of a message is kept back, to arrive much later.
    Copy(usize),
    Late(usize),
    /// The deposed leader, alone with the workers, answers a report.
    OldReport(usize),
    /// The leader stands still for so many seconds while all clocks run on.
    /// What was sent to it, and by it, is still on its way after.
    Freeze(u64),
    Elect,
    Wait(u64),
}

/// A cluster under generated troubles: one leader after the other, its state
/// service, its workers, and the messages between them.
pub struct World {
    pub now: Instant,
    pub term: u64,
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub finals: BTreeMap<JobId, FinalRecord>,
    pub wal: BTreeMap<u64, serde_json::Value>,
    pub model: ClusterModel,
    /// The leader before, which doesn't know that it is over.
    pub old: Option<ClusterModel>,
    pub copies: Vec<Message>,
    pub workers: Vec<Worker>,
    pub mail: Vec<Message>,
    pub mute: BTreeSet<MachineId>,
    pub next_job: u32,
    pub submitted: Vec<JobId>,
    /// The jobs that each job waits for.
    pub awaits: BTreeMap<JobId, Vec<JobId>>,
    pub told: BTreeMap<JobId, JobState>,
}

impl World {
    pub fn new() -> Self {
        let now = start();
        let workers = (0..4)
            .map(|i| Worker::new(&format!("i-{i}"), i % 2 == 0, now))
            .collect();
        Self {
            now,
            term: 1,
            jobs: BTreeMap::new(),
            finals: BTreeMap::new(),
            wal: BTreeMap::new(),
            model: model(1),
            old: None,
            copies: Vec::new(),
            workers,
            mail: Vec::new(),
            mute: BTreeSet::new(),
            next_job: 0,
            submitted: Vec::new(),
            awaits: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    pub fn worker(&mut self, id: &MachineId) -> Option<&mut Worker> {
        self.workers.iter_mut().find(|w| w.id == *id)
    }

    /// Time passes; workers whose lease runs out kill and forget all.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        for w in &mut self.workers {
            w.end_lease(self.now, LEASE);
        }
    }

    /// One round of the leader.
    pub fn round(&mut self) {
        self.model.expire_leases(self.now);
        self.model.plan(self.now);
        let term = self.term;
        for write in self.model.take_writes(self.now) {
            self.mail.push(Message::PendingWrite { write, term });
        }
        for due in self.model.take_due_commands(self.now, 2) {
            let (to, commands) = (due.machine, due.batch);
            for c in &commands.commands {
                if let Command::Start { task, .. } = c {
                    assert!(
                        !matches!(self.told.get(&task.job), Some(JobState::Cancelled)),
                        "{task} of a cancelled job is started"
                    );
                    let named = self.wal.values().any(|v| v.to_string().contains(&*to));
                    assert!(named, "{task} is started on {to}, which the log doesn't name");
                    self.all_needed_are_done(*task);
                }
            }
            self.mail.push(Message::Command { to, commands, term });
        }
    }

    pub fn store(&mut self, w: &PendingWrite) {
        match w {
            PendingWrite::WriteAheadLog(a) => {
                for (n, v) in &a.segments {
                    match v {
                        Some(v) => {
                            let bytes = v.to_string().len();
                            assert!(bytes <= 4096, "a segment of {bytes} bytes");
                            self.wal.insert(*n, v.clone());
                        }
                        None => drop(self.wal.remove(n)),
                    }
                }
            }
            PendingWrite::Final { id, record, .. } => {
                self.jobs.remove(id);
                if let Some(old) = self.finals.insert(*id, record.clone()) {
                    assert_eq!(old.state, record.state, "a final state changed");
                }
            }
            PendingWrite::Ratios(_) => {}
        }
    }

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
                let known = self.model.machines.get(&r.machine);
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

    pub fn tell(&mut self, id: JobId, s: JobState) {
        if let Some(old) = self.told.insert(id, s) {
            if matches!(old, JobState::Done | JobState::Cancelled) {
                assert_eq!(old, s, "{id} went back");
            }
        }
        if s == JobState::Done {
            let f = &self.finals[&id];
            assert_eq!(f.done, self.spec_tasks(id), "{id} is called done too early");
        }
    }

    pub fn spec_tasks(&self, id: JobId) -> u32 {
        self.model
            .jobs
            .get(&id)
            .map_or_else(|| self.finals[&id].done, |j| j.spec.tasks)
    }

    /// No task starts before all jobs that its job needs are stored as done.
    pub fn all_needed_are_done(&self, task: TaskId) {
        for needed in &self.awaits[&task.job] {
            let state = self.finals.get(needed).map(|f| f.state);
            assert_eq!(
                state,
                Some(JobState::Done),
                "{task} starts before {needed} is done"
            );
        }
    }

    /// An answer that renews a worker's lease lets no task live on that the leader
    /// doesn't know of, or whose job is over or cancelled: a direct command may
    /// never reach that worker.
    pub fn renews_nothing_unknown(&self, r: &Heartbeat, orders: &[Command]) {
        let unknown: Vec<_> = self.model.unknown_tasks(r).collect();
        assert!(unknown.is_empty(), "{unknown:?} run on {} unknown", r.machine);
        let slots = &self.model.machines[&r.machine].slots;
        for t in r.tasks.iter().filter(|t| t.state != TaskState::Exited) {
            let slot = slots.get(&t.task).filter(|slot| slot.attempt == t.attempt);
            let open = self.model.jobs.get(&t.task.job).is_some_and(|j| !j.cancelled);
            let stopped = orders.iter().any(
                |o| matches!(o, Command::Stop { task, attempt, .. } if *task == t.task && *attempt == t.attempt),
            );
            assert!(
                slot.is_some() && open || stopped,
                "{} attempt {} lives on with the answer to {}",
                t.task,
                t.attempt,
                r.machine
            );
        }
    }

    /// Whether what is stored says that a job is cancelled, by itself or with a
    /// job that it needs: the plain rule, walked anew each time.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        match (self.finals.get(&id), self.jobs.get(&id)) {
            (Some(f), _) => f.state == JobState::Cancelled,
            (None, Some(r)) if r.cancelled => true,
            _ => self.awaits[&id].iter().any(|needed| self.is_cancelled(*needed)),
        }
    }

    /// What the leader tells from memory agrees with what is stored, also of the
    /// jobs before the one asked for.
    pub fn told_as_stored(&self) {
        for id in self.model.jobs.keys() {
            let Some(view) = self.model.status(*id) else {
                continue;
            };
            let told = view.state == JobState::Cancelled;
            assert_eq!(told, self.is_cancelled(*id), "{id} is called {:?}", view.state);
        }
    }

    /// The leader reads how a job ended that others wait for.
    pub fn resolve(&mut self, which: usize) {
        let unresolved = self.model.dependencies.unresolved();
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

    /// The task that was just started is live on one machine only.
    pub fn no_double(&self, task: TaskId) {
        let live: Vec<_> = self
            .workers
            .iter()
            .filter(|w| w.alive && w.tasks.get(&task).is_some_and(|t| t.1 != TaskState::Exited))
            .map(|w| w.id.clone())
            .collect();
        assert!(live.len() <= 1, "{task} is on {live:?}");
        // Red's tasks use no more than 40 CPUs, wherever they are.
        let cpus: f64 = self
            .workers
            .iter()
            .filter(|w| w.alive)
            .flat_map(|w| &w.tasks)
            .filter(|(_, t)| t.1 != TaskState::Exited)
            .filter_map(|(t, _)| self.jobs.get(&t.job).or(None).map(|j| &j.spec))
            .filter(|s| s.team == "red")
            .map(|s| s.cpus)
            .sum();
        assert!(cpus <= 40.0, "red uses {cpus} CPUs");
    }

    /// Jobs with a task that is nowhere, though some machine has room for it and
    /// its team is under its limit.
    pub fn waiting_beside_room(&self) -> BTreeSet<JobId> {
        let live = |w: &Worker| -> Vec<TaskId> {
            let t = w.tasks.iter().filter(|t| t.1 .1 != TaskState::Exited);
            t.map(|t| *t.0).collect()
        };
        let cpus = |t: &TaskId| self.jobs.get(&t.job).map_or(0.0, |r| r.spec.cpus);
        let there: Vec<_> = self.workers.iter().filter(|w| w.alive).collect();
        let most_free = there
            .iter()
            .map(|w| 8.0 - live(w).iter().map(cpus).sum::<f64>())
            .fold(0.0, f64::max);
        let all: Vec<TaskId> = there.iter().flat_map(|w| live(w)).collect();
        let red = |t: &&TaskId| self.jobs.get(&t.job).is_some_and(|r| r.spec.team == "red");
        let red_uses: f64 = all.iter().filter(red).map(cpus).sum();
        let waits = |r: &&JobRecord| {
            let s = &r.spec;
            let here = all.iter().filter(|t| t.job == s.id).count() as u32;
            let done = self.model.jobs.get(&s.id).map_or(s.tasks, |j| j.done.count());
            let is_done = |needed: &JobId| self.finals.get(needed).is_some_and(|f| f.state == JobState::Done);
            !r.cancelled
                && s.awaits.iter().all(is_done)
                && here + done < s.tasks
                && s.cpus <= most_free
                && (s.team != "red" || red_uses + s.cpus <= 40.0)
        };
        self.jobs.values().filter(waits).map(|r| r.spec.id).collect()
    }

    /// A new leader reads what is stored; the old one's mail stays on its way.
    pub fn elect(&mut self) {
        self.term += 1;
        let mut m = model(self.term);
        for r in self.jobs.values() {
            m.add_job(r.clone(), self.now);
        }
        for (n, v) in &self.wal {
            assert!(m.log.load(*n, v.clone()), "a segment is read as it was written");
        }
        m.load_log(self.now);
        self.old = Some(std::mem::replace(&mut self.model, m));
    }

    /// A user calls a job off: its tasks are stopped at once, its user is told
    /// once that is stored.
    pub fn cancel(&mut self, id: JobId) {
        self.model.cancel(id, self.now);
        let term = self.term;
        self.mail.push(Message::Cancel { id, term });
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
                    .jobs
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
                        .jobs
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
                if self.model.machines.contains_key(&id) {
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
