//! The state of the cloud that tests read: its machines, and the starts and ends of tasks.

use std::sync::atomic::Ordering;
use std::time::Instant;

use bitternfold::wire::*;

use super::machine::Machine;
use super::Cloud;

/// The start or end of a task on a machine.
#[derive(Debug, Clone)]
pub struct TaskEvent {
    pub at: Instant,
    pub task: TaskId,
    pub machine: String,
    pub zone: String,
    pub kind: TaskEventKind,
}

/// What happened to the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEventKind {
    Started,
    /// The task no longer runs on the machine. `done`: it has completed.
    Ended {
        done: bool,
    },
}

impl Cloud {
    /// Bodies of the heartbeats that got the status 200, oldest first.
    pub fn answered_heartbeats(&self) -> Vec<Vec<u8>> {
        self.answered_heartbeats.lock().clone()
    }

    /// The number of command requests that wait for a response of a hanging machine.
    pub fn hanging_commands(&self) -> usize {
        self.hanging_commands.load(Ordering::Relaxed)
    }

    /// The number of start commands for tasks of a job in the executed batches.
    pub fn start_count(&self, job: &str) -> usize {
        let job: JobId = job.parse().expect("an id");
        let batches = self.executed_batches.lock();
        let commands = batches.iter().flat_map(|(_, batch)| &batch.commands);
        commands
            .filter(|c| matches!(c, Command::Start { task, .. } if task.job == job))
            .count()
    }

    /// The ids of the machines without tasks.
    pub fn idle_machines(&self) -> Vec<String> {
        let all = self.machines.lock();
        let idle = all
            .iter()
            .map(|m| m.lock())
            .filter(|m| !m.released && m.tasks.is_empty());
        idle.map(|m| m.id.to_string()).collect()
    }

    /// The number of running tasks.
    pub fn running_tasks(&self) -> usize {
        let all = self.machines.lock();
        let rented = all.iter().map(|m| m.lock()).filter(|m| !m.released);
        rented
            .map(|m| m.tasks.values().filter(|t| t.state == TaskState::Running).count())
            .sum()
    }

    /// The ids of the machines that have not been released.
    pub fn machine_ids(&self) -> Vec<String> {
        let all = self.machines.lock();
        let rented = all.iter().map(|m| m.lock()).filter(|m| !m.released);
        rented.map(|m| m.id.to_string()).collect()
    }

    /// All starts and ends of tasks, oldest first.
    pub fn events(&self) -> Vec<TaskEvent> {
        self.events.lock().clone()
    }

    pub(super) fn record_event(&self, machine: &Machine, task: TaskId, kind: TaskEventKind) {
        self.events.lock().push(TaskEvent {
            at: Instant::now(),
            task,
            machine: machine.id.to_string(),
            zone: machine.zone.clone(),
            kind,
        });
    }
}
