//! A scheduling round of PV-EASY, in three steps.
//!
//! 1. Tasks are placed in the order of the queue until a job is blocked, that is, until
//!    there is no free capacity for its next task (of a gang: for all its tasks). This
//!    job is the head.
//! 2. Shadow load preemption stops shadow and over-quota tasks if that lets tasks of the
//!    head be placed at once.
//! 3. Venture backfilling places tasks of the jobs behind the head.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::core::scheduling::placement::{PlacementStrategy, Planner};
use crate::core::scheduling::ranking::Rank;
use crate::core::scheduling::round_summary::RoundSummary;
use crate::core::state::model::ClusterModel;
use crate::wire::JobId;

impl ClusterModel {
    /// Runs a scheduling round. It places and stops tasks in the model only; a start is
    /// sent to a worker once the log entry that names the placement is stored.
    pub fn run_scheduling_round(&mut self, now: Instant) -> RoundSummary {
        self.run_with_strategy(PlacementStrategy::Grouped, now)
    }

    /// Runs a round that places each task separately. This is the simple reference that
    /// tests compare [`ClusterModel::run_scheduling_round`] with.
    pub fn run_scheduling_round_one_by_one(&mut self, now: Instant) -> RoundSummary {
        self.run_with_strategy(PlacementStrategy::OneByOne, now)
    }

    fn run_with_strategy(&mut self, strategy: PlacementStrategy, now: Instant) -> RoundSummary {
        let mut summary = RoundSummary::default();
        if self.jobs_waiting_for_capacity().next().is_none() {
            self.clear_shadow_load();
            return summary;
        }
        self.end_cordons(now);
        let ranks = self.ranks(now);
        let queue = self.queue(&ranks);
        self.stop_broken_gangs(now);

        let mut planner = Planner::new(self, ranks, strategy, now);
        let in_order = planner.place_in_order(&queue);
        summary.placed_in_order = in_order.placed;
        let Some(head_position) = in_order.head_position else {
            self.clear_shadow_load();
            return summary;
        };
        let preemption = planner.preempt_for_head(queue[head_position]);
        summary.placed_in_order += preemption.placed;
        summary.preempted = preemption.preempted;
        summary.backfilled = planner.backfill(queue[head_position].job, &queue[head_position + 1..]);

        let ranks = planner.into_ranks();
        self.reclassify_shadow_load(&ranks, now);
        summary
    }

    /// The jobs that wait for capacity, sorted by rank.
    fn queue(&self, ranks: &BTreeMap<JobId, Rank>) -> Vec<Rank> {
        let waiting = self.jobs_waiting_for_capacity();
        let mut queue: Vec<Rank> = waiting
            .filter_map(|job| ranks.get(&job.spec.id).copied())
            .collect();
        queue.sort_unstable();
        queue
    }
}
