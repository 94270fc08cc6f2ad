//! What tests may learn of the cloud: its machines, and all that started and ended there.

use std::sync::atomic::Ordering;
use std::time::Instant;

use bitternfold::wire::*;

use super::machine::Machine;
use super::Cloud;

/// Something that a machine did.
#[derive(Debug, Clone)]
pub struct TaskEvent {
    pub at: Instant,
    pub task: TaskId,
    pub machine: String,
    pub zone: String,
    pub what: TaskChange,
}

/// What became of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskChange {
    Started,
    /// It is there no more; whether it had completed.
    Ended {
        done: bool,
    },
}

impl Cloud {
    /// Reports that were answered, oldest first.
    pub fn reported(&self) -> Vec<Vec<u8>> {
        self.reported.lock().clone()
    }

    /// How many commands wait for an answer of a machine that hangs.
    pub fn hanging_commands(&self) -> usize {
        self.hanging_commands.load(Ordering::Relaxed)
    }

    /// How often tasks of a job were started by a command that was carried out.
    pub fn starts_of(&self, job: &str) -> usize {
        let job: JobId = job.parse().expect("an id");
        let carried_out = self.carried_out.lock();
        let commands = carried_out.iter().flat_map(|(_, c)| &c.commands);
        commands
            .filter(|c| matches!(c, Command::Start { task, .. } if task.job == job))
            .count()
    }

    /// Machines on which no task is.
    pub fn empty_machines(&self) -> Vec<String> {
        let all = self.machines.lock();
        let empty = all
            .iter()
            .map(|m| m.lock())
            .filter(|m| !m.gone && m.tasks.is_empty());
        empty.map(|m| m.id.to_string()).collect()
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        let all = self.machines.lock();
        let there = all.iter().map(|m| m.lock()).filter(|m| !m.gone);
        there
            .map(|m| m.tasks.values().filter(|t| t.state == TaskState::Running).count())
            .sum()
    }

    /// The machines that are there.
    pub fn names(&self) -> Vec<String> {
        let all = self.machines.lock();
        let there = all.iter().map(|m| m.lock()).filter(|m| !m.gone);
        there.map(|m| m.id.to_string()).collect()
    }

    /// All that was started and ended, in the order of time.
    pub fn events(&self) -> Vec<TaskEvent> {
        self.events.lock().clone()
    }

    pub(super) fn note(&self, m: &Machine, task: TaskId, what: TaskChange) {
        self.events.lock().push(TaskEvent {
            at: Instant::now(),
            task,
            machine: m.id.to_string(),
            zone: m.zone.clone(),
            what,
        });
    }
}
