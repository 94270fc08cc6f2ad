//! Gang repair: if a task of a gang is no longer placed, the other tasks are stopped.
//!
//! Gang repair is an addition to the paper that [`scheduling`](crate::core::scheduling)
//! names.

use std::time::{Duration, Instant};

use crate::core::state::model::ClusterModel;
use crate::wire::{JobId, MachineId, TaskId};

impl ClusterModel {
    /// Stops the placed tasks of each gang of which other tasks wait, so that all of its
    /// tasks can be placed again together.
    pub(super) fn stop_broken_gangs(&mut self, now: Instant) {
        let broken: Vec<(JobId, u32, MachineId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_broken_gang())
            .flat_map(|(id, job)| {
                let places = job.places.iter();
                places.flat_map(|(index, machines)| machines.iter().map(|m| (*id, *index, m.clone())))
            })
            .collect();
        for (job, index, machine) in broken {
            let checkpoint_grace_s = self.jobs.get(&job).map_or(0.0, |j| j.spec.checkpoint_grace_s);
            let grace = Duration::from_secs_f64(checkpoint_grace_s);
            let task = TaskId { job, index };
            self.stop(
                &machine,
                task,
                grace,
                now,
                "another task of its gang is no longer placed",
            );
        }
    }
}
