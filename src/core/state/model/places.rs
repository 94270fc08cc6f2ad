//! Places of tasks: the slot of an attempt is made before its start is logged, and
//! removed only on evidence that the attempt is gone.

use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::state::model::ClusterModel;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::state::token;
use crate::core::storage::wal::LogEntry;
use crate::wire::{MachineId, TaskId};

impl ClusterModel {
    /// Issues an attempt number that was never used before, in this term or another.
    pub fn new_attempt(&mut self) -> u64 {
        self.issued_attempts += 1;
        token::first_of_term(self.term) + self.issued_attempts
    }

    /// Places a task on a machine: makes the slot and adds the start to the log. Does
    /// nothing if the job or the machine is not known.
    pub fn place(
        &mut self,
        machine_id: &MachineId,
        task: TaskId,
        attempt: u64,
        backfilled: bool,
        now: Instant,
    ) {
        let (Some(job), Some(machine)) = (self.jobs.get_mut(&task.job), self.machines.get_mut(machine_id))
        else {
            return;
        };
        job.add_place(task.index, machine_id);
        self.may_have_shadow_load |= backfilled;
        machine.idle_since = None;
        let start_log_mark = self.log.push(LogEntry::Start(
            machine_id.clone(),
            task.job,
            attempt,
            vec![task.index],
        ));
        machine.slots.insert(
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
                awaits_fence: false,
                stop_grace: None,
                stop_ordered_at: None,
            },
        );
        self.command_candidates.insert(machine_id.clone());
        debug!(%task, attempt, machine = %machine_id, backfilled, "task placed");
    }

    /// Orders a task on a machine to stop, with the grace time `grace` to save a
    /// checkpoint; an earlier order with no more grace time stands. A placement whose
    /// start was in no batch of commands yet is removed at once.
    pub fn stop(
        &mut self,
        machine_id: &MachineId,
        task: TaskId,
        grace: Duration,
        now: Instant,
        reason: &str,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(slot) = machine.slots.get_mut(&task) else {
            return;
        };
        if slot.state == SlotState::Placed && slot.start_token == 0 {
            debug!(%task, attempt = slot.attempt, machine = %machine_id, reason, "slot removed before the start was sent");
            self.remove_slot(machine_id, task, now);
            return;
        }
        if !slot.takes_resources() || slot.stop_grace.is_some_and(|g| g <= grace) {
            return;
        }
        debug!(%task, attempt = slot.attempt, machine = %machine_id, reason, "stop of task ordered");
        slot.order_stop(grace, now);
        self.command_candidates.insert(machine_id.clone());
    }

    /// Removes a slot on evidence that its attempt is gone. The task waits again unless it
    /// is done or may be on another machine.
    pub(in crate::core) fn remove_slot(&mut self, machine_id: &MachineId, task: TaskId, now: Instant) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if machine.slots.remove(&task).is_some() {
            if !machine
                .slots
                .values()
                .any(|slot| matches!(slot.state, SlotState::Ended(_)))
            {
                machine.unacknowledged_since = None;
            }
            if machine.is_empty() && machine.idle_since.is_none() {
                machine.idle_since = Some(now);
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.remove_place(task.index, machine_id);
            }
        }
    }

    /// Removes all slots of a machine, on evidence that no attempt on it is left.
    pub(in crate::core) fn remove_all_slots(&mut self, machine_id: &MachineId, now: Instant, reason: &str) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let tasks: Vec<TaskId> = machine.slots.keys().copied().collect();
        if !tasks.is_empty() {
            debug!(machine = %machine_id, tasks = tasks.len(), reason, "all slots of the machine removed");
        }
        for task in tasks {
            self.remove_slot(machine_id, task, now);
        }
    }
}
