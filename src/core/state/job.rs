//! An unfinished job: what is done, what waits, and where its tasks may be.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::core::state::probation::FailureHistory;
use crate::core::state::task_set::TaskSet;
use crate::core::storage::record::JobRecord;
use crate::wire::{JobKind, JobSpec, MachineId};

/// An unfinished job.
#[derive(Debug)]
pub struct Job {
    /// What its user submitted.
    pub spec: Arc<JobSpec>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The same moment on this process's monotonic clock.
    pub arrival: Instant,
    /// It is cancelled: no task starts any more, and those that run are stopped.
    pub cancelled: bool,
    /// The cancellation is stored in the state service.
    pub cancel_stored: bool,
    /// Indices of the tasks that are done.
    pub done: TaskSet,
    /// Indices of the tasks that are neither done nor placed.
    pub waiting: TaskSet,
    /// The machines on which each placed task may be, by the task's index.
    pub places: HashMap<u32, Vec<MachineId>>,
    /// Indices of the tasks that were running by the last heartbeat of their machine.
    pub running: HashSet<u32>,
    /// Number of machines in `places`, over all tasks.
    pub placed: u32,
    /// Its final state is on its way to the state service.
    pub final_write_pending: bool,
    /// Failures since the last success.
    pub failures: FailureHistory,
    /// No task is placed before this time.
    pub pause_until: Option<Instant>,
    /// Sum of the run times of tasks that ended `done` in this term.
    pub run_sum: Duration,
    /// How many run times are in `run_sum`.
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
            done: TaskSet::new(n),
            waiting: TaskSet::full(n),
            places: HashMap::new(),
            running: HashSet::new(),
            placed: 0,
            final_write_pending: false,
            failures: FailureHistory::default(),
            pause_until: None,
            run_sum: Duration::ZERO,
            run_count: 0,
        }
    }

    /// Marks a task as done; it never waits again.
    pub(in crate::core) fn finish(&mut self, index: u32) {
        self.waiting.remove(index);
        self.done.insert(index);
    }

    /// Whether some task was ever started, as far as is known.
    pub fn has_started(&self) -> bool {
        self.placed > 0 || self.done.count() > 0
    }

    /// It failed on several machines of late, and no task was ever done.
    pub fn on_probation(&self, now: Instant) -> bool {
        self.done.count() == 0 && self.failures.on_probation(now)
    }

    /// Its cancellation is stored, so that anybody may be told of it.
    pub fn cancellation_is_stored(&self) -> bool {
        self.cancelled && self.cancel_stored
    }

    /// Each place where one of its tasks may be, and the task's number.
    pub(in crate::core) fn all_places(&self) -> Vec<(MachineId, u32)> {
        let places = self.places.iter();
        places
            .flat_map(|(index, machines)| machines.iter().map(move |m| (m.clone(), *index)))
            .collect()
    }

    /// All its tasks are done.
    pub fn is_complete(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done.count() == self.spec.tasks
    }

    /// The time of day at an instant, in milliseconds.
    pub(in crate::core) fn wall_clock(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.arrival);
        self.at.saturating_add(age.as_millis() as u64)
    }

    /// What survives. A cancelled job never starts again, so the lists that only
    /// its starts need are left out: an acceptance that was stored when values
    /// could be larger has to be cancelled within the limits that hold by now.
    pub fn record(&self) -> JobRecord {
        let mut spec = (*self.spec).clone();
        if self.cancelled {
            spec.types = None;
            spec.awaits.clear();
        }
        JobRecord {
            spec,
            at: self.at,
            cancelled: self.cancelled,
        }
    }

    /// A gang that lost some of its tasks: the rest has to go before it can
    /// be placed again, whole.
    pub fn broken_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang && !self.places.is_empty() && self.waiting.count() > 0
    }

    /// Adds a machine on which a task may be; the task no longer waits.
    pub(in crate::core) fn occupy(&mut self, index: u32, machine: &MachineId) {
        let list = self.places.entry(index).or_default();
        if !list.contains(machine) {
            list.push(machine.clone());
            self.placed += 1;
            self.waiting.remove(index);
        }
    }

    /// Removes a machine on which a task is no more. Without any place left, the task
    /// waits again unless it is done.
    pub(in crate::core) fn vacate(&mut self, index: u32, machine: &MachineId) {
        if let Some(list) = self.places.get_mut(&index) {
            let before = list.len();
            list.retain(|m| m != machine);
            self.placed -= (before - list.len()) as u32;
            self.running.remove(&index);
            if list.is_empty() {
                self.places.remove(&index);
                if !self.done.contains(index) {
                    self.waiting.insert(index);
                }
            }
        }
    }
}
