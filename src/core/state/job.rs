//! An unfinished job: which of its tasks are done or waiting, and where the others may
//! be.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::core::state::probation::FailureHistory;
use crate::core::state::task_set::TaskSet;
use crate::core::storage::record::JobRecord;
use crate::wire::{JobKind, JobSpec, MachineId};

/// An unfinished job and the state of its tasks.
#[derive(Debug)]
pub struct Job {
    /// The job as its user submitted it.
    pub spec: Arc<JobSpec>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// The same moment on this process's steady clock.
    pub arrival: Instant,
    /// Whether it is cancelled: no further task starts, and the running ones are stopped.
    pub cancelled: bool,
    /// Whether the cancellation is stored in the state service.
    pub cancellation_stored: bool,
    /// Indices of the tasks that are done.
    pub done: TaskSet,
    /// Indices of the tasks that are neither done nor placed.
    pub waiting: TaskSet,
    /// The machines on which each placed task may be, by the task's index.
    pub places: HashMap<u32, Vec<MachineId>>,
    /// Indices of the placed tasks that a message of their worker has reported as running.
    pub running: HashSet<u32>,
    /// Number of machines in `places`, summed over all tasks.
    pub place_count: u32,
    /// Whether its final state is being written to the state service.
    pub final_write_pending: bool,
    /// Failures of its tasks since one was last done.
    pub failures: FailureHistory,
    /// No task is placed before this time.
    pub pause_until: Option<Instant>,
    /// Sum of the run times of tasks that ended `done` in this term.
    pub total_run_time: Duration,
    /// Number of run times in `total_run_time`.
    pub counted_runs: u32,
}

impl Job {
    /// A job from its record, whether just accepted or reloaded: all its tasks wait.
    pub fn new(record: JobRecord, arrival: Instant) -> Self {
        let task_count = record.spec.tasks;
        Self {
            spec: Arc::new(record.spec),
            accepted_at_ms: record.accepted_at_ms,
            arrival,
            cancelled: record.cancelled,
            cancellation_stored: record.cancelled,
            done: TaskSet::new(task_count),
            waiting: TaskSet::full(task_count),
            places: HashMap::new(),
            running: HashSet::new(),
            place_count: 0,
            final_write_pending: false,
            failures: FailureHistory::default(),
            pause_until: None,
            total_run_time: Duration::ZERO,
            counted_runs: 0,
        }
    }

    /// Marks a task as done; it is never placed again.
    pub(in crate::core) fn mark_done(&mut self, index: u32) {
        self.waiting.remove(index);
        self.done.insert(index);
    }

    /// Whether some task is placed or done, as far as this leader knows.
    pub fn has_started(&self) -> bool {
        self.place_count > 0 || self.done.count() > 0
    }

    /// Whether its tasks failed on several machines recently and none was ever done; see
    /// [`crate::core::state::probation`].
    pub fn is_on_probation(&self, now: Instant) -> bool {
        self.done.count() == 0 && self.failures.is_on_probation(now)
    }

    /// Whether its cancellation is stored, so that any controller may confirm it to a
    /// user.
    pub fn cancellation_is_stored(&self) -> bool {
        self.cancelled && self.cancellation_stored
    }

    /// Every machine on which one of its tasks may be, with the task's index.
    pub(in crate::core) fn all_places(&self) -> Vec<(MachineId, u32)> {
        let places = self.places.iter();
        places
            .flat_map(|(index, machines)| machines.iter().map(move |m| (m.clone(), *index)))
            .collect()
    }

    /// Whether all its tasks are done; a service never completes.
    pub fn is_complete(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done.count() == self.spec.tasks
    }

    /// The time `now` in milliseconds since the Unix epoch, derived from the acceptance.
    pub(in crate::core) fn unix_time_ms_at(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.arrival);
        self.accepted_at_ms.saturating_add(age.as_millis() as u64)
    }

    /// The record to be stored in the state service. A cancelled job never starts again,
    /// so its record leaves out the lists that only starts need: the job may have been
    /// accepted when values could be larger, and its cancellation has to fit into the
    /// current limits.
    pub fn to_record(&self) -> JobRecord {
        let mut spec = (*self.spec).clone();
        if self.cancelled {
            spec.machine_types = None;
            spec.awaits.clear();
        }
        JobRecord {
            spec,
            accepted_at_ms: self.accepted_at_ms,
            cancelled: self.cancelled,
        }
    }

    /// Whether this is a gang of which some tasks have a place and others wait. The
    /// placed ones have to stop before the gang can be placed again as a whole.
    pub fn is_broken_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang && !self.places.is_empty() && self.waiting.count() > 0
    }

    /// Adds a machine on which a task may be, so that the task no longer waits.
    pub(in crate::core) fn add_place(&mut self, index: u32, machine: &MachineId) {
        let machines = self.places.entry(index).or_default();
        if !machines.contains(machine) {
            machines.push(machine.clone());
            self.place_count += 1;
            self.waiting.remove(index);
        }
    }

    /// Removes a machine on which a task no longer is. A task without any place left
    /// waits again, unless it is done.
    pub(in crate::core) fn remove_place(&mut self, index: u32, machine: &MachineId) {
        if let Some(machines) = self.places.get_mut(&index) {
            let before = machines.len();
            machines.retain(|m| m != machine);
            self.place_count -= (before - machines.len()) as u32;
            self.running.remove(&index);
            if machines.is_empty() {
                self.places.remove(&index);
                if !self.done.contains(index) {
                    self.waiting.insert(index);
                }
            }
        }
    }
}
