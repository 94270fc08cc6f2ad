//! What is known of jobs and machines, and what may be where.
//!
//! The safety rules live here. A task's place is a [`Slot`]; it is made before
//! the log is written, and removed only on evidence that the
//! attempt is gone: it ended, it is absent from a message of the worker that
//! has seen a token at least as high as the last `start`, the worker's session
//! is a later one, or the cloud has confirmed the machine's release.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use crate::core::state::config::SchedulerConfig;
use crate::core::state::dependencies::{Dependencies, DependencyOutcome, DependentJob, Urgency};
use crate::core::state::fleet_state::FleetState;
use crate::core::state::job::Job;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::slot::{Slot, SlotState};
use crate::core::state::token;
use crate::core::state::tombstones::Tombstones;
use crate::core::storage::record::JobRecord;
use crate::core::storage::wal::{LogEntry as Logged, LogReplay, WriteAheadLog};
use crate::wire::{CloudState, JobId, JobState, JobStatus, ListedMachine, MachineId, MachineType, TaskId};

/// Ratios of the Last Model are kept above this, so that a team's job of no
/// length doesn't make its long ones look like nothing.
pub const MIN_RUN_TIME_RATIO: f64 = 0.1;

/// The cluster as the leader of one term knows it.
#[derive(Debug)]
pub struct ClusterModel {
    /// What it was told once.
    pub(in crate::core) config: Arc<SchedulerConfig>,
    /// The leader's term.
    pub(in crate::core) term: u64,
    /// Machine types; empty until known.
    pub(in crate::core) machine_types: Vec<MachineType>,
    /// Unfinished jobs.
    pub(in crate::core) jobs: BTreeMap<JobId, Job>,
    /// Which of them wait for which jobs.
    pub(in crate::core) dependencies: Dependencies,
    /// Machines.
    pub(in crate::core) machines: BTreeMap<MachineId, Machine>,
    /// Run-to-estimate ratio of each team's last finished job.
    pub(in crate::core) run_time_ratios: BTreeMap<String, f64>,
    /// The ratios changed since they were last taken for storing.
    pub(in crate::core) run_time_ratios_changed: bool,
    /// When they were last written.
    pub(in crate::core) run_time_ratios_taken_at: Option<Instant>,
    /// The write-ahead log.
    pub(in crate::core) log: WriteAheadLog,
    /// When an append was last taken from it.
    pub(in crate::core) log_append_taken_at: Option<Instant>,
    /// Machines that a command may be due for.
    pub(in crate::core) command_candidates: BTreeSet<MachineId>,
    /// Machines that are gone; late words of them mean nothing.
    pub(in crate::core) released_machines: Tombstones,
    /// Some task may have been started by backfilling.
    pub(in crate::core) has_backfilled: bool,
    /// This process has listened since then without a pause of its own.
    pub(in crate::core) listening_since: Option<Instant>,
    /// Attempts given out.
    attempts: u64,
    /// Rentals under way and pauses, see [`FleetState`].
    pub(in crate::core) fleet: FleetState,
}

impl ClusterModel {
    /// An empty cluster.
    pub fn new(config: Arc<SchedulerConfig>, term: u64) -> Self {
        Self {
            log: WriteAheadLog::new(config.value_bytes),
            log_append_taken_at: None,
            command_candidates: BTreeSet::new(),
            config,
            term,
            machine_types: Vec::new(),
            jobs: BTreeMap::new(),
            dependencies: Dependencies::default(),
            machines: BTreeMap::new(),
            run_time_ratios: BTreeMap::new(),
            run_time_ratios_changed: false,
            run_time_ratios_taken_at: None,
            released_machines: Tombstones::default(),
            has_backfilled: false,
            listening_since: None,
            attempts: 0,
            fleet: FleetState::default(),
        }
    }

    /// What the settings say that its rules need.
    pub fn config(&self) -> &SchedulerConfig {
        &self.config
    }

    /// The term of the leader that it belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The machine types that the cloud offers; empty until known.
    pub fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// Takes the machine types as the cloud or the state service lists them.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.machine_types = machine_types;
    }

    /// The unfinished jobs.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Which of the unfinished jobs wait for which others.
    pub fn dependencies(&self) -> &Dependencies {
        &self.dependencies
    }

    /// The rented machines, until the cloud confirms their release.
    pub fn machines(&self) -> &BTreeMap<MachineId, Machine> {
        &self.machines
    }

    /// The Last Model: run-to-estimate ratio of each team's last finished job.
    pub fn run_time_ratios(&self) -> &BTreeMap<String, f64> {
        &self.run_time_ratios
    }

    /// Takes the ratios that an earlier term stored.
    pub fn load_run_time_ratios(&mut self, ratios: BTreeMap<String, f64>) {
        self.run_time_ratios = ratios;
    }

    /// Takes a stored segment of the log, before [`ClusterModel::replay_log`].
    /// False: it can't be read, so that what may be where is unknown.
    pub fn load_log_segment(&mut self, number: u64, value: serde_json::Value) -> bool {
        self.log.load(number, value)
    }

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
        self.add_dependencies(&job);
        self.jobs.insert(id, job);
        let cancelled = |named: &&JobId| self.jobs.get(named).is_some_and(Job::cancellation_is_stored);
        let cancelled: Vec<JobId> = spec
            .awaits
            .iter()
            .chain([&id])
            .filter(cancelled)
            .copied()
            .collect();
        for named in cancelled {
            self.cancel_dependents(named);
        }
    }

    fn add_dependencies(&mut self, job: &Job) {
        let own = self.own_deadlines(job);
        let at = |due: Option<f64>| {
            let due = Duration::try_from_secs_f64(due?).ok()?;
            job.arrival.checked_add(due)
        };
        let dependent = DependentJob {
            id: job.spec.id,
            awaits: &job.spec.awaits,
            urgency: Urgency {
                priority: job.spec.priority,
                due: at(own.earliest),
                latest_due: at(own.latest),
            },
            run_time: self.predict(&job.spec),
        };
        let jobs = &self.jobs;
        self.dependencies.add(&dependent, |named| {
            jobs.get(&named).is_some_and(|j| !j.cancellation_is_stored())
        });
    }

    /// Takes what the state service says of a job that others name.
    pub fn resolve_dependency(&mut self, id: JobId, outcome: DependencyOutcome) {
        match outcome {
            DependencyOutcome::Done(since) => self.dependencies.done_stored(id, since),
            DependencyOutcome::Cancelled => self.cancel_dependents(id),
        }
    }

    /// Cancels all jobs that need a job whose cancellation is stored. That record
    /// holds for them, too: theirs need not be stored before anybody is told.
    fn cancel_dependents(&mut self, id: JobId) {
        for dependent in self.dependencies.cancellation_stored(id) {
            // One that its own user cancels meanwhile has its own record on its way.
            if let Some(job) = self.jobs.get_mut(&dependent).filter(|j| !j.cancelled) {
                job.cancelled = true;
                job.cancel_stored = true;
                info!(job = %dependent, needs = %id, "cancelled with a job that it needs");
            }
        }
    }

    /// Whether a job has a place in the queue: it is neither cancelled nor waiting
    /// for other jobs.
    pub(in crate::core) fn is_ready(&self, job: &Job) -> bool {
        !job.cancelled && self.dependencies.is_ready(job.spec.id)
    }

    /// Jobs that have a place in the queue, whether or not tasks of them are placed.
    pub(in crate::core) fn ready_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| self.is_ready(job))
    }

    /// Whether a job is ready and has tasks that are not placed yet.
    pub fn is_waiting_for_capacity(&self, job: &Job) -> bool {
        job.waiting.count() > 0 && self.is_ready(job)
    }

    /// The jobs that want room, see [`ClusterModel::is_waiting_for_capacity`].
    pub fn jobs_waiting_for_capacity(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| self.is_waiting_for_capacity(job))
    }

    /// When a job began to wait for room: when it arrived, or when the last job
    /// that it needs was done.
    pub fn ready_since(&self, job: &Job) -> Instant {
        let done = self.dependencies.ready_since(job.spec.id);
        done.map_or(job.arrival, |t| t.max(job.arrival))
    }

    /// Takes a cancellation that has been stored.
    pub fn cancel_stored(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancel_stored = true;
        }
        self.cancel_dependents(id);
    }

    /// Asks for a job's tasks to be stopped, and lets none start any more.
    pub fn cancel(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancelled = true;
        let places = job.all_places();
        if !job.cancel_stored {
            self.dependencies.cancellation_requested(id);
        }
        for (machine, index) in places {
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
        self.dependencies.remove(id);
    }

    /// What its user is told; `None` also while a final state or a cancellation,
    /// its own or of a job that it needs, is on its way to be stored. It may be
    /// stored already though no answer says so, and another controller that read
    /// it may have told the user: only what is stored is sure then.
    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        let job = self.jobs.get(&id)?;
        let cancelled = job.cancellation_is_stored();
        if !cancelled && (job.final_write_pending || job.cancelled || self.dependencies.in_doubt(id)) {
            return None;
        }
        let running = job.running.len() as u32;
        let state = if cancelled {
            JobState::Cancelled
        } else if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        Some(JobStatus {
            id,
            state,
            done: job.done.count(),
            running,
        })
    }

    /// A new attempt number, never used before.
    pub fn new_attempt(&mut self) -> u64 {
        self.attempts += 1;
        token::first_of_term(self.term) + self.attempts
    }

    /// Places a task: the slot is made, the log is told.
    pub fn place(&mut self, machine: &MachineId, task: TaskId, attempt: u64, backfilled: bool, now: Instant) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&task.job), self.machines.get_mut(machine)) else {
            return;
        };
        job.occupy(task.index, machine);
        self.has_backfilled |= backfilled;
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
                start_incarnation: 0,
                logged,
                outcome: 0,
                backfilled,
                placed_at: now,
                running_since: None,
                stop: None,
                stop_at: None,
            },
        );
        self.command_candidates.insert(machine.clone());
        debug!(%task, attempt, machine = %machine, backfilled, "placed");
    }

    /// Asks for a task to be stopped. One that was never started goes at once.
    pub fn stop(&mut self, machine: &MachineId, task: TaskId, grace: Duration, now: Instant, reason: &str) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(slot) = m.slots.get_mut(&task) else {
            return;
        };
        if slot.state == SlotState::Placed && slot.start_token == 0 {
            debug!(%task, attempt = slot.attempt, machine = %machine, reason, "taken back before its start");
            self.drop_slot(machine, task, now);
            return;
        }
        if !slot.takes_room() || slot.stop.is_some_and(|g| g <= grace) {
            return;
        }
        debug!(%task, attempt = slot.attempt, machine = %machine, reason, "stopping");
        slot.order_stop(grace, now);
        self.command_candidates.insert(machine.clone());
    }

    /// Removes a slot on evidence; its task waits again unless done.
    pub(in crate::core) fn drop_slot(&mut self, machine: &MachineId, task: TaskId, now: Instant) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        if m.slots.remove(&task).is_some() {
            if !m.slots.values().any(|s| matches!(s.state, SlotState::Ended(_))) {
                m.unacknowledged_since = None;
            }
            if m.empty() && m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.vacate(task.index, machine);
            }
        }
    }

    /// Takes what the log of earlier terms says, once the jobs are known.
    pub fn replay_log(&mut self, now: Instant) {
        let replay = self.log.replay();
        for (id, indices) in &replay.done {
            if let Some(job) = self.jobs.get_mut(id) {
                for i in indices {
                    job.finish(*i);
                }
            }
        }
        for id in &replay.released_machines {
            self.released_machines.insert(id.clone());
        }
        let LogReplay {
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
    pub(in crate::core) fn load_machine(
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
        m.needs_probe = !m.addr.is_empty();
        if m.needs_probe {
            // It was up: silence from now on counts as silence, not as boot.
            m.phase = MachinePhase::Up;
            self.command_candidates.insert(id.clone());
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
        if self.released_machines.contains(&id) {
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
            if self.released_machines.contains(&l.id) {
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
                    m.phase = MachinePhase::Up;
                    m.since = now;
                    m.needs_probe = true;
                }
            }
            if m.addr.is_empty() && !l.addr.is_empty() {
                m.addr = l.addr.clone();
                let entry = m.entry();
                self.log.push(entry);
            }
            if l.state == CloudState::Running && m.phase == MachinePhase::Booting {
                m.needs_probe = true;
            }
            if m.needs_probe {
                self.command_candidates.insert(l.id.clone());
            }
            if l.state == CloudState::Failed {
                m.cordoned_since.get_or_insert(now);
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
            self.log.push(Logged::Released(id.clone()));
        }
        self.command_candidates.remove(id);
        self.released_machines.insert(id.clone());
    }

    pub(in crate::core) fn clear_machine(&mut self, id: &MachineId, now: Instant, reason: &str) {
        let Some(m) = self.machines.get(id) else { return };
        let tasks: Vec<TaskId> = m.slots.keys().copied().collect();
        if !tasks.is_empty() {
            debug!(machine = %id, tasks = tasks.len(), reason, "gone with its tasks");
        }
        for task in tasks {
            self.drop_slot(id, task, now);
        }
    }
}
