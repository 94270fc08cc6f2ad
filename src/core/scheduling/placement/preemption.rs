//! Shadow load preemption: stops shadow tasks so that tasks of the blocked head can be
//! placed. It is defined in section 4.2 of the paper that
//! [`scheduling`](crate::core::scheduling) names. That
//! [over-quota load](crate::core::scheduling::over_quota) is preempted in the same way is an
//! addition to the paper.

use std::time::Instant;

use crate::core::scheduling::over_quota::OverQuotaLoad;
use crate::core::scheduling::placement::claims::PlacementKind;
use crate::core::scheduling::placement::free_capacity::{LoadClass, RunningLoad};
use crate::core::scheduling::placement::planner::Planner;
use crate::core::scheduling::placement::search::SearchScope;
use crate::core::scheduling::ranking::Rank;
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::Resources;
use crate::core::state::slot::{Slot, SlotState};

/// How many tasks preemption placed and stopped.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(in crate::core::scheduling) struct PreemptionResult {
    /// Number of tasks of the head that were placed.
    pub(in crate::core::scheduling) placed: u32,
    /// Number of shadow and over-quota tasks that were stopped.
    pub(in crate::core::scheduling) preempted: u32,
}

impl Planner<'_> {
    /// Stops shadow and over-quota tasks if that lets tasks of the head (of a gang: all
    /// of them) be placed at once. It chooses the machine where the least work is lost,
    /// and there the tasks of the lowest rank first.
    pub(in crate::core::scheduling) fn preempt_for_head(&mut self, head: Rank) -> PreemptionResult {
        let mut result = PreemptionResult::default();
        let over_quota = OverQuotaLoad::for_head(self.model, head.job, &self.ranks);
        if !self.model.may_have_shadow_load && over_quota.is_empty() {
            return result;
        }
        self.collect_running_load(head, over_quota);
        let mut running = self.machines.iter().flat_map(|machine| &machine.running);
        if !running.any(RunningLoad::is_preemptible) {
            return result;
        }
        let mut remaining_tasks = self.max_tasks_at_rank(head);
        while remaining_tasks > 0 {
            let Some(batch) = self.next_batch(head.job) else {
                break;
            };
            if !self.may_place(head.job, batch.len()) {
                break;
            }
            let Some(placements) = self.find_placements(head.job, &batch, SearchScope::Preempting) else {
                break;
            };
            let placed = placements.len() as u32;
            result.preempted += placements.iter().map(|p| p.victims.len() as u32).sum::<u32>();
            result.placed += placed;
            remaining_tasks = remaining_tasks.saturating_sub(placed);
            self.claim_all(head.job, placements, PlacementKind::InOrder);
        }
        result
    }

    /// Fills in the running load of the machines. Only tasks that the head outranks may be
    /// shadow or over-quota load.
    pub(super) fn collect_running_load(&mut self, head: Rank, mut over_quota: OverQuotaLoad) {
        self.running_load_collected = true;
        let (model, now) = (&*self.model, self.now);
        for machine in &mut self.machines {
            let Some(model_machine) = model.machines.get(&machine.machine_id) else {
                continue;
            };
            for (task, slot) in model_machine
                .slots
                .iter()
                .filter(|(_, slot)| slot.takes_resources())
            {
                let Some(spec) = &slot.spec else { continue };
                let rank = self.ranks.get(&task.job).copied();
                let outranked = !is_stopping(slot) && rank.is_some_and(|rank| rank > head);
                let class = if !outranked {
                    LoadClass::Sunny
                } else if slot.backfilled {
                    LoadClass::Shadow
                } else if over_quota.check_preemptible(model, task.job, slot, now) {
                    LoadClass::OverQuota
                } else {
                    LoadClass::Sunny
                };
                machine.running.push(RunningLoad {
                    task: *task,
                    resources: Resources::of_task(spec),
                    class,
                    rank,
                    started_at: slot.running_since.unwrap_or(slot.placed_at),
                    predicted_end: predicted_end(model, slot, now),
                    grace: spec.grace(),
                });
            }
        }
    }
}

/// Whether a task is being stopped already, so that preempting it would gain nothing.
fn is_stopping(slot: &Slot) -> bool {
    slot.stop_grace.is_some() || matches!(slot.state, SlotState::Saving)
}

/// When a task is predicted to release its resources. A task with a stop order counts as
/// releasing them at once.
fn predicted_end(model: &ClusterModel, slot: &Slot, now: Instant) -> Instant {
    if slot.stop_grace.is_some() {
        now
    } else {
        model.predicted_end(slot, now)
    }
}
