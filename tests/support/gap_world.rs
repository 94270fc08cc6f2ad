//! Three controllers of which two believe to lead, their state service, workers and
//! a user who cancels a job, each with clocks of their own, on simulated time.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bitternfold::core::evidence::authority::{Authority, AuthorityLimits, ClockReading, MARGIN};
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::storage::record::JobRecord;
use bitternfold::core::ClusterModel;
use bitternfold::core::SchedulerConfig;
use bitternfold::settings::OperatorSettings;
use bitternfold::wire::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::*;
use crate::worker::{Worker, PATIENCE};

const TICK: Duration = Duration::from_millis(100);
const JOB: u32 = 1;

/// The times of a site, and of its trouble.
#[derive(Debug, Clone)]
pub struct Times {
    pub report: f64,
    pub lease: f64,
    /// Beyond the lease and the margin.
    pub spare: f64,
    /// Life of a leader's lease.
    pub hold: f64,
    /// From the refusal of the leader to the outage for all.
    pub apart: f64,
    /// From the refusal to the cancellation; it is asked for until confirmed.
    pub asked: f64,
    pub outage: f64,
    /// Shares of commands lost, and held for up to `held` seconds.
    pub lost: f64,
    pub held: f64,
    /// Whether the controllers hear each other meanwhile.
    pub peers: bool,
    /// How long a controller and a machine stand still, from some time on.
    pub freeze: f64,
    pub hang: f64,
    /// Whether the controller's steady clock stands still with it.
    pub stops_clock: bool,
    /// Error of the time of day.
    pub clock_error: f64,
}

pub fn any_times() -> impl Strategy<Value = Times> {
    let site = (1.0..8.0f64, 8.0..60.0f64, 0.0..60.0f64, 0.5..6.0f64);
    let trouble = (0.2..14.0f64, -3.0..14.0f64, 5.0..150.0f64);
    // Often enough the new leader reaches no worker at all.
    let lost = prop_oneof![0.0..1.0f64, Just(1.0)];
    let net = (lost, 0.0..90.0f64, any::<bool>());
    let still = (0.0..40.0f64, 0.0..40.0f64, 0.0..1.2f64);
    (site, trouble, net, still).prop_map(
        |(
            (report, lease, spare, hold),
            (apart, asked, outage),
            (lost, held, peers),
            (freeze, hang, clock_error),
        )| Times {
            report: report.min(lease / 3.0),
            lease,
            spare,
            hold,
            apart,
            asked,
            outage,
            lost,
            held,
            peers,
            freeze,
            hang,
            stops_clock: false,
            clock_error,
        },
    )
}

struct Leader {
    term: u64,
    model: ClusterModel,
    authority: Authority,
    over: bool,
    touched: Instant,
    /// Not stored yet.
    writes: Vec<PendingWrite>,
    cancelled: bool,
}

/// Something on its way.
enum Mail {
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

pub struct World {
    times: Times,
    rng: StdRng,
    config: Arc<SchedulerConfig>,
    base: Instant,
    now: Duration,
    /// Error of the time of day.
    clock_error: Duration,
    /// Clocks of controllers, workers and the state service.
    drift: Vec<f64>,
    leaders: [Option<Leader>; 3],
    term: u64,
    /// Whose lease of the state service lives, and until when by its clock.
    held: Option<(usize, Instant)>,
    refused: Option<usize>,
    out: bool,
    jobs: BTreeMap<JobId, JobRecord>,
    wal: BTreeMap<u64, serde_json::Value>,
    workers: Vec<Worker>,
    /// Where each reports, when next, and until when it hangs.
    to: Vec<(usize, Duration, Duration)>,
    frozen: Option<(usize, Duration)>,
    /// For how long each controller's steady clock has stood still.
    clock_stood: [Duration; 3],
    mail: Vec<(Duration, Mail)>,
    confirmed: Option<Duration>,
}

impl World {
    /// Four workers, three controllers, none of which leads yet.
    pub fn new(times: Times, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut deployment = deployment();
        let w = &mut deployment.cluster.workers;
        w.heartbeat_interval = Duration::from_secs_f64(times.report);
        w.lease = Duration::from_secs_f64(times.lease);
        w.cancel = w.lease + MARGIN + Duration::from_secs_f64(times.spare);
        let base = start();
        Self {
            clock_error: Duration::from_secs_f64(times.clock_error),
            drift: (0..8).map(|_| rng.random_range(-0.0005..0.0005)).collect(),
            rng,
            config: Arc::new(SchedulerConfig::new(&deployment, OperatorSettings::default())),
            base,
            now: Duration::ZERO,
            leaders: [None, None, None],
            term: 0,
            held: None,
            refused: None,
            out: false,
            jobs: BTreeMap::new(),
            wal: BTreeMap::new(),
            workers: (0..4)
                .map(|i| Worker::new(&format!("i-{i}"), false, base))
                .collect(),
            to: vec![(0, Duration::ZERO, Duration::ZERO); 4],
            frozen: None,
            clock_stood: [Duration::ZERO; 3],
            mail: Vec::new(),
            confirmed: None,
            times,
        }
    }

    /// The time by one's own clock: controllers, then workers, then the state service.
    fn clock(&self, who: usize) -> Instant {
        let stood = self.clock_stood.get(who).copied().unwrap_or_default();
        self.base + (self.now - stood).mul_f64(1.0 + self.drift[who])
    }

    /// Both clocks of a controller. The time of day wanders within its error.
    fn clocks(&mut self, who: usize) -> ClockReading {
        let error = self.clock_error.as_secs_f64();
        let off = self.rng.random_range(0.0..=2.0 * error);
        ClockReading {
            steady: self.clock(who),
            time_of_day: SystemTime::UNIX_EPOCH + self.now + Duration::from_secs_f64(off),
        }
    }

    /// Whether the state service answers a controller; ends leases that are over.
    fn state(&mut self, who: usize) -> bool {
        if self.out {
            return false;
        }
        let now = self.clock(7);
        self.held = self.held.filter(|h| now < h.1);
        self.refused != Some(who)
    }

    fn stands_still(&self, who: usize) -> bool {
        self.frozen.is_some_and(|(f, until)| f == who && self.now < until)
    }

    fn stand(&mut self, who: usize) {
        if !self.state(who) || self.held.is_some() || self.stands_still(who) {
            return;
        }
        self.term += 1;
        self.held = Some((who, self.clock(7) + Duration::from_secs_f64(self.times.hold)));
        let now = self.clock(who);
        let mut model = ClusterModel::new(self.config.clone(), self.term);
        model.types = types();
        for r in self.jobs.values() {
            model.add_job(r.clone(), now);
        }
        for (n, v) in &self.wal {
            assert!(model.log.load(*n, v.clone()));
        }
        model.load_log(now);
        let limits = AuthorityLimits {
            lease: Duration::from_secs_f64(self.times.hold),
            worker_lease: self.config.lease,
            cancel: self.config.cancel,
            clock_error: self.clock_error,
        };
        self.leaders[who] = Some(Leader {
            term: self.term,
            model,
            authority: Authority::new(&limits, self.clocks(who)),
            over: false,
            touched: now,
            writes: Vec::new(),
            cancelled: self.jobs.values().any(|r| r.cancelled),
        });
    }

    fn lead(&mut self, who: usize) {
        if self.stands_still(who) {
            return;
        }
        let Some(mut l) = self.leaders[who].take() else {
            return self.stand(who);
        };
        let now = self.clock(who);
        let clocks = self.clocks(who);
        if self.times.peers {
            // A message of a newer term ends an older one.
            l.over |= self.leaders.iter().flatten().any(|o| o.term > l.term);
        }
        let state = self.state(who);
        let holds = self.held.is_some_and(|h| h.0 == who && l.term == self.term);
        if !l.over && state && now >= l.touched + Duration::from_secs_f64(self.times.hold / 5.0) {
            l.touched = now;
            if holds {
                self.held = Some((who, self.clock(7) + Duration::from_secs_f64(self.times.hold)));
                l.authority.renewed(clocks);
            } else {
                l.over = true;
            }
        }
        if l.over {
            if self.rng.random_bool(0.02) {
                return self.leaders[who] = None;
            }
            self.leaders[who] = Some(l);
            return;
        }
        if l.authority.may_act(clocks) {
            l.model.expire_leases(now);
            l.model.plan(now);
            l.writes.extend(l.model.take_writes(now));
            for due in l.model.take_due_commands(now, 4) {
                self.send(who, l.term, &due.machine, due.batch);
            }
        }
        if state && holds {
            for w in std::mem::take(&mut l.writes) {
                if let PendingWrite::WriteAheadLog(a) = &w {
                    for (n, v) in &a.segments {
                        match v {
                            Some(v) => drop(self.wal.insert(*n, v.clone())),
                            None => drop(self.wal.remove(n)),
                        }
                    }
                }
                // The cancelled job is kept, so that a later leader finds it.
                if !matches!(w, PendingWrite::Final { .. }) {
                    l.model.write_finished(&w, true, now);
                }
            }
            if l.cancelled && self.confirmed.is_none() {
                for r in self.jobs.values_mut() {
                    r.cancelled = true;
                    l.model.cancel_stored(r.spec.id);
                }
                self.confirmed = Some(self.now);
            }
        }
        self.leaders[who] = Some(l);
    }

    fn send(&mut self, from: usize, term: u64, id: &MachineId, commands: CommandBatch) {
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

    /// A user asks to cancel the job, and finds the latest leader.
    fn cancel(&mut self) {
        let latest = (0..3).max_by_key(|c| self.leaders[*c].as_ref().map_or(0, |l| l.term));
        let Some(who) = latest.filter(|c| !self.stands_still(*c)) else {
            return;
        };
        let now = self.clock(who);
        let clocks = self.clocks(who);
        if let Some(l) = self.leaders[who]
            .as_mut()
            .filter(|l| !l.over && l.authority.may_act(clocks) && !l.cancelled)
        {
            let ids: Vec<JobId> = l.model.jobs.keys().copied().collect();
            ids.into_iter().for_each(|id| l.model.cancel(id, now));
            l.cancelled = true;
        }
    }

    fn heartbeat(&mut self, i: usize) {
        let (to, next, hangs) = self.to[i];
        if self.now < next || self.now < hangs {
            return;
        }
        let interval = self.times.report * self.rng.random_range(0.75..1.25);
        self.to[i].1 = self.now + Duration::from_secs_f64(interval);
        let r = self.workers[i].heartbeat();
        // Relayed to the latest leader, if the asked one leads no more.
        let mut asked = vec![to];
        if self.times.peers {
            let latest = (0..3).max_by_key(|c| self.leaders[*c].as_ref().map_or(0, |l| l.term));
            asked.extend(latest);
        }
        for who in asked {
            let now = self.clock(who);
            let clocks = self.clocks(who);
            if self.stands_still(who) {
                break;
            }
            let Some(l) = self.leaders[who].as_mut().filter(|l| !l.over) else {
                continue;
            };
            if !l.authority.may_renew_leases(clocks) {
                continue;
            }
            l.model.apply_heartbeat(&r, now);
            let Some(mut reply) = l.model.heartbeat_response(&r.machine, r.token, now) else {
                l.over = true;
                continue;
            };
            if !l.authority.may_act(clocks) {
                reply.commands.clear();
            }
            reply.commands.extend(l.model.stops_for_cancelled(&r));
            let delay = Duration::from_secs_f64(self.rng.random_range(0.0..4.5f64).powi(3) / 20.0);
            self.mail.push((
                self.now + delay,
                Mail::ApiResponse {
                    to: i,
                    incarnation: r.incarnation,
                    reply,
                    sent: self.now,
                },
            ));
            return;
        }
        self.to[i].0 = (to + 1) % 3;
        self.to[i].1 = self.now + secs(1);
    }

    fn deliver(&mut self, m: Mail) {
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
                w.run(&commands);
                for t in w.tasks.values_mut().filter(|t| t.1 == TaskState::Fetching) {
                    t.1 = TaskState::Running;
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
                    || self.now > sent + PATIENCE
                    || incarnation != w.incarnation
                    || reply.token < w.token;
                if !dropped {
                    w.renewed = w.renewed.max(at);
                    w.run(&CommandBatch {
                        token: reply.token,
                        incarnation,
                        commands: reply.commands,
                    });
                }
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        if let Some((who, _)) = self.frozen.filter(|_| self.times.stops_clock) {
            self.clock_stood[who] += TICK;
        }
        for i in 0..4 {
            let now = self.clock(3 + i);
            let lease = self.config.lease;
            self.workers[i].end_lease(now, lease);
        }
        let (due, rest) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(t, _)| *t <= self.now);
        self.mail = rest;
        let due: Vec<(Duration, Mail)> = due;
        due.into_iter().for_each(|(_, m)| self.deliver(m));
        (0..3).for_each(|c| self.lead(c));
        (0..4).for_each(|i| self.heartbeat(i));
        if let Some((who, _)) = self.frozen.filter(|f| f.1 <= self.now) {
            let now = self.clock(who);
            // One whose clock stood still, too, can't tell by it.
            if let Some(l) = self.leaders[who].as_mut().filter(|_| !self.times.stops_clock) {
                l.authority.resumed_after_pause(now);
                l.model.ignore_silence_before(now);
            }
            self.frozen = None;
        }
    }

    fn live(&self) -> usize {
        let tasks = self.workers.iter().flat_map(|w| w.tasks.values());
        tasks.filter(|t| t.1 != TaskState::Exited).count()
    }

    /// Plays the gap; whether a cancellation was confirmed while tasks ran.
    pub fn play(&mut self) -> bool {
        let rec = record(job(JOB, 8, 4.0));
        self.jobs.insert(rec.spec.id, rec);
        while self.now < secs(20) {
            self.tick();
        }
        assert!(self.live() >= 4, "tasks run before the trouble begins");
        let at = |s: f64| Duration::from_secs_f64(30.0 + s.max(-4.0));
        let (refused, asked) = (at(0.0), at(self.times.asked));
        let (out, back) = (at(self.times.apart), at(self.times.apart + self.times.outage));
        let frozen = at(self.rng.random_range(-3.0..20.0));
        let hung = at(self.rng.random_range(-3.0..20.0));
        let end = back + self.config.cancel + secs(30);
        let mut counted = false;
        while self.now < end {
            let before = self.now;
            self.tick();
            let passes = |t: Duration| before < t && t <= self.now;
            if passes(refused) {
                self.refused = self.held.map(|h| h.0);
            }
            if passes(out) {
                self.out = true;
            }
            if passes(back) {
                self.out = false;
                self.refused = None;
                // Every lease has its full time again.
                let full = self.clock(7) + Duration::from_secs_f64(self.times.hold);
                self.held = self.held.map(|h| (h.0, full));
            }
            if passes(frozen) && self.times.freeze > 5.0 {
                let until = self.now + Duration::from_secs_f64(self.times.freeze);
                self.frozen = Some((self.rng.random_range(0..3), until));
            }
            if passes(hung) {
                let i = self.rng.random_range(0..4);
                self.to[i].2 = self.now + Duration::from_secs_f64(self.times.hang);
            }
            if self.now >= asked && self.confirmed.is_none() {
                self.cancel();
            }
            if let Some(t) = self.confirmed {
                counted |= t == self.now && self.live() > 0;
                let late = self.now > t + self.config.cancel;
                assert!(
                    !late || self.live() == 0,
                    "{} tasks {:?} after the confirmation at {t:?}: {:?}",
                    self.live(),
                    self.now - t,
                    self.times
                );
            }
        }
        counted
    }
}
