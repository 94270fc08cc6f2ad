//! Free room of machines, and the load that may give some back.

use std::time::{Duration, Instant};

use super::model::EPS;
use super::ranking::Rank;
use crate::wire::{JobSpec, MachineId, TaskId};

/// Free room of a machine that may be placed on.
#[derive(Debug, Clone)]
pub(super) struct Room {
    pub(super) machine: MachineId,
    /// Number of its zone, see [`Planner::names`].
    pub(super) zone: usize,
    pub(super) spot: bool,
    pub(super) kind: usize,
    pub(super) cpus: f64,
    pub(super) gpus: f64,
    pub(super) memory: f64,
    /// Not to be used in this search.
    pub(super) closed: bool,
    pub(super) recall: Option<Instant>,
    /// Room that running tasks will give back: predicted end, amounts, task.
    pub(super) load: Vec<Load>,
}

#[derive(Debug, Clone)]
pub(super) struct Load {
    pub(super) end: Instant,
    pub(super) cpus: f64,
    pub(super) gpus: f64,
    pub(super) memory: f64,
    pub(super) shadow: bool,
    /// Shadow for no other reason than that its room is borrowed.
    pub(super) borrowed: bool,
    pub(super) rank: Option<Rank>,
    pub(super) task: TaskId,
    pub(super) grace: Duration,
    pub(super) started: Instant,
}

impl Room {
    pub(super) fn fits(&self, s: &JobSpec) -> bool {
        self.cpus + EPS >= s.cpus && self.gpus + EPS >= s.gpus && self.memory + EPS >= s.memory_gb
    }

    pub(super) fn room_for(&self, s: &JobSpec) -> u32 {
        let per = |have: f64, need: f64| {
            if need > 0.0 {
                ((have + EPS) / need).max(0.0)
            } else {
                f64::MAX
            }
        };
        let n = per(self.cpus, s.cpus)
            .min(per(self.gpus, s.gpus))
            .min(per(self.memory, s.memory_gb));
        n as u32
    }

    pub(super) fn claim(&mut self, s: &JobSpec) {
        self.cpus -= s.cpus;
        self.gpus -= s.gpus;
        self.memory -= s.memory_gb;
    }

    pub(super) fn give_back(&mut self, l: &Load) {
        self.cpus += l.cpus;
        self.gpus += l.gpus;
        self.memory += l.memory;
    }

    /// Shadow tasks whose end makes room, lowest priority first, and the work
    /// that is lost with them.
    pub(super) fn victims(&self, s: &JobSpec, now: Instant) -> Option<(Duration, Vec<TaskId>)> {
        let mut shadows: Vec<&Load> = self.load.iter().filter(|l| l.shadow).collect();
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
    pub(super) fn bare(&self) -> Room {
        Room {
            load: Vec::new(),
            machine: self.machine.clone(),
            ..*self
        }
    }
}
