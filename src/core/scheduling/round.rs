//! A scheduling round of PV-EASY: jobs start in priority order; shadow load is
//! preempted when that starts the blocked head at once; then venture backfilling.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::core::scheduling::placement::{PlacementStrategy, Planner};
use crate::core::scheduling::ranking::Rank;
use crate::core::scheduling::round_summary::RoundSummary;
use crate::core::state::model::ClusterModel;
use crate::wire::JobId;

impl ClusterModel {
    /// One scheduling round. Places and stops tasks in the model; nothing is sent
    /// until the log that names the placements is stored.
    pub fn plan(&mut self, now: Instant) -> RoundSummary {
        self.run_round(PlacementStrategy::Grouped, now)
    }

    /// A round that places every task by itself: the plain rule, which the
    /// ordinary round is measured by.
    pub fn plan_one_by_one(&mut self, now: Instant) -> RoundSummary {
        self.run_round(PlacementStrategy::OneByOne, now)
    }

    fn run_round(&mut self, strategy: PlacementStrategy, now: Instant) -> RoundSummary {
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
        summary.started_in_order = in_order.started;
        let Some(head) = in_order.head else {
            self.clear_shadow_load();
            return summary;
        };
        let preemption = planner.preempt_for_head(queue[head]);
        summary.started_in_order += preemption.started;
        summary.preempted = preemption.preempted;
        summary.backfilled = planner.backfill(queue[head].job, &queue[head + 1..]);

        let ranks = planner.into_ranks();
        self.settle_shadow_load(&ranks, now);
        summary
    }

    /// The jobs that wait for capacity, in the order of their ranks.
    fn queue(&self, ranks: &BTreeMap<JobId, Rank>) -> Vec<Rank> {
        let waiting = self.jobs_waiting_for_capacity();
        let mut queue: Vec<Rank> = waiting
            .filter_map(|job| ranks.get(&job.spec.id).copied())
            .collect();
        queue.sort_unstable();
        queue
    }
}
