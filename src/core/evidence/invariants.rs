//! Invariants that are checked at run time. A violation is logged as an error with its
//! evidence; it doesn't end the process, which has workers to serve.

use crate::core::state::model::ClusterModel;
use crate::wire::{Heartbeat, ReportedTask, TaskState};

impl ClusterModel {
    /// Tasks that a heartbeat lists as alive although the model has no slot for that
    /// attempt on that machine, or has no such job. To be called after the heartbeat was
    /// applied. Empty until the machine is fenced by this term: before, its heartbeats may
    /// be delayed copies.
    pub fn unknown_tasks<'a>(&'a self, heartbeat: &'a Heartbeat) -> impl Iterator<Item = &'a ReportedTask> {
        let machine = self.machines.get(&heartbeat.machine);
        let machine = machine.filter(|machine| machine.is_fenced_by(self.term));
        let is_known = move |task: &ReportedTask| {
            let slot = machine.and_then(|machine| machine.slots.get(&task.task));
            let is_held = slot.is_some_and(|slot| slot.attempt == task.attempt);
            is_held && self.jobs.contains_key(&task.task.job)
        };
        let tasks = heartbeat.tasks.iter();
        let alive = tasks.filter(|task| task.state != TaskState::Ended);
        alive.filter(move |task| machine.is_some() && !is_known(task))
    }
}
