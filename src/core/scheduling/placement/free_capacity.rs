//! Free capacity of machines, and the running load that may give some back.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use crate::core::scheduling::ranking::Rank;
use crate::core::state::resources::Resources;
use crate::wire::{JobSpec, MachineId, TaskId};

/// What is free on a schedulable machine.
#[derive(Debug, Clone)]
pub(super) struct FreeCapacity {
    pub(super) machine: MachineId,
    /// Position of its zone in the planner's list of zones.
    pub(super) zone: usize,
    pub(super) spot: bool,
    /// Position of its type in the planner's list of types.
    pub(super) type_index: usize,
    pub(super) free: Resources,
    /// Not to be used in the present search.
    pub(super) excluded: bool,
    /// When the cloud reclaims it, if it gave notice.
    pub(super) reclaim_at: Option<Instant>,
    /// Tasks that will give capacity back, once it is filled in.
    pub(super) running: Vec<RunningLoad>,
}

/// A task that holds capacity.
#[derive(Debug, Clone)]
pub(super) struct RunningLoad {
    pub(super) task: TaskId,
    pub(super) resources: Resources,
    pub(super) class: LoadClass,
    /// Its job's rank, unless the job is unknown or has no place in the queue.
    pub(super) rank: Option<Rank>,
    pub(super) started: Instant,
    pub(super) predicted_end: Instant,
    /// Time to save a checkpoint when it is stopped.
    pub(super) grace: Duration,
}

/// Whether a task may be preempted for the blocked head, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadClass {
    /// It may not.
    Sunny,
    /// It was backfilled, and the head outranks it.
    Shadow,
    /// It was started in order, but runs beyond its team's quota.
    OverQuota,
}

/// What is preempted to make room for a task on one machine.
#[derive(Debug, Default)]
pub(super) struct Preemption {
    /// Sum of the run times that the victims lose.
    pub(super) lost_work: Duration,
    pub(super) victims: Vec<TaskId>,
}

impl RunningLoad {
    /// Whether it may be preempted for the head.
    pub(super) fn is_shadow(&self) -> bool {
        self.class != LoadClass::Sunny
    }
}

impl FreeCapacity {
    /// Whether a task of a job fits into what is free.
    pub(super) fn fits(&self, spec: &JobSpec) -> bool {
        Resources::of_task(spec).fits_into(&self.free)
    }

    /// How many tasks of a job fit into what is free.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec) -> u32 {
        self.free.multiples_of(&Resources::of_task(spec)) as u32
    }

    /// Takes the resources of a task.
    pub(super) fn claim(&mut self, spec: &JobSpec) {
        self.free -= Resources::of_task(spec);
    }

    /// Gives back the resources of a task.
    pub(super) fn give_back(&mut self, load: &RunningLoad) {
        self.free += load.resources;
    }

    /// Removes a task from the running load and gives back its resources; `None` if it
    /// is not there.
    pub(super) fn remove_running(&mut self, task: TaskId) -> Option<RunningLoad> {
        let position = self.running.iter().position(|load| load.task == task)?;
        let load = self.running.remove(position);
        self.give_back(&load);
        Some(load)
    }

    /// The shadow tasks to preempt for a task of a job, lowest priority first, and
    /// among equals the youngest; `None` if all of them together don't make room.
    pub(super) fn preemption_for(&self, spec: &JobSpec, now: Instant) -> Option<Preemption> {
        let mut shadow: Vec<&RunningLoad> = self.running.iter().filter(|load| load.is_shadow()).collect();
        shadow.sort_by_key(|load| Reverse((load.rank, load.started)));
        let mut after = self.without_running();
        let mut preemption = Preemption::default();
        for load in shadow {
            if after.fits(spec) {
                break;
            }
            after.give_back(load);
            preemption.lost_work += now.saturating_duration_since(load.started);
            preemption.victims.push(load.task);
        }
        after.fits(spec).then_some(preemption)
    }

    /// When the next task of a job is predicted to fit, if nothing else is placed and
    /// all shadow tasks are stopped; `None` if no end of a task makes room for it.
    pub(super) fn predicted_fit(&self, spec: &JobSpec) -> Option<Instant> {
        let mut after = self.without_running();
        for load in self.running.iter().filter(|load| load.is_shadow()) {
            after.give_back(load);
        }
        let mut sunny: Vec<&RunningLoad> = self.running.iter().filter(|load| !load.is_shadow()).collect();
        sunny.sort_by_key(|load| load.predicted_end);
        for load in sunny {
            after.give_back(load);
            if after.fits(spec) {
                return Some(load.predicted_end);
            }
        }
        None
    }

    /// The same free capacity, without its running load.
    fn without_running(&self) -> FreeCapacity {
        FreeCapacity {
            running: Vec::new(),
            machine: self.machine.clone(),
            ..*self
        }
    }
}
