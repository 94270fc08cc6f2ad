//! Places of tasks: the slot of a task is made before its start is logged, and
//! removed only on evidence that its attempt is gone.

use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::state::model::ClusterModel;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::state::token;
use crate::core::storage::wal::LogEntry;
use crate::wire::{MachineId, TaskId};

impl ClusterModel {
    /// A new attempt number, never used before.
    pub fn new_attempt(&mut self) -> u64 {
        self.attempts += 1;
        token::first_of_term(self.term) + self.attempts
    }

    /// Places a task: the slot is made, the log is told.
    pub fn place(&mut self, machine: &MachineId, task: TaskId, attempt: u64, backfilled: bool, now: Instant) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&task.job), self.machines.get_mut(machine)) else {
            return;
        };
        job.add_place(task.index, machine);
        self.has_backfilled |= backfilled;
        m.idle_since = None;
        let start_log_mark = self.log.push(LogEntry::Start(
            machine.clone(),
            task.job,
            attempt,
            vec![task.index],
        ));
        m.slots.insert(
            task,
            Slot {
                attempt,
                state: SlotState::Placed,
                spec: Some(job.spec.clone()),
                start_token: 0,
                start_incarnation: 0,
                start_log_mark,
                outcome_log_mark: 0,
                backfilled,
                placed_at: now,
                running_since: None,
                stop_grace: None,
                stop_ordered_at: None,
            },
        );
        self.command_candidates.insert(machine.clone());
        debug!(%task, attempt, machine = %machine, backfilled, "placed");
    }

    /// Asks for a task to be stopped. One that was never started goes at once.
    pub fn stop(&mut self, machine: &MachineId, task: TaskId, grace: Duration, now: Instant, reason: &str) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(slot) = m.slots.get_mut(&task) else {
            return;
        };
        if slot.state == SlotState::Placed && slot.start_token == 0 {
            debug!(%task, attempt = slot.attempt, machine = %machine, reason, "placement withdrawn before its start");
            self.remove_slot(machine, task, now);
            return;
        }
        if !slot.takes_resources() || slot.stop_grace.is_some_and(|g| g <= grace) {
            return;
        }
        debug!(%task, attempt = slot.attempt, machine = %machine, reason, "stopping");
        slot.order_stop(grace, now);
        self.command_candidates.insert(machine.clone());
    }

    /// Removes a slot on evidence; its task waits again unless done.
    pub(in crate::core) fn remove_slot(&mut self, machine: &MachineId, task: TaskId, now: Instant) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        if m.slots.remove(&task).is_some() {
            if !m.slots.values().any(|s| matches!(s.state, SlotState::Ended(_))) {
                m.unacknowledged_since = None;
            }
            if m.is_empty() && m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.remove_place(task.index, machine);
            }
        }
    }

    pub(in crate::core) fn remove_all_slots(&mut self, id: &MachineId, now: Instant, reason: &str) {
        let Some(m) = self.machines.get(id) else { return };
        let tasks: Vec<TaskId> = m.slots.keys().copied().collect();
        if !tasks.is_empty() {
            debug!(machine = %id, tasks = tasks.len(), reason, "its tasks are removed with the machine");
        }
        for task in tasks {
            self.remove_slot(id, task, now);
        }
    }
}
