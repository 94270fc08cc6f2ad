//! The first step of a round: jobs start in the order of the queue.

use crate::core::scheduling::placement::batches::{PlacementMode, PlacementOutcome};
use crate::core::scheduling::placement::planner::Planner;
use crate::core::scheduling::ranking::starvation::STARVED_FIRST_TASKS;
use crate::core::scheduling::ranking::{Rank, Tier};
use crate::wire::JobKind;

/// What was started in order, and which job blocks those behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::core::scheduling) struct InOrderResult {
    /// Tasks started.
    pub(in crate::core::scheduling) started: u32,
    /// Position in the queue of the head: the first job for which there is no room.
    /// Jobs that may not start now are passed over.
    pub(in crate::core::scheduling) head: Option<usize>,
}

impl Planner<'_> {
    /// Places jobs in order until one is blocked for want of room.
    pub(in crate::core::scheduling) fn place_in_order(&mut self, queue: &[Rank]) -> InOrderResult {
        let mut started = 0;
        for (position, rank) in queue.iter().enumerate() {
            let max_tasks = self.max_first_tasks(*rank);
            let result = self.place_tasks(rank.job, PlacementMode::InOrder { max_tasks });
            started += result.placed;
            if result.outcome == PlacementOutcome::NoRoom {
                return InOrderResult {
                    started,
                    head: Some(position),
                };
            }
        }
        InOrderResult { started, head: None }
    }

    /// How many tasks of a job may start in its present place in the queue.
    pub(super) fn max_first_tasks(&self, rank: Rank) -> u32 {
        match self.model.jobs.get(&rank.job) {
            Some(job) if rank.tier == Tier::Starved && job.spec.kind != JobKind::Gang => STARVED_FIRST_TASKS,
            _ => u32::MAX,
        }
    }
}
