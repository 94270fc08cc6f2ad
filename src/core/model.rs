//! What is known of jobs and machines, and what may be where.
//!
//! The safety rules live here. A task's place is a [`Slot`]; it is made before
//! the log is written, and removed only on evidence that the
//! attempt is gone: it ended, it is absent from a message of the worker that
//! has seen a token at least as high as the last `start`, the worker's session
//! is a later one, or the cloud has confirmed the machine's release.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::bits::BitSet;
use super::probation::FailureHistory;
use super::record::JobRecord;
use super::wal::{Entry as Logged, Graves, Log, Replay};
use crate::settings::{Objective, Team};
use crate::wire::{
    CloudState, Command, JobId, JobSpec, JobView, Kind, ListedMachine, MachineId, MachineType, Report,
    Standing, TaskId, TaskState, Why,
};

/// Bits of a token below the term.
const TOKEN_BITS: u32 = 20;
/// Ratios of the Last Model are kept above this, so that a team's job of no
/// length doesn't make its long ones look like nothing.
pub const LEAST_RATIO: f64 = 0.1;
/// A cordoned machine that is still there is tried again after so long.
const CORDON: Duration = Duration::from_secs(45);
/// Slack in comparisons of amounts.
pub const EPS: f64 = 1e-6;

/// What the model is told once.
#[derive(Debug, Clone)]
pub struct Config {
    /// Teams by name.
    pub teams: HashMap<String, Team>,
    /// The users' aims.
    pub objectives: Vec<Objective>,
    /// Zones of the cluster.
    pub zones: Vec<String>,
    /// Interval of reports.
    pub report: Duration,
    /// Life of a worker's lease.
    pub lease: Duration,
    /// Time for a cancellation.
    pub cancel: Duration,
    /// A machine silent for so long is released for its tasks' sake.
    pub silent: Duration,
    /// Lag of the machine list.
    pub list_lag: Duration,
    /// Least time between two appends to the log.
    pub log_pause: Duration,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Largest value of the state service, in bytes.
    pub value_bytes: usize,
    /// Operators' settings.
    pub tuning: crate::settings::Tuning,
}

impl Config {
    /// Takes what it needs from the settings.
    pub fn new(p: &crate::settings::Platform, tuning: crate::settings::Tuning) -> Self {
        Self {
            teams: p
                .params
                .teams
                .iter()
                .map(|t| (t.name.clone(), t.clone()))
                .collect(),
            objectives: p.params.objectives.clone(),
            zones: p.params.zones.clone(),
            report: p.params.workers.report,
            lease: p.params.workers.lease,
            cancel: p.params.workers.cancel,
            silent: tuning.silent.unwrap_or_else(|| {
                // Two reports may be late or lost on the way to a node that
                // doesn't answer; and no healthy machine is silent for longer.
                let w = &p.params.workers;
                (w.report * 9 / 4).max(Duration::from_secs(9)).min(w.lease)
            }),
            list_lag: p.params.cloud.list_lag,
            log_pause: Duration::from_secs_f64(2.0 / p.params.state.write_rps),
            txn_ops: p.params.state.txn_ops,
            value_bytes: (p.params.state.value_kb * 1024.0) as usize,
            tuning,
        }
    }
}

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// No such team.
    #[error("unknown team")]
    Team,
    /// A task fits no allowed machine type.
    #[error("a task fits no allowed machine type")]
    Type,
    /// It needs more than the team's limit.
    #[error("needs more than the team's limit")]
    Limit,
}

/// Whether a job can ever run, given teams and machine types.
pub fn admissible(spec: &JobSpec, teams: &HashMap<String, Team>, types: &[MachineType]) -> Result<(), Unfit> {
    let team = teams.get(&spec.team).ok_or(Unfit::Team)?;
    let fits = types.iter().any(|t| {
        type_allowed(spec, t)
            && spec
                .zone
                .as_ref()
                .is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
    });
    if !fits {
        return Err(Unfit::Type);
    }
    let n = if spec.kind == Kind::Array {
        1.0
    } else {
        f64::from(spec.tasks)
    };
    let over = |need: f64, most: f64| most > 0.0 && need * n > most + EPS;
    if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
        return Err(Unfit::Limit);
    }
    Ok(())
}

/// Whether a task fits an empty machine of a type that its job allows.
pub fn type_allowed(spec: &JobSpec, t: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
        && spec.cpus <= t.cpus + EPS
        && spec.gpus <= t.gpus + EPS
        && spec.memory_gb <= t.memory_gb + EPS
}

/// An unfinished job.
#[derive(Debug)]
pub struct Job {
    /// What its user submitted.
    pub spec: Arc<JobSpec>,
    /// When, in milliseconds of the time of day.
    pub at: u64,
    /// The same on the leader's steady clock.
    pub arrival: Instant,
    /// Cancelled; the rest of its tasks is to go.
    pub cancelled: bool,
    /// The cancellation is stored.
    pub cancel_stored: bool,
    /// Tasks done.
    pub done: BitSet,
    /// Tasks neither done nor placed.
    pub waiting: BitSet,
    /// Where each placed task may be.
    pub places: HashMap<u32, Vec<MachineId>>,
    /// Tasks that were last seen running.
    pub running: HashSet<u32>,
    /// Places of all its tasks together.
    pub placed: u32,
    /// Its final state is being written.
    pub writing: bool,
    /// Failures since the last success.
    pub failures: FailureHistory,
    /// Not to be tried before.
    pub pause_until: Option<Instant>,
    /// Sum and count of run times seen.
    pub run_sum: Duration,
    /// How many are in `run_sum`.
    pub run_count: u32,
}

impl Job {
    /// A fresh or reloaded job.
    pub fn new(record: JobRecord, arrival: Instant) -> Self {
        let n = record.spec.tasks;
        Self {
            spec: Arc::new(record.spec),
            at: record.at,
            arrival,
            cancelled: record.cancelled,
            cancel_stored: record.cancelled,
            done: BitSet::new(n),
            waiting: BitSet::full(n),
            places: HashMap::new(),
            running: HashSet::new(),
            placed: 0,
            writing: false,
            failures: FailureHistory::default(),
            pause_until: None,
            run_sum: Duration::ZERO,
            run_count: 0,
        }
    }

    /// Notes that a task is done.
    fn finish(&mut self, index: u32) {
        self.waiting.remove(index);
        self.done.insert(index);
    }

    /// Whether some task was ever started, as far as is known.
    pub fn begun(&self) -> bool {
        self.placed > 0 || self.done.count() > 0
    }

    /// It failed on several machines of late, and no task was ever done.
    pub fn on_probation(&self, now: Instant) -> bool {
        self.done.count() == 0 && self.failures.on_probation(now)
    }

    /// All its tasks are done.
    pub fn complete(&self) -> bool {
        self.spec.kind != Kind::Service && self.done.count() == self.spec.tasks
    }

    /// What survives.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            spec: (*self.spec).clone(),
            at: self.at,
            cancelled: self.cancelled,
        }
    }

    /// A gang that lost some of its tasks: the rest has to go before it can
    /// be placed again, whole.
    pub fn broken_gang(&self) -> bool {
        self.spec.kind == Kind::Gang && !self.places.is_empty() && self.waiting.count() > 0
    }

    fn occupy(&mut self, index: u32, machine: &MachineId) {
        let list = self.places.entry(index).or_default();
        if !list.contains(machine) {
            list.push(machine.clone());
            self.placed += 1;
            self.waiting.remove(index);
        }
    }

    fn vacate(&mut self, index: u32, machine: &MachineId) {
        if let Some(list) = self.places.get_mut(&index) {
            let before = list.len();
            list.retain(|m| m != machine);
            self.placed -= (before - list.len()) as u32;
            self.running.remove(&index);
            if list.is_empty() {
                self.places.remove(&index);
                if !self.done.has(index) {
                    self.waiting.insert(index);
                }
            }
        }
    }
}

/// State of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Placed; the start has not been confirmed yet.
    Placed,
    /// From the record of an earlier leader; may be there or not.
    Unknown,
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Saves, after a stop.
    Saving,
    /// Ended; stays until the worker forgets it.
    Ended(Why),
}

/// A place where an attempt of a task is or may be.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The attempt.
    pub attempt: u64,
    /// What is known of it.
    pub state: SlotState,
    /// The job, unless it is not (or no longer) known.
    pub spec: Option<Arc<JobSpec>>,
    /// Highest token that carried its start; 0: never sent.
    pub start_token: u64,
    /// Session that the last start was sent to; 0: never sent in this term.
    pub start_session: u64,
    /// Mark of the log's entry that names it.
    pub logged: u64,
    /// For ended tasks: mark of the log's entry that holds the outcome.
    pub outcome: u64,
    /// Started by backfilling; shadow as long as a waiting job outranks it.
    pub backfilled: bool,
    /// When it was placed.
    pub placed_at: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// To be stopped, with this much time to save.
    pub stop: Option<Duration>,
    /// When the stop was first asked for.
    pub stop_at: Option<Instant>,
}

impl Slot {
    /// An attempt that is or may be there, though this leader did not start
    /// it. Whatever an earlier leader sent is settled by any message that
    /// shows a token of this term.
    fn unknown(attempt: u64, spec: Option<Arc<JobSpec>>, term: u64, now: Instant) -> Self {
        Self {
            attempt,
            state: SlotState::Unknown,
            spec,
            start_token: term << TOKEN_BITS,
            start_session: 0,
            logged: 0,
            outcome: 0,
            backfilled: false,
            placed_at: now,
            running_since: None,
            stop: None,
            stop_at: None,
        }
    }

    fn order_stop(&mut self, grace: Duration, now: Instant) {
        self.stop = Some(grace);
        self.stop_at.get_or_insert(now);
    }

    /// Whether it still takes room: everything but an ended one.
    pub fn takes_room(&self) -> bool {
        !matches!(self.state, SlotState::Ended(_))
    }
}

/// How far a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Rented, its worker has not spoken yet.
    Booting,
    /// Its worker has spoken.
    Up,
    /// Its release has been asked for; it holds what it holds until confirmed.
    Releasing,
}

/// A rented machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Where it takes commands.
    pub addr: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// How far it is.
    pub phase: Phase,
    /// Known since (rental or first word of it).
    pub since: Instant,
    /// Session and sequence of the newest message.
    pub newest: (u64, u64),
    /// Highest token it said it has seen.
    pub seen_token: u64,
    /// Last token given out for it, below the term's bits.
    pub token_seq: u64,
    /// Last message of the worker.
    pub heard: Option<Instant>,
    /// Its last report was answered then: its lease runs from there at the latest.
    pub replied: Option<Instant>,
    /// When the cloud takes it.
    pub recall: Option<Instant>,
    /// What is or may be on it.
    pub slots: BTreeMap<TaskId, Slot>,
    /// Images, most recently used last.
    pub images: Vec<(String, f64)>,
    /// Outcomes wait to be forgotten since.
    pub forget_since: Option<Instant>,
    /// A command is under way.
    pub commanding: bool,
    /// Not to be sent commands before.
    pub command_after: Option<Instant>,
    /// Commands to it have gone unanswered since.
    pub unanswered: Option<Instant>,
    /// When it last answered a command.
    pub answered: Option<Instant>,
    /// Something is to be settled by a command though no order is due.
    pub probe: bool,
    /// Jobs that failed on it since its last success.
    pub failed_jobs: BTreeSet<JobId>,
    /// Failures since its last success.
    pub failures: u32,
    /// Takes no more tasks, since then.
    pub cordoned: Option<Instant>,
    /// Refused a start for want of room; not to be placed on before.
    pub full_until: Option<Instant>,
    /// Empty since.
    pub idle_since: Option<Instant>,
}

impl Machine {
    fn new(id: MachineId, now: Instant) -> Self {
        Self {
            id,
            addr: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            phase: Phase::Booting,
            since: now,
            newest: (0, 0),
            seen_token: 0,
            token_seq: 0,
            heard: None,
            replied: None,
            recall: None,
            slots: BTreeMap::new(),
            images: Vec::new(),
            forget_since: None,
            commanding: false,
            command_after: None,
            unanswered: None,
            answered: None,
            probe: false,
            failed_jobs: BTreeSet::new(),
            failures: 0,
            cordoned: None,
            full_until: None,
            idle_since: Some(now),
        }
    }

    /// What the log is to say of it.
    fn entry(&self) -> Logged {
        Logged::Machine(
            self.id.clone(),
            self.addr.clone(),
            self.machine_type.clone(),
            self.zone.clone(),
            self.spot,
        )
    }

    /// Something is to be said to its worker.
    fn wants_command(&self) -> bool {
        self.probe
            || self
                .slots
                .values()
                .any(|s| s.stop.is_some() || matches!(s.state, SlotState::Placed | SlotState::Ended(_)))
    }

    /// Whether a session is over by its lease, see [`Model::clear_lapsed`].
    pub fn session_over(&self, session: u64) -> bool {
        self.newest == (session, u64::MAX)
    }

    /// Whether the worker obeys this term.
    pub fn fenced(&self, term: u64) -> bool {
        self.seen_token >> TOKEN_BITS == term
    }

    /// Whether it has the image or is fetching it.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    fn touch_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        if let Some(p) = self.images.iter().position(|(i, _)| i == image) {
            let it = self.images.remove(p);
            self.images.push(it);
            return;
        }
        self.images.push((image.to_owned(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, g)| g).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }

    /// CPUs, accelerators and memory that its tasks take.
    pub fn used(&self) -> (f64, f64, f64) {
        let specs = self.slots.values().filter(|s| s.takes_room());
        specs
            .filter_map(|s| s.spec.as_ref())
            .fold((0.0, 0.0, 0.0), |u, s| {
                (u.0 + s.cpus, u.1 + s.gpus, u.2 + s.memory_gb)
            })
    }

    /// Nothing on it that takes room.
    pub fn empty(&self) -> bool {
        !self.slots.values().any(Slot::takes_room)
    }
}

/// The cluster as the leader of one term knows it.
#[derive(Debug)]
pub struct Model {
    /// What it was told once.
    pub config: Arc<Config>,
    /// The leader's term.
    pub term: u64,
    /// Machine types; empty until known.
    pub types: Vec<MachineType>,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Run-to-estimate ratio of each team's last finished job.
    pub ratios: BTreeMap<String, f64>,
    /// The ratios changed since they were last taken for storing.
    pub ratios_dirty: bool,
    /// When they were last written.
    pub ratios_written: Option<Instant>,
    /// The write-ahead log.
    pub log: Log,
    /// When an append was last taken from it.
    pub log_taken: Option<Instant>,
    /// Machines that a command may be due for.
    pub due: BTreeSet<MachineId>,
    /// Machines that are gone; late words of them mean nothing.
    pub gone: Graves,
    /// Some task may have been started by backfilling.
    pub shadows: bool,
    /// This process has listened since then without a pause of its own.
    pub listening: Option<Instant>,
    /// Attempts given out.
    attempts: u64,
    /// Rentals under way and pauses, see [`super::fleet`].
    pub fleet: super::fleet::FleetState,
}

/// What came of a message of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It is of a machine that is gone.
    Gone,
    /// Older than what is known.
    Old,
    /// Taken in.
    Taken,
}

impl Model {
    /// An empty cluster.
    pub fn new(config: Arc<Config>, term: u64) -> Self {
        Self {
            log: Log::new(config.value_bytes),
            log_taken: None,
            due: BTreeSet::new(),
            config,
            term,
            types: Vec::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            ratios: BTreeMap::new(),
            ratios_dirty: false,
            ratios_written: None,
            gone: Graves::default(),
            shadows: false,
            listening: None,
            attempts: 0,
            fleet: super::fleet::FleetState::default(),
        }
    }

    // ---- jobs ----------------------------------------------------------

    /// Adds an accepted job. A job that is known already stays as it is.
    pub fn add_job(&mut self, record: JobRecord, arrival: Instant) {
        let id = record.spec.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(record, arrival);
        let spec = job.spec.clone();
        for m in self.machines.values_mut() {
            for (task, slot) in m.slots.iter_mut().filter(|(t, _)| t.job == id) {
                slot.spec = Some(spec.clone());
                if slot.takes_room() && task.index < spec.tasks {
                    job.occupy(task.index, &m.id);
                }
            }
        }
        self.jobs.insert(id, job);
    }

    /// Takes a cancellation that has been stored.
    pub fn cancel_stored(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancel_stored = true;
        }
    }

    /// Asks for a job's tasks to be stopped, and lets none start any more.
    pub fn cancel(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancelled = true;
        for (machine, index) in job
            .places
            .iter()
            .flat_map(|(i, l)| l.iter().map(move |m| (m.clone(), *i)))
            .collect::<Vec<_>>()
        {
            self.stop(
                &machine,
                TaskId { job: id, index },
                Duration::ZERO,
                now,
                "cancelled",
            );
        }
    }

    /// Removes a finished job.
    pub fn remove_job(&mut self, id: JobId) {
        self.jobs.remove(&id);
    }

    /// What its user is told; `None` also while a cancellation or a final state
    /// is on its way to be stored. It may be stored already though no answer
    /// says so, and another controller that read it may have told the user: only
    /// what is stored is sure then.
    pub fn view(&self, id: JobId) -> Option<JobView> {
        let job = self.jobs.get(&id)?;
        if job.writing || job.cancelled && !job.cancel_stored {
            return None;
        }
        let running = job.running.len() as u32;
        let state = if job.cancelled && job.cancel_stored {
            Standing::Cancelled
        } else if running > 0 {
            Standing::Running
        } else {
            Standing::Queued
        };
        Some(JobView {
            id,
            state,
            done: job.done.count(),
            running,
        })
    }

    /// A new attempt number, never used before.
    pub fn new_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.term << TOKEN_BITS) + self.attempts
    }

    /// Places a task: the slot is made, the log is told.
    pub fn place(&mut self, machine: &MachineId, task: TaskId, attempt: u64, backfilled: bool, now: Instant) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&task.job), self.machines.get_mut(machine)) else {
            return;
        };
        job.occupy(task.index, machine);
        self.shadows |= backfilled;
        m.idle_since = None;
        let logged = self.log.push(Logged::Start(
            machine.clone(),
            task.job,
            attempt,
            vec![task.index],
        ));
        m.slots.insert(
            task,
            Slot {
                attempt,
                state: SlotState::Placed,
                spec: Some(job.spec.clone()),
                start_token: 0,
                start_session: 0,
                logged,
                outcome: 0,
                backfilled,
                placed_at: now,
                running_since: None,
                stop: None,
                stop_at: None,
            },
        );
        self.due.insert(machine.clone());
        debug!(%task, attempt, machine = %machine, backfilled, "placed");
    }

    /// Asks for a task to be stopped. One that was never started goes at once.
    pub fn stop(&mut self, machine: &MachineId, task: TaskId, grace: Duration, now: Instant, why: &str) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(slot) = m.slots.get_mut(&task) else {
            return;
        };
        if slot.state == SlotState::Placed && slot.start_token == 0 {
            debug!(%task, attempt = slot.attempt, machine = %machine, why, "taken back before its start");
            self.drop_slot(machine, task, now);
            return;
        }
        if !slot.takes_room() || slot.stop.is_some_and(|g| g <= grace) {
            return;
        }
        debug!(%task, attempt = slot.attempt, machine = %machine, why, "stopping");
        slot.order_stop(grace, now);
        self.due.insert(machine.clone());
    }

    /// Removes a slot on evidence; its task waits again unless done.
    fn drop_slot(&mut self, machine: &MachineId, task: TaskId, now: Instant) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        if m.slots.remove(&task).is_some() {
            if !m.slots.values().any(|s| matches!(s.state, SlotState::Ended(_))) {
                m.forget_since = None;
            }
            if m.empty() && m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.vacate(task.index, machine);
            }
        }
    }

    // ---- machines ------------------------------------------------------

    /// Takes what the log of earlier terms says, once the jobs are known.
    pub fn load_log(&mut self, now: Instant) {
        let replay = self.log.replay();
        for (id, indices) in &replay.done {
            if let Some(job) = self.jobs.get_mut(id) {
                for i in indices {
                    job.finish(*i);
                }
            }
        }
        for id in &replay.gone {
            self.gone.bury(id.clone());
        }
        let Replay {
            machines, mut starts, ..
        } = replay;
        for (id, (addr, kind, zone, spot)) in machines {
            let tasks = starts.remove(&id).unwrap_or_default();
            self.load_machine(id, addr, kind, zone, spot, tasks, now);
        }
        // A machine's own entry goes before or with its first start, but the
        // order doesn't matter to safety: what may be on it counts anyway.
        for (id, tasks) in starts {
            self.load_machine(id, String::new(), String::new(), String::new(), false, tasks, now);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn load_machine(
        &mut self,
        id: MachineId,
        addr: String,
        kind: String,
        zone: String,
        spot: bool,
        tasks: BTreeMap<TaskId, u64>,
        now: Instant,
    ) {
        let m = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id.clone(), now));
        m.addr = addr;
        m.machine_type = kind;
        m.zone = zone;
        m.spot = spot;
        m.probe = !m.addr.is_empty();
        if m.probe {
            // It was up: silence from now on counts as silence, not as boot.
            m.phase = Phase::Up;
            self.due.insert(id.clone());
        }
        for (task, attempt) in tasks {
            let job = self.jobs.get_mut(&task.job);
            if job.as_ref().is_some_and(|j| j.done.has(task.index)) {
                // It ended, or its outcome would not be known.
                continue;
            }
            let cancelled = job.as_ref().is_none_or(|j| j.cancelled);
            let mut slot = Slot::unknown(attempt, job.as_ref().map(|j| j.spec.clone()), self.term, now);
            if cancelled {
                slot.order_stop(Duration::ZERO, now);
            }
            m.slots.insert(task, slot);
            m.idle_since = None;
            if let Some(job) = job {
                job.occupy(task.index, &id);
            }
        }
    }

    /// A machine that was just rented.
    pub fn rented(&mut self, id: MachineId, machine_type: &str, zone: &str, spot: bool, now: Instant) {
        if self.gone.contains(&id) {
            return;
        }
        let m = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id, now));
        m.machine_type = machine_type.to_owned();
        m.zone = zone.to_owned();
        m.spot = spot;
        let entry = m.entry();
        self.log.push(entry);
    }

    /// Takes in the cloud's list. Absence from it means nothing.
    pub fn listed(&mut self, list: &[ListedMachine], now: Instant) {
        let mut found = 0;
        for l in list {
            if self.gone.contains(&l.id) {
                continue;
            }
            let known = self.machines.contains_key(&l.id);
            if !known {
                found += 1;
            }
            let m = self.machines.entry(l.id.clone()).or_insert_with(|| {
                let mut m = Machine::new(l.id.clone(), now);
                if let Some(s) = Duration::try_from_secs_f64(l.age_s)
                    .ok()
                    .and_then(|a| now.checked_sub(a))
                {
                    m.since = s;
                }
                m
            });
            if !known {
                m.machine_type = l.machine_type.clone();
                m.zone = l.zone.clone();
                m.spot = l.spot;
                if l.state == CloudState::Running {
                    m.phase = Phase::Up;
                    m.since = now;
                    m.probe = true;
                }
            }
            if m.addr.is_empty() && !l.addr.is_empty() {
                m.addr = l.addr.clone();
                let entry = m.entry();
                self.log.push(entry);
            }
            if l.state == CloudState::Running && m.phase == Phase::Booting {
                m.probe = true;
            }
            if m.probe {
                self.due.insert(l.id.clone());
            }
            if l.state == CloudState::Failed {
                m.cordoned.get_or_insert(now);
                // Stopped on its own: nothing on it runs any more.
                self.clear_machine(&l.id, now, "listed as failed");
            }
        }
        if found > 0 {
            info!(machines = found, "found in the list, taken over");
        }
    }

    /// The cloud has confirmed the release: the machine and all on it are gone.
    pub fn released(&mut self, id: &MachineId, now: Instant) {
        self.clear_machine(id, now, "machine released");
        if self.machines.remove(id).is_some() {
            self.log.push(Logged::Gone(id.clone()));
        }
        self.due.remove(id);
        self.gone.bury(id.clone());
    }

    fn clear_machine(&mut self, id: &MachineId, now: Instant, why: &str) {
        let Some(m) = self.machines.get(id) else { return };
        let tasks: Vec<TaskId> = m.slots.keys().copied().collect();
        if !tasks.is_empty() {
            debug!(machine = %id, tasks = tasks.len(), why, "gone with its tasks");
        }
        for task in tasks {
            self.drop_slot(id, task, now);
        }
    }

    /// This process stood still until now: what it didn't hear is no silence.
    pub fn listen_from(&mut self, now: Instant) {
        self.listening = Some(now);
    }

    /// How long a machine has been silent while this process listened.
    pub fn silence(&self, m: &Machine, now: Instant) -> Duration {
        let last = Some(m.heard.unwrap_or(m.since)).max(self.listening);
        last.map_or(Duration::ZERO, |t| now.saturating_duration_since(t))
    }

    /// Whether all machines that were up when this term began obey it.
    pub fn all_fenced(&self) -> bool {
        let mut up = self.machines.values().filter(|m| m.phase == Phase::Up);
        up.all(|m| !m.probe || m.fenced(self.term))
    }

    /// Whether a machine's lease has run out for certain: it obeys this term,
    /// so that no other's answers renew its lease, and the last answer of this
    /// one was sent longer ago than the lease lasts by the slowest clock.
    fn lapsed(&self, m: &Machine, now: Instant) -> bool {
        let lease = self.config.lease + self.config.lease / 500 + Duration::from_secs(1);
        let last = m.replied.max(m.heard);
        m.phase == Phase::Up
            && m.fenced(self.term)
            && last.is_some_and(|t| now.saturating_duration_since(t) > lease)
    }

    /// Clears machines whose lease has run out: their workers have killed and
    /// forgotten all they held. From then on nothing of that session counts.
    pub fn clear_lapsed(&mut self, now: Instant) {
        let ids: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| !m.slots.is_empty() && self.lapsed(m, now))
            .map(|m| m.id.clone())
            .collect();
        if !ids.is_empty() {
            info!(
                machines = ids.len(),
                "their leases have run out, their tasks are free"
            );
        }
        for id in ids {
            if let Some(m) = self.machines.get_mut(&id) {
                m.newest.1 = u64::MAX;
            }
            self.clear_machine(&id, now, "its lease has run out");
        }
    }

    /// Takes in a message of a worker: a report, or the answer to a command.
    pub fn heard(&mut self, r: &Report, now: Instant) -> Heard {
        if self.gone.contains(&r.machine) {
            return Heard::Gone;
        }
        let term = self.term;
        let cache_gb = self
            .types
            .iter()
            .find(|t| t.name == r.machine_type)
            .map_or(f64::MAX, |t| t.cache_gb);
        if !self.machines.contains_key(&r.machine) {
            info!(machine = %r.machine, "unexpected machine reports, taken over");
            self.machines
                .insert(r.machine.clone(), Machine::new(r.machine.clone(), now));
        }
        let m = self.machines.get_mut(&r.machine).expect("just made");
        if (r.session, r.seq) <= m.newest {
            return Heard::Old;
        }
        m.newest = (r.session, r.seq);
        m.heard = Some(now);
        if m.phase == Phase::Booting {
            m.phase = Phase::Up;
            m.idle_since = m.idle_since.map(|_| now);
            debug!(machine = %r.machine, zone = %r.zone, boot_s = (now - m.since).as_secs_f64(), "machine is up");
        }
        if m.addr != r.addr || m.machine_type != r.machine_type {
            m.addr.clone_from(&r.addr);
            m.machine_type.clone_from(&r.machine_type);
            m.zone.clone_from(&r.zone);
            m.spot = r.spot;
            self.log.push(m.entry());
        }
        m.seen_token = m.seen_token.max(r.token);
        let recall = r
            .notice_s
            .and_then(|s| Duration::try_from_secs_f64(s.max(0.0)).ok())
            .map(|d| now + d);
        if m.recall.is_none() && recall.is_some() {
            debug!(machine = %r.machine, notice_s = r.notice_s, "spot notice");
        }
        m.recall = recall;
        if !m.fenced(term) {
            m.probe = true;
        }

        // Evidence of absence. A later session than the one that a start was
        // sent to has killed and forgotten it, or will refuse it. Otherwise the
        // token settles it. Sessions tell nothing of the starts of earlier
        // terms: the first words of a machine in a term may be late copies.
        let obeys = r.token >> TOKEN_BITS == term;
        let mut absent = Vec::new();
        for (task, slot) in &m.slots {
            let here = r
                .tasks
                .iter()
                .any(|t| t.task == *task && t.attempt == slot.attempt);
            if here {
                continue;
            }
            let settled = slot.start_token > 0 && r.token >= slot.start_token;
            let new_session = slot.start_session > 0 && r.session > slot.start_session;
            if settled || new_session {
                absent.push(*task);
            }
        }
        for task in absent {
            debug!(%task, machine = %r.machine, "gone from its machine");
            self.drop_slot(&r.machine, task, now);
        }
        for t in &r.tasks {
            self.heard_task(r, t, obeys, cache_gb, now);
        }
        // A different attempt than the one that is known (`in_use` tells of
        // it) holds the task's place until it is gone, too.
        if obeys {
            for t in r.tasks.iter().filter(|t| t.state != TaskState::Exited) {
                self.hold_stray(r, t);
            }
        }
        self.note_due(&r.machine);
        Heard::Taken
    }

    fn heard_task(
        &mut self,
        r: &Report,
        t: &crate::wire::ReportedTask,
        obeys: bool,
        cache_gb: f64,
        now: Instant,
    ) {
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return;
        };
        let mut job = self.jobs.get_mut(&t.task.job);
        let term = self.term;
        if let Entry::Vacant(free) = m.slots.entry(t.task) {
            // On the machine though the log doesn't name it: of a job that is
            // over or cancelled, or another attempt. It counts until it is
            // gone. Words older than this term's fence may be late copies.
            if !obeys {
                return;
            }
            debug!(task = %t.task, attempt = t.attempt, machine = %r.machine, "unexpected task");
            let spec = job.as_ref().map(|j| j.spec.clone());
            let mut slot = Slot::unknown(t.attempt, spec, term, now);
            slot.order_stop(Duration::ZERO, now);
            free.insert(slot);
            m.idle_since = None;
            if let Some(job) = job.as_mut().filter(|j| t.task.index < j.spec.tasks) {
                job.occupy(t.task.index, &r.machine);
            }
        }
        let slot = m.slots.get_mut(&t.task).expect("just made");
        if slot.attempt != t.attempt {
            // An ended attempt that is not forgotten yet, beside a new one.
            return;
        }
        if matches!(slot.state, SlotState::Ended(_)) {
            return;
        }
        let mut failed = false;
        match t.state {
            TaskState::Fetching | TaskState::Waiting => slot.state = SlotState::Fetching,
            TaskState::Saving => slot.state = SlotState::Saving,
            TaskState::Running => {
                slot.state = SlotState::Running;
                slot.running_since.get_or_insert(now);
                if let Some(job) = job.as_mut().filter(|j| t.task.index < j.spec.tasks) {
                    job.running.insert(t.task.index);
                }
            }
            TaskState::Exited => {
                let why = t.why.unwrap_or(Why::Other);
                slot.state = SlotState::Ended(why);
                let ran = slot.running_since.map(|s| now - s);
                let attempt = slot.attempt;
                let was_stopped = slot.stop.is_some();
                debug!(task = %t.task, attempt, machine = %r.machine, ?why, "ended");
                m.forget_since.get_or_insert(now);
                if why == Why::Done {
                    m.failures = 0;
                    m.failed_jobs.clear();
                }
                if let Some(job) = job {
                    let service = job.spec.kind == Kind::Service;
                    if why == Why::Done && !service && t.task.index < job.spec.tasks {
                        job.finish(t.task.index);
                        slot.outcome = self.log.push(Logged::Done(t.task.job, vec![t.task.index]));
                        job.failures.clear();
                        if let Some(ran) = ran {
                            job.run_sum += ran;
                            job.run_count += 1;
                        }
                    }
                    if why == Why::Error || why == Why::Other {
                        job.failures.record(&r.machine, ran.unwrap_or_default(), now);
                        m.failures += 1;
                        m.failed_jobs.insert(t.task.job);
                        if job.on_probation(now) {
                            job.pause_until = Some(now + job.failures.pause());
                        }
                        failed = true;
                    }
                    if why == Why::NoRoom && !was_stopped {
                        m.full_until = Some(now + Duration::from_secs(3));
                    }
                    if why == Why::Unknown {
                        job.pause_until = Some(now + Duration::from_secs(2));
                    }
                    job.vacate(t.task.index, &r.machine);
                }
                if m.empty() && m.idle_since.is_none() {
                    m.idle_since = Some(now);
                }
            }
        }
        if failed {
            self.judge_machine(&r.machine, now);
            return;
        }
        let slot = m.slots.get(&t.task).expect("still here");
        if let (Some(spec), SlotState::Running | SlotState::Fetching) = (&slot.spec, slot.state) {
            let (image, gb) = (spec.image.clone(), spec.image_gb);
            m.touch_image(&image, gb, cache_gb);
        }
    }

    /// Cordons a machine that fails its tasks, not one on which bad jobs fail:
    /// it takes failures of a job that is fine elsewhere, or of more jobs than
    /// are likely to be bad at once.
    fn judge_machine(&mut self, id: &MachineId, now: Instant) {
        let Some(m) = self.machines.get_mut(id).filter(|m| m.cordoned.is_none()) else {
            return;
        };
        let fine = |id: &JobId| self.jobs.get(id).is_some_and(|j| j.done.count() > 0);
        let many = m.failed_jobs.len();
        let any_fine = m.failed_jobs.iter().any(fine);
        if many >= 3 || any_fine && (many >= 2 || m.failures >= 3) {
            info!(machine = %id, failures = m.failures, jobs = many, "cordoned: fails its tasks");
            m.cordoned = Some(now);
        }
    }

    /// Ends cordons that have lasted long enough: what ailed the machine may be
    /// over. This doesn't wait for the machine to empty, nor does it rely on
    /// its release, which the cloud may refuse for long: else work would wait
    /// beside its room.
    pub fn end_cordons(&mut self, now: Instant) {
        let over = |m: &&mut Machine| {
            m.cordoned
                .is_some_and(|t| now.saturating_duration_since(t) > CORDON)
        };
        for m in self.machines.values_mut().filter(over) {
            info!(machine = %m.id, "tried again after its cordon");
            m.cordoned = None;
            m.failed_jobs.clear();
            m.failures = 0;
        }
    }

    /// How many tasks of a job may be placed at once, see [`super::probation`].
    pub fn admitted(&self, job: &Job, now: Instant) -> u32 {
        if !job.on_probation(now) {
            return u32::MAX;
        }
        let trial = job.failures.trial();
        let survives = |slot: &&Slot| {
            slot.running_since
                .is_some_and(|t| now.saturating_duration_since(t) > trial)
        };
        let slots = job.places.iter().flat_map(|(index, machines)| {
            let task = TaskId {
                job: job.spec.id,
                index: *index,
            };
            machines
                .iter()
                .filter_map(move |m| self.machines.get(m)?.slots.get(&task))
        });
        job.failures.admitted(slots.filter(survives).count() as u32)
    }

    fn hold_stray(&mut self, r: &Report, t: &crate::wire::ReportedTask) {
        let Some(slot) = self
            .machines
            .get_mut(&r.machine)
            .and_then(|m| m.slots.get_mut(&t.task))
        else {
            return;
        };
        if slot.attempt == t.attempt {
            return;
        }
        slot.stop = Some(Duration::ZERO);
        if !matches!(slot.state, SlotState::Ended(_)) {
            return;
        }
        slot.attempt = t.attempt;
        slot.state = SlotState::Unknown;
        if let Some(job) = self.jobs.get_mut(&t.task.job) {
            job.occupy(t.task.index, &r.machine);
        }
    }

    /// The token for the response to a report, and what the response orders.
    /// The token is one that the worker has reported in this term, so that no
    /// response runs ahead of a command that is still on its way; where it has
    /// none, or where outcomes are to be forgotten and no command is on its
    /// way, a fresh one that no command carries. `None`: a later leader has spoken.
    pub fn reply(&mut self, machine: &MachineId, reported: u64, now: Instant) -> Option<(u64, Vec<Command>)> {
        if reported >> TOKEN_BITS > self.term {
            return None;
        }
        let term = self.term;
        let patience = self.config.report;
        let (log, jobs) = (&self.log, &self.jobs);
        let m = self.machines.get_mut(machine)?;
        m.replied = Some(now);
        if !m.fenced(term) {
            return Some((m.fresh_token(term), Vec::new()));
        }
        // A start on its way to a task that is to be stopped: where commands don't
        // get through, it would wait out there for as long as this worker's lease
        // is renewed here. A fresh token refuses it for good.
        let astray = m.slots.values().any(|s| {
            s.state == SlotState::Placed
                && s.start_token > m.seen_token
                && s.stop_at
                    .is_some_and(|t| now.saturating_duration_since(t) > patience)
        });
        if astray {
            return Some((m.fresh_token(term), Vec::new()));
        }
        if m.commanding || m.forget_since.is_none() {
            return Some((m.seen_token, Vec::new()));
        }
        let orders = m.forgets(log, jobs);
        if orders.is_empty() {
            return Some((m.seen_token, orders));
        }
        Some((m.fresh_token(term), orders))
    }

    /// Stops for what a report lists of cancelled jobs. They go with every
    /// response that renews a lease, also past the right to act, so that no
    /// answer of one who knows of a cancellation lets its tasks live on. A stop
    /// names an attempt and may be repeated; it is no evidence by itself.
    pub fn stops(&self, r: &Report) -> Vec<Command> {
        let live = r.tasks.iter().filter(|t| t.state != TaskState::Exited);
        live.filter(|t| self.jobs.get(&t.task.job).is_some_and(|j| j.cancelled))
            .map(|t| Command::Stop {
                task: t.task,
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    /// Notes that a command may be due for a machine that none is on its way to.
    fn note_due(&mut self, id: &MachineId) {
        let due = |m: &Machine| !m.commanding && m.wants_command();
        if self.machines.get(id).is_some_and(due) {
            self.due.insert(id.clone());
        }
    }

    /// Commands that are due, at most so many probes of machines that have
    /// nothing else to do. Tokens are fresh.
    pub fn commands(
        &mut self,
        now: Instant,
        probes: usize,
    ) -> Vec<(MachineId, String, crate::wire::Commands)> {
        let mut out = Vec::new();
        let mut left = probes;
        for id in std::mem::take(&mut self.due) {
            let Some(m) = self.machines.get(&id) else { continue };
            if left == 0 && m.probe && !m.fenced(self.term) {
                self.due.insert(id);
                continue;
            }
            let probe = m.probe;
            match self.command(&id, now) {
                Some((addr, c)) => {
                    left -= usize::from(probe && left > 0);
                    out.push((id, addr, c));
                }
                None => self.note_due(&id),
            }
        }
        out
    }

    /// The next command to a worker, if one is due. The token is fresh.
    pub fn command(&mut self, machine: &MachineId, now: Instant) -> Option<(String, crate::wire::Commands)> {
        let term = self.term;
        let types = &self.types;
        let (log, jobs) = (&self.log, &self.jobs);
        let patience = self.config.report * 2;
        let m = self.machines.get_mut(machine)?;
        if m.commanding || m.addr.is_empty() || m.command_after.is_some_and(|t| t > now) {
            return None;
        }
        if m.phase == Phase::Releasing {
            return None;
        }
        let mut commands = m.forgets(log, jobs);
        let forgets = commands.len();
        let mut used = (0.0, 0.0, 0.0);
        for (task, slot) in &mut m.slots {
            let Some(grace) = slot.stop.filter(|_| slot.takes_room()) else {
                if !matches!(slot.state, SlotState::Ended(_) | SlotState::Placed) || slot.start_token > 0 {
                    if let Some(s) = slot.spec.as_ref().filter(|_| slot.takes_room()) {
                        used = (used.0 + s.cpus, used.1 + s.gpus, used.2 + s.memory_gb);
                    }
                }
                continue;
            };
            let overdue = slot
                .stop_at
                .is_some_and(|t| now > t + grace + Duration::from_secs(2));
            let grace = if overdue { Duration::ZERO } else { grace };
            let saves = slot
                .spec
                .as_ref()
                .is_some_and(|s| s.checkpoint_s > 0.0 && s.save_s > 0.0)
                && !grace.is_zero();
            if saves {
                if let Some(s) = &slot.spec {
                    used = (used.0 + s.cpus, used.1 + s.gpus, used.2 + s.memory_gb);
                }
            }
            if slot.state == SlotState::Saving && !overdue && !grace.is_zero() {
                continue;
            }
            commands.push(Command::Stop {
                task: *task,
                attempt: slot.attempt,
                grace_s: grace.as_secs_f64(),
            });
        }
        let kind = types.iter().find(|t| t.name == m.machine_type);
        let token = m.peek_token(term);
        let session = m.newest.0.max(1);
        for (task, slot) in &mut m.slots {
            if slot.state != SlotState::Placed || slot.stop.is_some() || !log.is_stored(slot.logged) {
                continue;
            }
            let Some(s) = &slot.spec else { continue };
            if jobs.get(&task.job).is_none_or(|j| j.cancelled) {
                continue;
            }
            if slot.start_token == 0 {
                // Not before there is room for it: tasks told to stop may
                // still be saving.
                let Some(k) = kind else { continue };
                if used.0 + s.cpus > k.cpus + EPS
                    || used.1 + s.gpus > k.gpus + EPS
                    || used.2 + s.memory_gb > k.memory_gb + EPS
                {
                    continue;
                }
                used = (used.0 + s.cpus, used.1 + s.gpus, used.2 + s.memory_gb);
            }
            slot.start_token = token;
            // The latest session that a start went to: any later one refuses.
            slot.start_session = slot.start_session.max(session);
            commands.push(Command::Start {
                task: *task,
                attempt: slot.attempt,
            });
        }
        // Outcomes are forgotten along with other orders or in the response to
        // a report; alone only if neither comes.
        let tardy = m
            .forget_since
            .is_some_and(|t| now.saturating_duration_since(t) > patience);
        if !m.probe && (commands.is_empty() || commands.len() == forgets && !tardy) {
            return None;
        }
        m.probe = false;
        m.commanding = true;
        let token = m.fresh_token(term);
        Some((
            m.addr.clone(),
            crate::wire::Commands {
                token,
                session,
                commands,
            },
        ))
    }

    /// Whether a machine reports, by way of others, but has taken no command for
    /// so long.
    pub fn is_deaf(&self, m: &Machine, now: Instant, long: Duration) -> bool {
        let within = |t: Instant, d: Duration| now.saturating_duration_since(t) < d;
        m.phase == Phase::Up
            && m.heard.is_some_and(|t| within(t, self.config.report * 2))
            && m.unanswered
                .max(self.listening.filter(|_| m.unanswered.is_some()))
                .is_some_and(|t| !within(t, long))
    }

    /// Most machines report by way of others and take no command from here:
    /// this leader is cut off from the workers alone, and their leases would
    /// live on while its stops never arrive.
    pub fn cut_from_workers(&self, now: Instant) -> bool {
        let long = Duration::from_secs(5);
        let recent = |t: Instant| now.saturating_duration_since(t) < long;
        // Idle machines are sent nothing, and tell nothing.
        let answer = self
            .machines
            .values()
            .filter(|m| m.unanswered.is_none() && m.answered.is_some_and(recent));
        let deaf = self
            .machines
            .values()
            .filter(|m| self.is_deaf(m, now, long))
            .count();
        deaf > 2 && deaf > answer.count()
    }

    /// A command was answered, or not (`report` is `None`: unknown).
    pub fn commanded(&mut self, machine: &MachineId, report: Option<&Report>, now: Instant) {
        if let Some(r) = report.filter(|r| r.machine == *machine) {
            self.heard(r, now);
        }
        let term = self.term;
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        self.due.insert(machine.clone());
        m.commanding = false;
        if report.is_some() {
            m.unanswered = None;
            m.answered = Some(now);
        }
        if report.is_none() {
            m.unanswered.get_or_insert(now);
            m.probe = true;
            m.command_after = Some(now + Duration::from_millis(700));
        } else if !m.fenced(term) {
            m.probe = true;
        }
    }
}

impl Machine {
    /// Orders to forget what has ended and is stored.
    fn forgets(&self, log: &Log, jobs: &BTreeMap<JobId, Job>) -> Vec<Command> {
        let kept = |task: &TaskId, slot: &Slot| match slot.state {
            SlotState::Ended(Why::Done) => log.is_stored(slot.outcome) || !jobs.contains_key(&task.job),
            SlotState::Ended(_) => true,
            _ => false,
        };
        self.slots
            .iter()
            .filter(|(task, slot)| kept(task, slot))
            .map(|(task, slot)| Command::Forget {
                task: *task,
                attempt: slot.attempt,
            })
            .collect()
    }

    fn peek_token(&self, term: u64) -> u64 {
        (term << TOKEN_BITS) + self.token_seq + 1
    }

    /// A token above all given out for this machine before.
    fn fresh_token(&mut self, term: u64) -> u64 {
        self.token_seq += 1;
        (term << TOKEN_BITS) + self.token_seq
    }
}
