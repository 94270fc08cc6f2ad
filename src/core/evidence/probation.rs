//! Limits how many tasks of a job on probation are placed at once.

use std::time::Instant;

use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::Slot;
use crate::wire::TaskId;

impl ClusterModel {
    /// How many tasks of a job may be placed at once. For a job on probation the limit
    /// grows with the number of tasks that have run for longer than its trial according to
    /// their machines' heartbeats, see [`crate::core::state::probation`]. Other jobs are not
    /// limited.
    pub fn placement_limit(&self, job: &Job, now: Instant) -> u32 {
        if !job.is_on_probation(now) {
            return u32::MAX;
        }
        let trial = job.failures.trial_run_time();
        let has_survived = |slot: &&Slot| {
            slot.running_since
                .is_some_and(|since| now.saturating_duration_since(since) > trial)
        };
        let slots = job.places.iter().flat_map(|(index, machines)| {
            let task = TaskId {
                job: job.spec.id,
                index: *index,
            };
            machines
                .iter()
                .filter_map(move |machine| self.machines.get(machine)?.slots.get(&task))
        });
        job.failures.max_placed(slots.filter(has_survived).count() as u32)
    }
}
