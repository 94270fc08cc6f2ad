//! When shadow load becomes sunny load.
//!
//! The two classes are defined in section 4.1 of the paper that
//! [`scheduling`](crate::core::scheduling) names. A backfilled task is *shadow load*, which
//! may be preempted, as long as a job that waits for capacity outranks it; then it is sunny
//! load for good. A task placed in the order of the queue is *sunny load* for its whole
//! life. Sunny load is not preempted, except as [over-quota load](super::over_quota), which
//! is an addition to the paper. The class is not stored: a new leader counts all tasks that
//! it finds on the machines as sunny load.

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
