//! When shadow load becomes sunny load.
//!
//! A backfilled task is *shadow load*, which may be preempted, as long as a job that
//! waits for capacity outranks it. Other tasks are *sunny load*, which is not preempted,
//! unless they are [over-quota load](super::over_quota).

use std::collections::BTreeMap;
use std::time::Instant;

use crate::core::scheduling::ranking::Rank;
use crate::core::state::model::ClusterModel;
use crate::wire::JobId;

impl ClusterModel {
    /// Turns all shadow load into sunny load, for a round in which no job is blocked.
    pub(super) fn clear_shadow_load(&mut self) {
        if !std::mem::take(&mut self.may_have_shadow_load) {
            return;
        }
        let machines = self.machines.values_mut();
        for slot in machines.flat_map(|machine| machine.slots.values_mut()) {
            slot.backfilled = false;
        }
    }

    /// Turns the backfilled tasks that no waiting job outranks any more into sunny load.
    /// Paused jobs don't count as waiting.
    pub(super) fn reclassify_shadow_load(&mut self, ranks: &BTreeMap<JobId, Rank>, now: Instant) {
        if !self.may_have_shadow_load {
            return;
        }
        let first_waiting = self
            .jobs_waiting_for_capacity()
            .filter(|job| job.pause_until.is_none_or(|end| end <= now))
            .filter_map(|job| ranks.get(&job.spec.id))
            .min();
        for machine in self.machines.values_mut() {
            for (task, slot) in machine.slots.iter_mut().filter(|(_, slot)| slot.backfilled) {
                let rank = ranks.get(&task.job);
                if rank.is_some_and(|rank| first_waiting.is_none_or(|first| rank <= first)) {
                    slot.backfilled = false;
                }
            }
        }
    }
}
