//! What must hold whatever happens, checked while the program runs. A violation is
//! an error in the log with the evidence; it never ends the process, which has
//! workers to serve.

use crate::core::state::model::ClusterModel;
use crate::wire::{Heartbeat, ReportedTask, TaskState};

impl ClusterModel {
    /// Tasks that a report lists as alive although the model has no place for that
    /// attempt on that machine, or knows no such job. To be asked once the report is
    /// taken in. Until a machine obeys this term its words may be late copies.
    pub fn unknown_tasks<'a>(&'a self, heartbeat: &'a Heartbeat) -> impl Iterator<Item = &'a ReportedTask> {
        let machine = self.machines.get(&heartbeat.machine);
        let machine = machine.filter(|m| m.fenced(self.term));
        let known = move |task: &ReportedTask| {
            let slot = machine.and_then(|m| m.slots.get(&task.task));
            let held = slot.is_some_and(|slot| slot.attempt == task.attempt);
            held && self.jobs.contains_key(&task.task.job)
        };
        let alive = heartbeat.tasks.iter().filter(|t| t.state != TaskState::Exited);
        alive.filter(move |task| machine.is_some() && !known(task))
    }
}
