//! What is known of jobs and machines, and what may be where.
//!
//! The safety rules live here. A task's place is a [`Slot`]; it is made before
//! the machine's record is written, and removed only on evidence that the
//! attempt is gone: it ended, it is absent from a message of the worker that
//! has seen a token at least as high as the last `start`, the worker's session
//! is a later one, or the cloud has confirmed the machine's release.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::bits::BitSet;
use super::record::{JobRecord, MachineRecord};
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
    /// Lag of the machine list.
    pub list_lag: Duration,
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
            list_lag: p.params.cloud.list_lag,
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
    /// Count of changes to `done`.
    pub rev: u64,
    /// The change up to which `done` is stored.
    pub stored_rev: u64,
    /// A write is under way.
    pub writing: bool,
    /// Pages of `done` to be written (jobs of several pages).
    pub dirty_pages: BTreeSet<u32>,
    /// When `done` was last written.
    pub written_at: Option<Instant>,
    /// Machines on which a task failed since the last success.
    pub failed_on: BTreeSet<MachineId>,
    /// Failures since the last success.
    pub failures: u32,
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
        let mut done = BitSet::new(n);
        if BitSet::pages(n) == 1 {
            done.merge_page(0, &record.done);
        }
        let mut job = Self {
            spec: Arc::new(record.spec),
            at: record.at,
            arrival,
            cancelled: record.cancelled,
            cancel_stored: record.cancelled,
            done,
            waiting: BitSet::full(n),
            places: HashMap::new(),
            rev: 0,
            stored_rev: 0,
            writing: false,
            dirty_pages: BTreeSet::new(),
            written_at: None,
            failed_on: BTreeSet::new(),
            failures: 0,
            pause_until: None,
            run_sum: Duration::ZERO,
            run_count: 0,
        };
        job.reckon();
        job
    }

    /// Works out anew which tasks wait.
    fn reckon(&mut self) {
        for i in 0..self.spec.tasks {
            if self.done.has(i) || self.places.contains_key(&i) {
                self.waiting.remove(i);
            }
        }
    }

    /// Adds a stored page of done tasks.
    pub fn load_page(&mut self, page: u32, text: &str) {
        self.done.merge_page(page, text);
        self.reckon();
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
            done: if BitSet::pages(self.spec.tasks) == 1 {
                self.done.page(0)
            } else {
                String::new()
            },
        }
    }

    /// A gang that lost some of its tasks: the rest has to go before it can
    /// be placed again, whole.
    pub fn broken_gang(&self) -> bool {
        self.spec.kind == Kind::Gang && !self.places.is_empty() && self.waiting.count() > 0
    }

    /// When it is due, if it has a deadline.
    pub fn due(&self) -> Option<Instant> {
        self.spec
            .deadline_s
            .map(|s| self.arrival + Duration::from_secs_f64(s))
    }

    fn occupy(&mut self, index: u32, machine: &MachineId) {
        self.waiting.remove(index);
        self.places.entry(index).or_default().push(machine.clone());
    }

    fn vacate(&mut self, index: u32, machine: &MachineId) {
        if let Some(list) = self.places.get_mut(&index) {
            list.retain(|m| m != machine);
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
    /// The machine's record names it from this change on.
    pub need_rev: u64,
    /// For ended tasks: the job's change that holds the outcome.
    pub outcome_rev: u64,
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
            need_rev: 0,
            outcome_rev: 0,
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
    /// When the cloud takes it.
    pub recall: Option<Instant>,
    /// What is or may be on it.
    pub slots: BTreeMap<TaskId, Slot>,
    /// Images, most recently used last.
    pub images: Vec<(String, f64)>,
    /// Count of changes to the record.
    pub rev: u64,
    /// Change up to which the record is stored.
    pub stored_rev: u64,
    /// A write is under way.
    pub writing: bool,
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
    /// Takes no more tasks.
    pub cordoned: bool,
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
            recall: None,
            slots: BTreeMap::new(),
            images: Vec::new(),
            rev: 1,
            stored_rev: 0,
            writing: false,
            commanding: false,
            command_after: None,
            unanswered: None,
            answered: None,
            probe: false,
            failed_jobs: BTreeSet::new(),
            failures: 0,
            cordoned: false,
            full_until: None,
            idle_since: Some(now),
        }
    }

    /// What survives.
    pub fn record(&self) -> MachineRecord {
        MachineRecord {
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            tasks: self
                .slots
                .iter()
                .filter(|(_, s)| s.takes_room())
                .map(|(t, s)| (*t, s.attempt))
                .collect(),
        }
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
    /// Records of machines that are gone, to be deleted.
    pub dead_records: Vec<MachineId>,
    /// Machines that are gone; late words of them mean nothing.
    pub gone: VecDeque<MachineId>,
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
            config,
            term,
            types: Vec::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            ratios: BTreeMap::new(),
            ratios_dirty: false,
            ratios_written: None,
            dead_records: Vec::new(),
            gone: VecDeque::new(),
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
                if slot.takes_room() {
                    job.places.entry(task.index).or_default().push(m.id.clone());
                }
            }
        }
        job.reckon();
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

    /// What its user is told.
    pub fn view(&self, id: JobId) -> Option<JobView> {
        let job = self.jobs.get(&id)?;
        let running = self.running_of(id, job);
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

    fn running_of(&self, id: JobId, job: &Job) -> u32 {
        job.places
            .iter()
            .filter(|(i, list)| {
                list.iter().any(|m| {
                    self.machines
                        .get(m)
                        .and_then(|m| m.slots.get(&TaskId { job: id, index: **i }))
                        .is_some_and(|s| s.state == SlotState::Running)
                })
            })
            .count() as u32
    }

    /// A new attempt number, never used before.
    pub fn new_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.term << TOKEN_BITS) + self.attempts
    }

    /// Places a task: the slot is made, the machine's record is due.
    pub fn place(&mut self, machine: &MachineId, task: TaskId, attempt: u64, backfilled: bool, now: Instant) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&task.job), self.machines.get_mut(machine)) else {
            return;
        };
        job.occupy(task.index, machine);
        m.rev += 1;
        m.idle_since = None;
        m.slots.insert(
            task,
            Slot {
                attempt,
                state: SlotState::Placed,
                spec: Some(job.spec.clone()),
                start_token: 0,
                need_rev: m.rev,
                outcome_rev: 0,
                backfilled,
                placed_at: now,
                running_since: None,
                stop: None,
                stop_at: None,
            },
        );
        info!(%task, attempt, machine = %machine, backfilled, "placed");
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
            info!(%task, attempt = slot.attempt, machine = %machine, why, "taken back before its start");
            self.drop_slot(machine, task, now);
            return;
        }
        if !slot.takes_room() || slot.stop.is_some_and(|g| g <= grace) {
            return;
        }
        info!(%task, attempt = slot.attempt, machine = %machine, why, "stopping");
        slot.order_stop(grace, now);
    }

    /// Removes a slot on evidence; its task waits again unless done.
    fn drop_slot(&mut self, machine: &MachineId, task: TaskId, now: Instant) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        if m.slots.remove(&task).is_some() {
            if m.empty() && m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.vacate(task.index, machine);
            }
        }
    }

    // ---- machines ------------------------------------------------------

    /// Takes a record that an earlier leader left.
    pub fn load_machine(&mut self, id: MachineId, record: MachineRecord, now: Instant) {
        let m = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id.clone(), now));
        m.addr = record.addr;
        m.machine_type = record.machine_type;
        m.zone = record.zone;
        m.spot = record.spot;
        m.stored_rev = m.rev;
        m.probe = true;
        if !m.addr.is_empty() {
            // It was up: silence from now on counts as silence, not as boot.
            m.phase = Phase::Up;
        }
        if !record.tasks.is_empty() {
            m.idle_since = None;
        }
        for (task, attempt) in record.tasks {
            let job = self.jobs.get_mut(&task.job);
            let cancelled = job.as_ref().is_none_or(|j| j.cancelled);
            let mut slot = Slot::unknown(attempt, job.as_ref().map(|j| j.spec.clone()), self.term, now);
            if cancelled {
                slot.order_stop(Duration::ZERO, now);
            }
            m.slots.insert(task, slot);
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
    }

    /// Takes in the cloud's list. Absence from it means nothing.
    pub fn listed(&mut self, list: &[ListedMachine], now: Instant) {
        for l in list {
            if self.gone.contains(&l.id) {
                continue;
            }
            let known = self.machines.contains_key(&l.id);
            if !known {
                info!(machine = %l.id, "found in the list, taken over");
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
                m.rev += 1;
            }
            if l.state == CloudState::Running && m.phase == Phase::Booting {
                m.probe = true;
            }
            if l.state == CloudState::Failed {
                m.cordoned = true;
                // Stopped on its own: nothing on it runs any more.
                self.clear_machine(&l.id, now, "listed as failed");
            }
        }
    }

    /// The cloud has confirmed the release: the machine and all on it are gone.
    pub fn released(&mut self, id: &MachineId, now: Instant) {
        self.clear_machine(id, now, "machine released");
        if self.machines.remove(id).is_some() {
            self.dead_records.push(id.clone());
        }
        self.gone.push_back(id.clone());
        if self.gone.len() > 4096 {
            self.gone.pop_front();
        }
    }

    fn clear_machine(&mut self, id: &MachineId, now: Instant, why: &str) {
        let Some(m) = self.machines.get(id) else { return };
        for task in m.slots.keys().copied().collect::<Vec<_>>() {
            info!(%task, machine = %id, why, "gone");
            self.drop_slot(id, task, now);
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
        let old_session = m.newest.0;
        m.newest = (r.session, r.seq);
        m.heard = Some(now);
        if m.phase == Phase::Booting {
            m.phase = Phase::Up;
            m.idle_since = m.idle_since.map(|_| now);
            info!(machine = %r.machine, zone = %r.zone, boot_s = (now - m.since).as_secs_f64(), "machine is up");
        }
        if m.addr != r.addr {
            m.addr.clone_from(&r.addr);
            m.rev += 1;
        }
        m.machine_type.clone_from(&r.machine_type);
        m.zone.clone_from(&r.zone);
        m.spot = r.spot;
        m.seen_token = m.seen_token.max(r.token);
        let recall = r
            .notice_s
            .and_then(|s| Duration::try_from_secs_f64(s.max(0.0)).ok())
            .map(|d| now + d);
        if m.recall.is_none() && recall.is_some() {
            info!(machine = %r.machine, notice_s = r.notice_s, "spot notice");
        }
        m.recall = recall;
        if !m.fenced(term) {
            m.probe = true;
        }

        // Evidence of absence. A new session has killed and forgotten all
        // that an earlier one held; starts sent to the earlier session are
        // refused. Otherwise the token settles it.
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
            let new_session = old_session > 0 && r.session > old_session && slot.start_token > 0;
            if settled || new_session {
                absent.push(*task);
            }
        }
        for task in absent {
            info!(%task, machine = %r.machine, "gone from its machine");
            self.drop_slot(&r.machine, task, now);
        }
        for t in &r.tasks {
            self.heard_task(r, t, term, cache_gb, now);
        }
        // A different attempt than the one that is known (`in_use` tells of
        // it) holds the task's place until it is gone, too.
        for t in r.tasks.iter().filter(|t| t.state != TaskState::Exited) {
            self.hold_stray(r, t);
        }
        Heard::Taken
    }

    fn heard_task(
        &mut self,
        r: &Report,
        t: &crate::wire::ReportedTask,
        term: u64,
        cache_gb: f64,
        now: Instant,
    ) {
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return;
        };
        let mut job = self.jobs.get_mut(&t.task.job);
        if let Entry::Vacant(free) = m.slots.entry(t.task) {
            // On the machine though no record names it: of a job that is over
            // or cancelled, or another attempt. It counts until it is gone.
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
        match t.state {
            TaskState::Fetching | TaskState::Waiting => slot.state = SlotState::Fetching,
            TaskState::Saving => slot.state = SlotState::Saving,
            TaskState::Running => {
                slot.state = SlotState::Running;
                slot.running_since.get_or_insert(now);
            }
            TaskState::Exited => {
                let why = t.why.unwrap_or(Why::Other);
                slot.state = SlotState::Ended(why);
                let ran = slot.running_since.map(|s| now - s);
                let attempt = slot.attempt;
                let was_stopped = slot.stop.is_some();
                info!(task = %t.task, attempt, machine = %r.machine, ?why, "ended");
                if why == Why::Done {
                    m.failures = 0;
                    m.failed_jobs.clear();
                }
                if let Some(job) = job {
                    let service = job.spec.kind == Kind::Service;
                    if why == Why::Done && !service && t.task.index < job.spec.tasks {
                        if job.done.insert(t.task.index) {
                            job.rev += 1;
                            job.dirty_pages.insert(t.task.index / super::bits::PAGE);
                        }
                        job.failures = 0;
                        job.failed_on.clear();
                        if let Some(ran) = ran {
                            job.run_sum += ran;
                            job.run_count += 1;
                        }
                        slot.outcome_rev = job.rev;
                    }
                    if why == Why::Error || why == Why::Other {
                        job.failures += 1;
                        job.failed_on.insert(r.machine.clone());
                        m.failures += 1;
                        m.failed_jobs.insert(t.task.job);
                        // Failing on several machines: the job's own fault,
                        // most likely. Tried again with growing pauses.
                        if job.failed_on.len() >= 3 {
                            let s = 1u64 << job.failures.min(6);
                            job.pause_until = Some(now + Duration::from_secs(s));
                        }
                        let others = m.failed_jobs.len() >= 2;
                        let odd_one_out = m.failures >= 3 && job.run_count > 0;
                        if (others || odd_one_out) && !m.cordoned {
                            info!(machine = %r.machine, failures = m.failures, "cordoned: fails its tasks");
                            m.cordoned = true;
                        }
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
        let slot = m.slots.get(&t.task).expect("still here");
        if let (Some(spec), SlotState::Running | SlotState::Fetching) = (&slot.spec, slot.state) {
            let (image, gb) = (spec.image.clone(), spec.image_gb);
            m.touch_image(&image, gb, cache_gb);
        }
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

    /// The token for the response to a report: the worker's own if it is of
    /// this term, so that no response ever runs ahead of a command that is
    /// still on its way; else a fresh one that no command carries.
    pub fn reply_token(&mut self, machine: &MachineId, reported: u64) -> Option<u64> {
        if reported >> TOKEN_BITS == self.term {
            return Some(reported);
        }
        if reported >> TOKEN_BITS > self.term {
            return None;
        }
        let m = self.machines.get_mut(machine)?;
        Some(m.fresh_token(self.term))
    }

    /// The next command to a worker, if one is due. The token is fresh.
    pub fn command(&mut self, machine: &MachineId, now: Instant) -> Option<(String, crate::wire::Commands)> {
        let term = self.term;
        let types = &self.types;
        let m = self.machines.get_mut(machine)?;
        if m.commanding || m.addr.is_empty() || m.command_after.is_some_and(|t| t > now) {
            return None;
        }
        if m.phase == Phase::Releasing {
            return None;
        }
        let mut commands = Vec::new();
        let stored = m.stored_rev;
        for (task, slot) in &m.slots {
            if let SlotState::Ended(why) = slot.state {
                let kept = why != Why::Done
                    || self
                        .jobs
                        .get(&task.job)
                        .is_none_or(|j| j.stored_rev >= slot.outcome_rev);
                if kept {
                    commands.push(Command::Forget {
                        task: *task,
                        attempt: slot.attempt,
                    });
                }
            }
        }
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
        for (task, slot) in &mut m.slots {
            if slot.state != SlotState::Placed || slot.stop.is_some() || slot.need_rev > stored {
                continue;
            }
            let Some(s) = &slot.spec else { continue };
            if self.jobs.get(&task.job).is_none_or(|j| j.cancelled) {
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
            commands.push(Command::Start {
                task: *task,
                attempt: slot.attempt,
            });
        }
        if commands.is_empty() && !m.probe {
            return None;
        }
        m.probe = false;
        m.commanding = true;
        let token = m.fresh_token(term);
        let session = m.newest.0.max(1);
        Some((
            m.addr.clone(),
            crate::wire::Commands {
                token,
                session,
                commands,
            },
        ))
    }

    /// Machines that report, by way of others, but have taken no command for
    /// so long.
    pub fn deaf_machines(&self, now: Instant, long: Duration) -> Vec<MachineId> {
        let recent = |t: Instant| now.saturating_duration_since(t) < self.config.report * 2;
        self.machines
            .values()
            .filter(|m| m.phase == Phase::Up && m.heard.is_some_and(recent))
            .filter(|m| {
                m.unanswered
                    .is_some_and(|t| now.saturating_duration_since(t) > long)
            })
            .map(|m| m.id.clone())
            .collect()
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
        let deaf = self.deaf_machines(now, long).len();
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
    fn peek_token(&self, term: u64) -> u64 {
        (term << TOKEN_BITS) + self.token_seq + 1
    }

    /// A token above all given out for this machine before.
    fn fresh_token(&mut self, term: u64) -> u64 {
        self.token_seq += 1;
        (term << TOKEN_BITS) + self.token_seq
    }
}
