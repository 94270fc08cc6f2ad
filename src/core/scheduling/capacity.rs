//! Free room of machines, and the load that may give some back.

use std::time::{Duration, Instant};

use crate::core::scheduling::ranking::Rank;
use crate::core::state::resources::AMOUNT_TOLERANCE;
use crate::wire::{JobSpec, MachineId, TaskId};

/// Free room of a machine that may be placed on.
#[derive(Debug, Clone)]
pub(in crate::core) struct FreeCapacity {
    pub(in crate::core) machine: MachineId,
    /// Number of its zone, see [`Planner::names`].
    pub(in crate::core) zone: usize,
    pub(in crate::core) spot: bool,
    pub(in crate::core) kind: usize,
    pub(in crate::core) cpus: f64,
    pub(in crate::core) gpus: f64,
    pub(in crate::core) memory: f64,
    /// Not to be used in this search.
    pub(in crate::core) closed: bool,
    pub(in crate::core) reclaim_at: Option<Instant>,
    /// Room that running tasks will give back: predicted end, amounts, task.
    pub(in crate::core) load: Vec<RunningLoad>,
}

#[derive(Debug, Clone)]
pub(in crate::core) struct RunningLoad {
    pub(in crate::core) end: Instant,
    pub(in crate::core) cpus: f64,
    pub(in crate::core) gpus: f64,
    pub(in crate::core) memory: f64,
    pub(in crate::core) shadow: bool,
    /// Shadow for no other reason than that its room is borrowed.
    pub(in crate::core) borrowed: bool,
    pub(in crate::core) rank: Option<Rank>,
    pub(in crate::core) task: TaskId,
    pub(in crate::core) grace: Duration,
    pub(in crate::core) started: Instant,
}

impl FreeCapacity {
    pub(in crate::core) fn fits(&self, s: &JobSpec) -> bool {
        self.cpus + AMOUNT_TOLERANCE >= s.cpus
            && self.gpus + AMOUNT_TOLERANCE >= s.gpus
            && self.memory + AMOUNT_TOLERANCE >= s.memory_gb
    }

    pub(in crate::core) fn room_for(&self, s: &JobSpec) -> u32 {
        let per = |have: f64, need: f64| {
            if need > 0.0 {
                ((have + AMOUNT_TOLERANCE) / need).max(0.0)
            } else {
                f64::MAX
            }
        };
        let n = per(self.cpus, s.cpus)
            .min(per(self.gpus, s.gpus))
            .min(per(self.memory, s.memory_gb));
        n as u32
    }

    pub(in crate::core) fn claim(&mut self, s: &JobSpec) {
        self.cpus -= s.cpus;
        self.gpus -= s.gpus;
        self.memory -= s.memory_gb;
    }

    pub(in crate::core) fn give_back(&mut self, l: &RunningLoad) {
        self.cpus += l.cpus;
        self.gpus += l.gpus;
        self.memory += l.memory;
    }

    /// Shadow tasks whose end makes room, lowest priority first, and the work
    /// that is lost with them.
    pub(in crate::core) fn victims(&self, s: &JobSpec, now: Instant) -> Option<(Duration, Vec<TaskId>)> {
        let mut shadows: Vec<&RunningLoad> = self.load.iter().filter(|l| l.shadow).collect();
        shadows.sort_by_key(|l| std::cmp::Reverse((l.rank, l.started)));
        let mut after = self.bare();
        let (mut lost, mut victims) = (Duration::ZERO, Vec::new());
        for l in shadows {
            if after.fits(s) {
                break;
            }
            after.give_back(l);
            lost += now.saturating_duration_since(l.started);
            victims.push(l.task);
        }
        after.fits(s).then_some((lost, victims))
    }

    /// The same room, without its load.
    pub(in crate::core) fn bare(&self) -> FreeCapacity {
        FreeCapacity {
            load: Vec::new(),
            machine: self.machine.clone(),
            ..*self
        }
    }
}
