//! Shadow load preemption: stopping shadow tasks for the blocked head.

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

/// What was done for the head by preemption.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(in crate::core::scheduling) struct PreemptionResult {
    /// Tasks of the head that were started.
    pub(in crate::core::scheduling) started: u32,
    /// Shadow tasks that were stopped.
    pub(in crate::core::scheduling) preempted: u32,
}

impl Planner<'_> {
    /// Stops shadow tasks if that starts tasks of the head (a gang: all of
    /// them) at once; lowest priority first, where the least work is lost.
    pub(in crate::core::scheduling) fn preempt_for_head(&mut self, head: Rank) -> PreemptionResult {
        let mut result = PreemptionResult::default();
        let over_quota = OverQuotaLoad::for_head(self.model, head.job, &self.ranks);
        if !self.model.may_have_shadow_load && over_quota.is_empty() {
            return result;
        }
        self.collect_running_load(head, over_quota);
        let mut running = self.machines.iter().flat_map(|machine| &machine.running);
        if !running.any(RunningLoad::is_shadow) {
            return result;
        }
        let mut left = self.max_first_tasks(head);
        while left > 0 {
            let Some(batch) = self.next_batch(head.job) else {
                break;
            };
            if !self.may_start(head.job, batch.len()) {
                break;
            }
            let Some(placements) = self.find(head.job, &batch, SearchScope::Preempting) else {
                break;
            };
            let started = placements.len() as u32;
            result.preempted += placements.iter().map(|p| p.victims.len() as u32).sum::<u32>();
            result.started += started;
            left = left.saturating_sub(started);
            self.claim_all(head.job, placements, PlacementKind::InOrder);
        }
        result
    }

    /// Fills in what runs on the machines; as shadow load only what the head outranks.
    pub(super) fn collect_running_load(&mut self, head: Rank, mut over_quota: OverQuotaLoad) {
        self.running_load_known = true;
        let (model, now) = (&*self.model, self.now);
        for machine in &mut self.machines {
            let Some(known) = model.machines.get(&machine.machine) else {
                continue;
            };
            for (task, slot) in known.slots.iter().filter(|(_, slot)| slot.takes_resources()) {
                let Some(spec) = &slot.spec else { continue };
                let rank = self.ranks.get(&task.job).copied();
                let outranked = !is_stopping(slot) && rank.is_some_and(|rank| rank > head);
                let class = if !outranked {
                    LoadClass::Sunny
                } else if slot.backfilled {
                    LoadClass::Shadow
                } else if over_quota.admits_preemption(model, task.job, slot, now) {
                    LoadClass::OverQuota
                } else {
                    LoadClass::Sunny
                };
                machine.running.push(RunningLoad {
                    task: *task,
                    resources: Resources::of_task(spec),
                    class,
                    rank,
                    started: slot.running_since.unwrap_or(slot.placed_at),
                    predicted_end: predicted_end(model, slot, now),
                    grace: spec.grace(),
                });
            }
        }
    }
}

/// Whether a task is about to end for another reason already.
fn is_stopping(slot: &Slot) -> bool {
    slot.stop_grace.is_some() || matches!(slot.state, SlotState::Saving)
}

/// When a task gives back its resources; one that is being stopped, at once.
fn predicted_end(model: &ClusterModel, slot: &Slot, now: Instant) -> Instant {
    if slot.stop_grace.is_some() {
        now
    } else {
        model.predicted_end(slot, now)
    }
}
