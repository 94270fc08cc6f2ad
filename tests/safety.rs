//! Election and evidence under lost, late, repeated and reordered messages:
//! no task is in two places, no limit is passed, no state goes back, nothing
//! of a cancelled job is started, nor of one whose dependencies aren't done, and
//! what is told of a job agrees with what is stored of the jobs that it needs.
//! Leaders come and go; what an earlier one has sent still arrives.

mod support;
#[path = "support/worker.rs"]
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bitternfold::core::dependencies::DependencyOutcome;
use bitternfold::core::record::{FinalRecord, JobRecord};
use bitternfold::core::store_plan::Write;
use bitternfold::core::Model;
use bitternfold::wire::*;
use proptest::prelude::*;
use support::*;
use worker::{Worker, PATIENCE};

/// The lease of the settings.
const LEASE: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
enum Message {
    Command {
        to: MachineId,
        commands: Commands,
        term: u64,
    },
    Answer {
        from: MachineId,
        report: Option<Report>,
        term: u64,
    },
    /// A report and when it was sent.
    Report(Report, Instant),
    Write {
        write: Write,
        term: u64,
    },
    Wrote {
        write: Write,
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
    Reply {
        to: MachineId,
        session: u64,
        token: u64,
        orders: Vec<Command>,
        /// When its report was sent.
        sent: Instant,
    },
}

#[derive(Debug, Clone)]
enum Op {
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
    Report(usize),
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    Run(usize, u8),
    Expire(usize),
    Die(usize),
    Release(usize),
    /// Commands and answers reach so many machines no more, or again.
    Deaf(usize, bool),
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

struct World {
    now: Instant,
    term: u64,
    jobs: BTreeMap<JobId, JobRecord>,
    finals: BTreeMap<JobId, FinalRecord>,
    wal: BTreeMap<u64, serde_json::Value>,
    model: Model,
    /// The leader before, which doesn't know that it is over.
    old: Option<Model>,
    copies: Vec<Message>,
    workers: Vec<Worker>,
    mail: Vec<Message>,
    mute: BTreeSet<MachineId>,
    next_job: u32,
    submitted: Vec<JobId>,
    /// The jobs that each job waits for.
    awaits: BTreeMap<JobId, Vec<JobId>>,
    told: BTreeMap<JobId, Standing>,
}

impl World {
    fn new() -> Self {
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

    fn worker(&mut self, id: &MachineId) -> Option<&mut Worker> {
        self.workers.iter_mut().find(|w| w.id == *id)
    }

    /// Time passes; workers whose lease runs out kill and forget all.
    fn pass(&mut self, time: Duration) {
        self.now += time;
        for w in &mut self.workers {
            w.end_lease(self.now, LEASE);
        }
    }

    /// One round of the leader.
    fn round(&mut self) {
        self.model.clear_lapsed(self.now);
        self.model.plan(self.now);
        let term = self.term;
        for write in self.model.take_writes(self.now) {
            self.mail.push(Message::Write { write, term });
        }
        for (to, _, commands) in self.model.commands(self.now, 2) {
            for c in &commands.commands {
                if let Command::Start { task, .. } = c {
                    assert!(
                        !matches!(self.told.get(&task.job), Some(Standing::Cancelled)),
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

    fn store(&mut self, w: &Write) {
        match w {
            Write::Log(a) => {
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
            Write::Final { id, record, .. } => {
                self.jobs.remove(id);
                if let Some(old) = self.finals.insert(*id, record.clone()) {
                    assert_eq!(old.state, record.state, "a final state changed");
                }
            }
            Write::Ratios(_) => {}
        }
    }

    fn deliver(&mut self, m: Message) {
        match m {
            Message::Command { to, commands, term } => {
                let Some(w) = self.worker(&to).filter(|w| w.alive && !w.deaf) else {
                    self.mail.push(Message::Answer {
                        from: to,
                        report: None,
                        term,
                    });
                    return;
                };
                let started = w.run(&commands);
                let report = Some(w.report());
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
                self.model.commanded(&from, report.as_ref(), self.now);
            }
            Message::Report(r, sent) => {
                self.model.apply_report(&r, self.now);
                if let Some((token, mut orders)) = self.model.reply(&r.machine, r.token, self.now) {
                    orders.extend(self.model.stops(&r));
                    self.mail.push(Message::Reply {
                        to: r.machine,
                        session: r.session,
                        token,
                        orders,
                        sent,
                    });
                }
            }
            Message::Reply {
                to,
                session,
                token,
                orders,
                sent,
            } => {
                let now = self.now;
                if let Some(w) = self.worker(&to).filter(|w| w.alive && !w.deaf) {
                    // Answers that are late, of an earlier session or of an
                    // earlier leader are dropped.
                    if now > sent + PATIENCE || session != w.session || token < w.token {
                        return;
                    }
                    w.renewed = w.renewed.max(sent);
                    let started = w.run(&Commands {
                        token,
                        session,
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
                self.tell(id, Standing::Cancelled);
            }
            Message::Write { write, term } => {
                // Guarded by the leader's key: an earlier leader's is refused.
                let ok = term == self.term;
                if ok {
                    self.store(&write);
                }
                self.mail.push(Message::Wrote { write, ok, term });
            }
            Message::Wrote { write, ok, term } if term == self.term => {
                if let (true, Write::Final { id, record, .. }) = (ok, &write) {
                    self.tell(*id, record.state);
                }
                self.model.written(&write, ok, self.now);
            }
            _ => {}
        }
    }

    /// A copy of a message arrives, now or much later than the message itself.
    fn repeat(&mut self, m: Message) {
        match m {
            // Its answer reaches nobody.
            Message::Report(r, _) => {
                self.model.apply_report(&r, self.now);
                let _ = self.model.reply(&r.machine, r.token, self.now);
            }
            Message::Command { to, commands, .. } => {
                if let Some(w) = self.worker(&to).filter(|w| w.alive && !w.deaf) {
                    for t in w.run(&commands) {
                        self.no_double(t);
                    }
                }
            }
            // A transaction's conditions hold once at the most, and what its
            // sender makes of its answer, or of one given up, it makes once.
            Message::Reply { .. }
            | Message::Cancel { .. }
            | Message::CancelStored { .. }
            | Message::Write { .. }
            | Message::Wrote { .. }
            | Message::Answer { .. } => {}
        }
    }

    fn tell(&mut self, id: JobId, s: Standing) {
        if let Some(old) = self.told.insert(id, s) {
            if matches!(old, Standing::Done | Standing::Cancelled) {
                assert_eq!(old, s, "{id} went back");
            }
        }
        if s == Standing::Done {
            let f = &self.finals[&id];
            assert_eq!(f.done, self.spec_tasks(id), "{id} is called done too early");
        }
    }

    fn spec_tasks(&self, id: JobId) -> u32 {
        self.model
            .jobs
            .get(&id)
            .map_or_else(|| self.finals[&id].done, |j| j.spec.tasks)
    }

    /// No task starts before all jobs that its job needs are stored as done.
    fn all_needed_are_done(&self, task: TaskId) {
        for needed in &self.awaits[&task.job] {
            let state = self.finals.get(needed).map(|f| f.state);
            assert_eq!(
                state,
                Some(Standing::Done),
                "{task} starts before {needed} is done"
            );
        }
    }

    /// Whether what is stored says that a job is cancelled, by itself or with a
    /// job that it needs: the plain rule, walked anew each time.
    fn is_cancelled(&self, id: JobId) -> bool {
        match (self.finals.get(&id), self.jobs.get(&id)) {
            (Some(f), _) => f.state == Standing::Cancelled,
            (None, Some(r)) if r.cancelled => true,
            _ => self.awaits[&id].iter().any(|needed| self.is_cancelled(*needed)),
        }
    }

    /// What the leader tells from memory agrees with what is stored, also of the
    /// jobs before the one asked for.
    fn told_as_stored(&self) {
        for id in self.model.jobs.keys() {
            let Some(view) = self.model.view(*id) else {
                continue;
            };
            let told = view.state == Standing::Cancelled;
            assert_eq!(told, self.is_cancelled(*id), "{id} is called {:?}", view.state);
        }
    }

    /// The leader reads how a job ended that others wait for.
    fn resolve(&mut self, which: usize) {
        let unresolved = self.model.dependencies.unresolved();
        let Some(id) = unresolved.iter().nth(which % unresolved.len().max(1)).copied() else {
            return;
        };
        let Some(record) = self.finals.get(&id) else {
            return;
        };
        let outcome = match record.state {
            Standing::Cancelled => DependencyOutcome::Cancelled,
            _ => DependencyOutcome::Done(None),
        };
        self.model.resolve_dependency(id, outcome);
    }

    /// The task that was just started is live on one machine only.
    fn no_double(&self, task: TaskId) {
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
    fn waiting_beside_room(&self) -> BTreeSet<JobId> {
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
            let is_done = |needed: &JobId| self.finals.get(needed).is_some_and(|f| f.state == Standing::Done);
            !r.cancelled
                && s.awaits.iter().all(is_done)
                && here + done < s.tasks
                && s.cpus <= most_free
                && (s.team != "red" || red_uses + s.cpus <= 40.0)
        };
        self.jobs.values().filter(waits).map(|r| r.spec.id).collect()
    }

    /// A new leader reads what is stored; the old one's mail stays on its way.
    fn elect(&mut self) {
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
    fn cancel(&mut self, id: JobId) {
        self.model.cancel(id, self.now);
        let term = self.term;
        self.mail.push(Message::Cancel { id, term });
    }

    fn step(&mut self, op: Op) {
        self.step_users(&op);
        self.step_messages(&op);
        self.step_machines(&op);
        self.step_leaders(&op);
        self.round();
        self.told_as_stored();
    }

    /// Users submit and call off.
    fn step_users(&mut self, op: &Op) {
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
                    .is_some_and(|j| !j.complete() && !j.cancelled);
                if open {
                    self.cancel(id);
                }
            }
            Op::CancelAtEnd(i) => {
                let w = &mut self.workers[i % n];
                let mut ended = Vec::new();
                for (id, t) in &mut w.tasks {
                    if t.1 == TaskState::Running {
                        *t = (t.0, TaskState::Exited, Some(Why::Done));
                        ended.push(id.job);
                    }
                }
                let r = w.report();
                if w.alive && !self.mute.contains(&r.machine) {
                    self.mail.push(Message::Report(r, self.now));
                }
                let open = |j: &JobId| {
                    self.model
                        .jobs
                        .get(j)
                        .is_some_and(|j| !j.complete() && !j.cancelled)
                };
                ended.retain(open);
                ended.dedup();
                ended.into_iter().for_each(|id| self.cancel(id));
            }
            _ => {}
        }
    }

    /// Messages are sent, arrive, are lost, repeated or late.
    fn step_messages(&mut self, op: &Op) {
        let n = self.workers.len();
        match op.clone() {
            Op::Report(i) => {
                let w = &mut self.workers[i % n];
                if w.alive && !self.mute.contains(&w.id) {
                    let r = w.report();
                    self.mail.push(Message::Report(r, self.now));
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
                    Message::Report(..) | Message::Reply { .. } => drop(self.mail.remove(i)),
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
                    let r = w.report();
                    old.apply_report(&r, self.now);
                    if let Some((token, _)) = old.reply(&r.machine, r.token, self.now) {
                        let orders = old.stops(&r);
                        self.mail.push(Message::Reply {
                            to: r.machine,
                            session: r.session,
                            token,
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
    fn step_machines(&mut self, op: &Op) {
        let n = self.workers.len();
        match op.clone() {
            Op::Run(i, how) => {
                let w = &mut self.workers[i % n];
                for t in w.tasks.values_mut() {
                    *t = match (t.1, how % 5) {
                        (TaskState::Fetching, _) => (t.0, TaskState::Running, None),
                        (TaskState::Running, 0..=2) => (t.0, TaskState::Exited, Some(Why::Done)),
                        (TaskState::Running, 3) => (t.0, TaskState::Exited, Some(Why::Error)),
                        _ => *t,
                    };
                }
            }
            Op::Fail => {
                for t in self.workers.iter_mut().flat_map(|w| w.tasks.values_mut()) {
                    if matches!(t.1, TaskState::Fetching | TaskState::Running) {
                        *t = (t.0, TaskState::Exited, Some(Why::Error));
                    }
                }
            }
            Op::Expire(i) => {
                let w = &mut self.workers[i % n];
                w.tasks.clear();
                w.session += 1;
                w.seq = 0;
            }
            Op::Die(i) => self.workers[i % n].alive = false,
            Op::Deaf(many, deaf) => {
                for w in self.workers.iter_mut().take(many % n + 1) {
                    w.deaf = deaf;
                }
            }
            Op::Reboot(i, renewed) => {
                let w = &mut self.workers[i % n];
                w.tasks.clear();
                if renewed {
                    w.session += 1;
                    w.seq = 0;
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
    fn step_leaders(&mut self, op: &Op) {
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
                self.model.listen_from(self.now);
            }
            _ => {}
        }
    }
}

/// Half of all jobs wait for none, the others for up to three.
fn any_submission() -> impl Strategy<Value = Op> {
    let awaits = prop_oneof![Just(Vec::new()), proptest::collection::vec(any::<usize>(), 1..4)];
    (1..5u32, 1..9u32, any::<bool>(), awaits).prop_map(|(tasks, cpus, red, awaits)| Op::Submit {
        tasks,
        cpus,
        red,
        awaits,
    })
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => any_submission(),
        1 => any::<usize>().prop_map(Op::Cancel),
        2 => any::<usize>().prop_map(Op::Resolve),
        6 => any::<usize>().prop_map(Op::Report),
        20 => any::<usize>().prop_map(Op::Deliver),
        2 => any::<usize>().prop_map(Op::Repeat),
        2 => any::<usize>().prop_map(Op::Lose),
        4 => (any::<usize>(), any::<u8>()).prop_map(|(i, h)| Op::Run(i, h)),
        1 => any::<usize>().prop_map(Op::Expire),
        1 => any::<usize>().prop_map(Op::Release),
        1 => any::<usize>().prop_map(Op::Die),
        1 => (0..4usize, any::<bool>()).prop_map(|(m, d)| Op::Deaf(m, d)),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(i, r)| Op::Reboot(i, r)),
        1 => (0..4usize, any::<bool>()).prop_map(|(m, d)| Op::Mute(m, d)),
        1 => any::<usize>().prop_map(Op::CancelAtEnd),
        1 => (2..11u8).prop_map(Op::Chain),
        1 => Just(Op::Away),
        3 => Just(Op::Fail),
        2 => any::<usize>().prop_map(Op::Copy),
        2 => any::<usize>().prop_map(Op::Late),
        2 => any::<usize>().prop_map(Op::OldReport),
        1 => Just(Op::Elect),
        3 => (1..2000u64).prop_map(Op::Wait),
        1 => (1..60u64).prop_map(Op::Freeze),
    ]
}

/// A world in which all that was done, and whose messages arrive again.
fn after_trouble(ops: Vec<Op>) -> World {
    let mut w = World::new();
    for op in ops {
        if !matches!(op, Op::Die(_)) {
            w.step(op);
        }
    }
    w.step(Op::Deaf(usize::MAX - 1, false));
    w.mute.clear();
    for x in &mut w.workers {
        x.deaf = false;
    }
    w
}

/// Trouble is over: all gets done, and nobody waits for long beside room.
fn quiet_ending(w: &mut World) -> Result<(), TestCaseError> {
    let mut since = BTreeMap::new();
    for i in 0..9600usize {
        // Tasks run for long, so that work waits and every machine is needed.
        let ends = if i / 8 % 60 < 8 { 0 } else { 4 };
        let op = match i % 8 {
            0 => Op::Report(i / 8),
            1 => Op::Run(i / 8, ends),
            7 => Op::Wait(400),
            6 => Op::Resolve(0),
            _ => Op::Deliver(0),
        };
        // What the fleet does with silent machines.
        let alive = |id: &MachineId| w.workers.iter().any(|x| x.alive && x.id == *id);
        let dead: Vec<MachineId> = w.model.machines.keys().filter(|id| !alive(id)).cloned().collect();
        for id in dead {
            w.model.released(&id, w.now);
        }
        w.step(op);
        let waiting = w.waiting_beside_room();
        since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let t = *since.entry(id).or_insert(w.now);
            prop_assert!(
                w.now - t <= secs(90),
                "{id} waits for {:?} beside room",
                w.now - t
            );
        }
    }
    let open: BTreeSet<_> = w.jobs.keys().collect();
    prop_assert!(open.is_empty(), "left over: {:?}, mail {}", open, w.mail.len());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, max_shrink_iters: 300, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn no_failure_puts_a_task_in_two_places(ops in proptest::collection::vec(any_op(), 50..400)) {
        let mut w = World::new();
        for op in ops {
            w.step(op);
        }
    }

    /// Once the trouble ends, every job that isn't cancelled gets done, and none
    /// waits for long while a machine that fits has room.
    #[test]
    fn all_work_is_done_in_the_end(ops in proptest::collection::vec(any_op(), 20..200)) {
        let mut w = after_trouble(ops);
        quiet_ending(&mut w)?;
    }

    /// The same after all that runs has failed everywhere, six times in a row.
    #[test]
    fn nobody_waits_beside_room_after_failing_everywhere(ops in proptest::collection::vec(any_op(), 20..200)) {
        let mut w = after_failing_everywhere(ops);
        quiet_ending(&mut w)?;
    }
}

/// The world after some trouble, the last of which is that all that runs
/// fails, six times.
fn after_failing_everywhere(ops: Vec<Op>) -> World {
    let mut w = after_trouble(ops);
    for i in 0..240usize {
        let op = match (i % 40, i % 8) {
            (39, _) => Op::Fail,
            (_, 0) => Op::Report(i / 8),
            (_, 7) => Op::Wait(400),
            _ => Op::Deliver(0),
        };
        w.step(op);
    }
    w
}

#[test]
fn a_job_that_failed_everywhere_is_back_at_full_width_in_time() {
    // A generated sequence after which tasks waited for 90.4 s beside room:
    // pauses of 32 s, then one task at a time, while machines stayed cordoned.
    let submit = |tasks, cpus, red| Op::Submit {
        tasks,
        cpus,
        red,
        awaits: Vec::new(),
    };
    let deliver = Op::Deliver;
    let ops = vec![
        submit(4, 8, false),
        deliver(8392230948040143242),
        deliver(16564175535304606279),
        Op::Away,
        Op::Report(9103296329697265438),
        Op::Elect,
        Op::Report(4200274648089707579),
        submit(2, 3, true),
        Op::Lose(16004930154143770109),
        deliver(17343191845699540759),
        Op::Lose(4468235302978096618),
        deliver(1425582355381907534),
        deliver(13532930482197435665),
        submit(3, 2, false),
        submit(4, 8, true),
        deliver(14900104632600383177),
        deliver(9102860268548386656),
        Op::Deaf(3, true),
        deliver(8569058169103209391),
        Op::Cancel(12789475987345334307),
        deliver(4598935939551699462),
        Op::Cancel(11118938990765730372),
        Op::Chain(7),
        Op::CancelAtEnd(13691221138265307172),
        deliver(6658439204812937593),
        Op::Release(2914089572435201884),
        Op::Lose(14365060187647711373),
        Op::Report(17289338726488251579),
        deliver(2993201230049916690),
        Op::Wait(1597),
        deliver(9587532462849967997),
        deliver(9131733887317759306),
        deliver(9369583810463035282),
        Op::Elect,
        submit(1, 6, true),
        deliver(9037973649855983994),
        deliver(11834334059939642239),
        deliver(5766986400068430867),
    ];
    let mut w = after_failing_everywhere(ops);
    quiet_ending(&mut w).expect("nobody waits for long");
}

#[test]
fn a_report_older_than_the_last_start_settles_nothing() {
    // A start with no answer may still arrive: only a token at least as high
    // as the start's, in the worker's own words, shows that it can't.
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_report(&report("i-1", "small", "north", false, 7, 1), now);
    m.add_job(record(job(1, 1, 4.0)), now);
    m.plan(now);
    let w = m.take_writes(now);
    assert!(!w.is_empty());
    assert!(
        m.command(&id, now).is_none_or(|(_, c)| c.commands.is_empty()),
        "not before it is stored"
    );
    m.commanded(&id, None, now);
    w.iter().for_each(|w| m.written(w, true, now));
    let (_, c) = m.command(&id, now + secs(1)).expect("the start");
    assert!(matches!(c.commands[..], [Command::Start { .. }]));
    m.commanded(&id, None, now + secs(2));
    m.apply_report(&report("i-1", "small", "north", false, 7, 2), now + secs(2));
    assert_eq!(
        m.machines[&id].slots.len(),
        1,
        "unanswered is unknown, not failed"
    );
    let mut later = report("i-1", "small", "north", false, 7, 3);
    later.token = c.token;
    m.apply_report(&later, now + secs(3));
    assert!(m.machines[&id].slots.is_empty());
}

#[test]
fn a_reply_never_carries_the_token_of_a_command_on_its_way() {
    // Else the worker would report that token though the command, and the
    // start in it, is still to come, and is accepted with an equal token.
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_report(&report("i-1", "small", "north", false, 7, 1), now);
    m.machines.get_mut(&id).expect("known").probe = true;
    let (_, c) = m.command(&id, now).expect("a command");
    assert!(m.reply(&id, 7 << 20, now).expect("a token").0 < c.token);
    m.machines.get_mut(&id).expect("known").seen_token = 3 << 20;
    let (fresh, orders) = m.reply(&id, 3 << 20, now).expect("a token");
    assert!(
        fresh > c.token,
        "a worker of an earlier term gets one that no command carries"
    );
    assert!(orders.is_empty());
    assert_eq!(
        m.reply(&id, 8 << 20, now),
        None,
        "a later leader has spoken: no answer"
    );
}

#[test]
fn a_start_that_strayed_is_refused_for_good_once_its_job_is_cancelled() {
    // Commands to the machine get no answers, its reports arrive. While they are
    // answered its session lives, and the start would be taken whenever it comes.
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_report(&report("i-1", "small", "north", false, 7, 1), now);
    let rec = record(job(1, 1, 4.0));
    let job = rec.spec.id;
    m.add_job(rec, now);
    m.plan(now);
    m.take_writes(now).iter().for_each(|w| m.written(w, true, now));
    let (_, c) = m.command(&id, now).expect("the start");
    m.commanded(&id, None, now + secs(1));
    m.cancel(job, now + secs(1));
    let mut r = report("i-1", "small", "north", false, 7, 2);
    let soon = m.reply(&id, r.token, now + secs(2)).expect("an answer");
    assert!(soon.0 < c.token, "its stop may yet get through");
    let (token, _) = m.reply(&id, r.token, now + secs(9)).expect("an answer");
    assert!(token > c.token, "the start is refused from now on");
    (r.token, r.seq) = (token, 3);
    m.apply_report(&r, now + secs(9));
    assert!(m.machines[&id].slots.is_empty(), "and that settles its place");
    // A task that is there is stopped by the answer itself.
    r.tasks = vec![ReportedTask {
        task: TaskId { job, index: 0 },
        attempt: 5,
        state: TaskState::Running,
        why: None,
        saved: None,
    }];
    assert!(matches!(m.stops(&r)[..], [Command::Stop { attempt: 5, .. }]));
}

#[test]
fn an_outcome_is_stored_before_the_worker_forgets_it() {
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_report(&report("i-1", "small", "north", false, 7, 1), now);
    m.add_job(record(job(1, 2, 4.0)), now);
    m.plan(now);
    let w = m.take_writes(now);
    w.iter().for_each(|w| m.written(w, true, now));
    let (_, c) = m.command(&id, now).expect("starts");
    let mut r = report("i-1", "small", "north", false, 7, 2);
    r.token = c.token;
    r.tasks = ended(&m, &id, 1);
    m.commanded(&id, Some(&r), now);
    let w = m.take_writes(now + secs(1));
    let (_, orders) = m.reply(&id, r.token, now).expect("an answer");
    assert!(orders.is_empty(), "nothing to say yet");
    w.iter().for_each(|w| m.written(w, true, now));
    let (token, orders) = m.reply(&id, r.token, now).expect("an answer");
    assert!(matches!(orders[..], [Command::Forget { .. }]));
    assert!(
        token > c.token,
        "late copies of the start are refused from now on"
    );
    // No report comes: it is said by a command.
    assert!(m.command(&id, now + secs(2)).is_none());
    let (_, c) = m.command(&id, now + secs(9)).expect("a command");
    assert!(matches!(c.commands[..], [Command::Forget { .. }]));
}

#[test]
fn an_older_message_changes_nothing() {
    // Reports held back by the network arrive after newer ones; their tasks
    // are as old as they are.
    let now = start();
    let mut m = model(7);
    let mut r = report("i-1", "small", "north", false, 7, 5);
    r.session = 2;
    m.apply_report(&r, now);
    let id = MachineId::from("i-1");
    for (session, seq) in [(1, 9), (2, 4), (2, 5)] {
        let mut old = report("i-1", "small", "north", false, 7, seq);
        old.session = session;
        old.tasks = vec![ReportedTask {
            task: "job-000001/0".parse().expect("a task"),
            attempt: 1,
            state: TaskState::Running,
            why: None,
            saved: None,
        }];
        assert_eq!(
            m.apply_report(&old, now),
            bitternfold::core::worker_reports::ReportOutcome::Outdated
        );
        assert!(m.machines[&id].slots.is_empty());
        assert_eq!(m.machines[&id].newest, (2, 5));
    }
}

#[test]
fn a_leader_that_only_the_workers_cant_hear_notices() {
    // Their reports come by way of others and renew their leases, so without
    // this the stops of a cancelled job would never arrive.
    let now = start();
    let mut m = model(7);
    let ids: Vec<MachineId> = (0..4).map(|i| format!("i-{i}").as_str().into()).collect();
    for id in &ids {
        m.apply_report(&report(id, "small", "north", false, 7, 1), now);
        m.commanded(id, None, now);
    }
    assert!(!m.cut_from_workers(now + secs(1)), "too soon to tell");
    for id in &ids {
        m.apply_report(&report(id, "small", "north", false, 7, 2), now + secs(7));
    }
    assert!(m.cut_from_workers(now + secs(7)));
    let answer = report(&ids[0], "small", "north", false, 7, 3);
    m.commanded(&ids[0], Some(&answer), now + secs(7));
    m.commanded(
        &ids[1],
        Some(&report(&ids[1], "small", "north", false, 7, 3)),
        now + secs(7),
    );
    assert!(!m.cut_from_workers(now + secs(7)), "half of them answer");
    // Those that were sent nothing of late don't count as answering.
    m.commanded(&ids[0], None, now + secs(8));
    for id in &ids {
        m.apply_report(&report(id, "small", "north", false, 7, 4), now + secs(14));
    }
    assert!(m.cut_from_workers(now + secs(14)));
}

#[test]
fn words_older_than_the_fence_make_no_places() {
    // A new leader may hear late copies first: what they list is not there any
    // more, and a place made for it would keep its task from starting elsewhere.
    let now = start();
    let mut m = model(9);
    m.add_job(record(job(1, 1, 4.0)), now);
    let mut late = report("i-1", "small", "north", false, 8, 400);
    late.tasks = vec![ReportedTask {
        task: "job-000001/0".parse().expect("a task"),
        attempt: (8 << 20) + 1,
        state: TaskState::Running,
        why: None,
        saved: None,
    }];
    m.apply_report(&late, now);
    let id = MachineId::from("i-1");
    assert!(m.machines[&id].slots.is_empty());
    assert_eq!(m.jobs.values().next().expect("the job").waiting.count(), 1);
    // In its own words, after the fence, it counts.
    late.token = 9 << 20;
    late.seq += 1;
    m.apply_report(&late, now);
    assert_eq!(m.machines[&id].slots.len(), 1);
    assert_eq!(m.jobs.values().next().expect("the job").waiting.count(), 0);
}

#[test]
fn a_gone_machine_stays_gone_in_the_next_term() {
    // Late copies of its reports must not bring it back into the fleet.
    let now = start();
    let mut m = model(7);
    m.apply_report(&report("i-1", "small", "north", false, 7, 1), now);
    m.released(&MachineId::from("i-1"), now);
    let mut next = model(8);
    for w in m.take_writes(now) {
        if let Write::Log(a) = w {
            for (n, v) in a.segments {
                assert!(next.log.load(n, v.expect("written")));
            }
        }
    }
    next.load_log(now);
    let heard = next.apply_report(&report("i-1", "small", "north", false, 7, 9), now);
    assert_eq!(
        heard,
        bitternfold::core::worker_reports::ReportOutcome::MachineGone
    );
    assert!(next.machines.is_empty());
}
