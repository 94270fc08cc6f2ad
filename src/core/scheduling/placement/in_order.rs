//! The first step of a round: tasks are placed in the order of the queue.

use crate::core::scheduling::placement::batches::{PlacementMode, PlacementOutcome};
use crate::core::scheduling::placement::planner::Planner;
use crate::core::scheduling::ranking::starvation::STARVED_FIRST_TASKS;
use crate::core::scheduling::ranking::{Rank, Tier};
use crate::wire::JobKind;

/// How many tasks were placed in order, and which job blocks those behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::core::scheduling) struct InOrderResult {
    /// Number of tasks placed, of all jobs up to the head.
    pub(in crate::core::scheduling) placed: u32,
    /// Position in the queue of the head: the first job that is blocked for lack of free
    /// capacity. Jobs of which no task may be placed now are skipped.
    pub(in crate::core::scheduling) head_position: Option<usize>,
}

impl Planner<'_> {
    /// Places tasks of the jobs in order until a job is blocked for lack of free capacity.
    pub(in crate::core::scheduling) fn place_in_order(&mut self, queue: &[Rank]) -> InOrderResult {
        let mut placed = 0;
        for (position, rank) in queue.iter().enumerate() {
            let max_tasks = self.max_tasks_at_rank(*rank);
            let result = self.place_tasks(rank.job, PlacementMode::InOrder { max_tasks });
            placed += result.placed;
            if result.outcome == PlacementOutcome::NoFreeCapacity {
                return InOrderResult {
                    placed,
                    head_position: Some(position),
                };
            }
        }
        InOrderResult {
            placed,
            head_position: None,
        }
    }

    /// How many tasks of a job may be placed at its present rank: of a starved job only the
    /// first [`STARVED_FIRST_TASKS`], unless it is a gang, which is placed whole.
    pub(super) fn max_tasks_at_rank(&self, rank: Rank) -> u32 {
        match self.model.jobs.get(&rank.job) {
            Some(job) if rank.tier == Tier::Starved && job.spec.kind != JobKind::Gang => STARVED_FIRST_TASKS,
            _ => u32::MAX,
        }
    }
}
