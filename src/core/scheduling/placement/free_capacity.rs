//! Free capacity of machines, and the running load that may release some.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use crate::core::scheduling::ranking::Rank;
use crate::core::state::resources::Resources;
use crate::wire::{JobSpec, MachineId, TaskId};

/// Free capacity of a schedulable machine.
#[derive(Debug, Clone)]
pub(super) struct FreeCapacity {
    pub(super) machine_id: MachineId,
    /// Position of its zone in the planner's list of zones.
    pub(super) zone_index: usize,
    pub(super) spot: bool,
    /// Position of its type in the planner's list of types.
    pub(super) type_index: usize,
    pub(super) free: Resources,
    /// Not used by the present search, which is limited to another zone.
    pub(super) excluded: bool,
    /// When the cloud reclaims the machine, if it gave notice.
    pub(super) reclaim_at: Option<Instant>,
    /// Tasks that take resources of the machine; empty until they are collected.
    pub(super) running: Vec<RunningLoad>,
}

/// A task that takes resources of a machine, in whichever state it is.
#[derive(Debug, Clone)]
pub(super) struct RunningLoad {
    pub(super) task: TaskId,
    pub(super) resources: Resources,
    pub(super) class: LoadClass,
    /// Its job's rank; `None` if the job is unknown, cancelled, or waiting for other jobs.
    pub(super) rank: Option<Rank>,
    pub(super) started_at: Instant,
    pub(super) predicted_end: Instant,
    /// Grace time to save a checkpoint when the task is stopped.
    pub(super) grace: Duration,
}

/// Whether a task may be preempted for the blocked head, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadClass {
    /// The task may not be preempted.
    Sunny,
    /// The task was backfilled, and the head outranks it.
    Shadow,
    /// The task is not shadow load, but it is young, runs beyond its team's quota, and the
    /// head outranks it.
    OverQuota,
}

/// The tasks to preempt on one machine so that a task of the head fits.
#[derive(Debug, Default)]
pub(super) struct Preemption {
    /// Sum of the victims' run times so far.
    pub(super) lost_work: Duration,
    pub(super) victims: Vec<TaskId>,
}

impl RunningLoad {
    /// Whether the task may be preempted for the head.
    pub(super) fn is_preemptible(&self) -> bool {
        self.class != LoadClass::Sunny
    }
}

impl FreeCapacity {
    /// Whether a task of a job fits into the free capacity.
    pub(super) fn fits(&self, spec: &JobSpec) -> bool {
        Resources::of_task(spec).fits_into(&self.free)
    }

    /// How many tasks of a job fit into the free capacity.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec) -> u32 {
        self.free.multiples_of(&Resources::of_task(spec)) as u32
    }

    /// Takes the resources of a job's task from the free capacity.
    pub(super) fn claim(&mut self, spec: &JobSpec) {
        self.free -= Resources::of_task(spec);
    }

    /// Adds the resources of a task to the free capacity.
    pub(super) fn release(&mut self, load: &RunningLoad) {
        self.free += load.resources;
    }

    /// Removes a task from the running load and releases its resources; `None` if it is not
    /// part of the running load.
    pub(super) fn remove_running(&mut self, task: TaskId) -> Option<RunningLoad> {
        let position = self.running.iter().position(|load| load.task == task)?;
        let load = self.running.remove(position);
        self.release(&load);
        Some(load)
    }

    /// The tasks to preempt so that a task of a job fits, the lowest rank first, and among
    /// tasks of the same job the youngest; `None` if it doesn't fit even after preempting
    /// all that may be preempted.
    pub(super) fn preemption_for(&self, spec: &JobSpec, now: Instant) -> Option<Preemption> {
        let mut preemptible: Vec<&RunningLoad> =
            self.running.iter().filter(|load| load.is_preemptible()).collect();
        preemptible.sort_by_key(|load| Reverse((load.rank, load.started_at)));
        let mut after = self.without_running();
        let mut preemption = Preemption::default();
        for load in preemptible {
            if after.fits(spec) {
                break;
            }
            after.release(load);
            preemption.lost_work += now.saturating_duration_since(load.started_at);
            preemption.victims.push(load.task);
        }
        after.fits(spec).then_some(preemption)
    }

    /// When a task of a job is predicted to fit, if nothing else is placed and all tasks
    /// that may be preempted are stopped: the first predicted end of sunny load after which
    /// it fits; `None` if there is none.
    pub(super) fn predicted_fit_time(&self, spec: &JobSpec) -> Option<Instant> {
        let mut after = self.without_running();
        for load in self.running.iter().filter(|load| load.is_preemptible()) {
            after.release(load);
        }
        let mut sunny: Vec<&RunningLoad> = self
            .running
            .iter()
            .filter(|load| !load.is_preemptible())
            .collect();
        sunny.sort_by_key(|load| load.predicted_end);
        for load in sunny {
            after.release(load);
            if after.fits(spec) {
                return Some(load.predicted_end);
            }
        }
        None
    }

    /// A copy without the running load.
    fn without_running(&self) -> FreeCapacity {
        FreeCapacity {
            running: Vec::new(),
            machine_id: self.machine_id.clone(),
            ..*self
        }
    }
}
