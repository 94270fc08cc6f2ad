//! What tests may read of the cloud: its machines, and the starts and ends of tasks.

use std::sync::atomic::Ordering;
use std::time::Instant;

use bitternfold::wire::*;

use super::machine::Machine;
use super::Cloud;

/// A change of a task on a machine.
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
    /// It is on the machine no longer; `done` says whether it had completed.
    Ended {
        done: bool,
    },
}

impl Cloud {
    /// Heartbeats that got a response, oldest first.
    pub fn reported(&self) -> Vec<Vec<u8>> {
        self.reported.lock().clone()
    }

    /// How many requests with commands wait for a response of a machine that hangs.
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

    /// Machines without tasks.
    pub fn empty_machines(&self) -> Vec<String> {
        let all = self.machines.lock();
        let empty = all
            .iter()
            .map(|m| m.lock())
            .filter(|m| !m.released && m.tasks.is_empty());
        empty.map(|m| m.id.to_string()).collect()
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        let all = self.machines.lock();
        let present = all.iter().map(|m| m.lock()).filter(|m| !m.released);
        present
            .map(|m| m.tasks.values().filter(|t| t.state == TaskState::Running).count())
            .sum()
    }

    /// The machines that have not been released.
    pub fn names(&self) -> Vec<String> {
        let all = self.machines.lock();
        let present = all.iter().map(|m| m.lock()).filter(|m| !m.released);
        present.map(|m| m.id.to_string()).collect()
    }

    /// All starts and ends of tasks, in the order of time.
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
