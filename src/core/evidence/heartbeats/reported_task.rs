//! Applies what a message says about each task that it lists.

use std::collections::btree_map::{BTreeMap, Entry};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::evidence::heartbeats::exit::{apply_exit, ExitEffect};
use crate::core::evidence::heartbeats::AcceptedHeartbeat;
use crate::core::state::job::Job;
use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::{Slot, SlotState};
use crate::wire::{JobSpec, MachineId, ReportedTask, TaskId, TaskState};

impl ClusterModel {
    pub(super) fn apply_reported_task(&mut self, accepted: &AcceptedHeartbeat, task: &ReportedTask) {
        let Some(machine) = self.machines.get_mut(&accepted.heartbeat.machine) else {
            return;
        };
        let mut job = self.jobs.get_mut(&task.task.job);
        if let Entry::Vacant(vacant) = machine.slots.entry(task.task) {
            // A message sent before the worker saw a token of this term may be a delayed
            // copy. The task may have ended since, so no slot is added for it.
            if !accepted.fenced {
                return;
            }
            debug!(
                task = %task.task,
                attempt = task.attempt,
                machine = %machine.id,
                "heartbeat lists a task that has no slot, slot added"
            );
            let spec = job.as_ref().map(|job| job.spec.clone());
            vacant.insert(unexpected_slot(task, spec, self.term, accepted.now));
            machine.idle_since = None;
            if let Some(job) = job.as_mut().filter(|job| task.task.index < job.spec.tasks) {
                job.add_place(task.task.index, &machine.id);
            }
        }
        if task.state != TaskState::Ended {
            apply_progress(machine, job, task, accepted);
            return;
        }
        let effect = apply_exit(machine, job, &mut self.log, task, accepted);
        if effect == ExitEffect::AttemptFailed {
            self.cordon_if_faulty(&accepted.heartbeat.machine, accepted.now);
        }
    }

    /// Handles a listed attempt that differs from the one in its task's slot. The listed
    /// one, too, may run and takes resources until the worker no longer lists it. The slot
    /// is to be stopped, and if its own attempt has ended, it holds the listed attempt from
    /// now on.
    pub(super) fn track_unexpected_attempt(&mut self, machine: &MachineId, task: &ReportedTask) {
        let slots = self.machines.get_mut(machine).map(|machine| &mut machine.slots);
        let Some(slot) = slots.and_then(|slots| slots.get_mut(&task.task)) else {
            return;
        };
        if slot.attempt == task.attempt {
            return;
        }
        slot.stop_grace = Some(Duration::ZERO);
        if slot.takes_resources() {
            return;
        }
        slot.attempt = task.attempt;
        slot.state = SlotState::Unknown;
        if let Some(job) = self.jobs.get_mut(&task.task.job) {
            job.add_place(task.task.index, machine);
        }
    }
}

/// A slot for a task that is on the machine although the model has no slot for it: its job
/// is complete or cancelled, or another leader started the attempt. Unless it has ended,
/// the task takes resources until it is gone, and is to be stopped.
fn unexpected_slot(task: &ReportedTask, spec: Option<Arc<JobSpec>>, term: u64, now: Instant) -> Slot {
    let mut slot = Slot::unknown(task.attempt, spec, term, now);
    slot.order_stop(Duration::ZERO, now);
    slot
}

/// The slot that a reported task updates: the slot of the same attempt, unless the attempt
/// has ended already. An attempt ends once, whatever is reported about it afterwards. A
/// slot of a different attempt is not updated: the reported attempt either has ended and is
/// not acknowledged yet, beside a new one, or is left to `track_unexpected_attempt`.
pub(super) fn reported_slot<'a>(
    slots: &'a mut BTreeMap<TaskId, Slot>,
    task: &ReportedTask,
) -> Option<&'a mut Slot> {
    let slot = slots
        .get_mut(&task.task)
        .expect("a reported task had a slot, or was given one just before");
    (slot.attempt == task.attempt && slot.takes_resources()).then_some(slot)
}

/// Applies the reported state of an attempt that has not ended.
fn apply_progress(
    machine: &mut Machine,
    job: Option<&mut Job>,
    task: &ReportedTask,
    accepted: &AcceptedHeartbeat,
) {
    let Some(slot) = reported_slot(&mut machine.slots, task) else {
        return;
    };
    slot.awaits_fence = false;
    match task.state {
        TaskState::Fetching | TaskState::Waiting => slot.state = SlotState::Fetching,
        TaskState::Saving => slot.state = SlotState::Saving,
        TaskState::Running => {
            slot.state = SlotState::Running;
            slot.running_since.get_or_insert(accepted.now);
            if let Some(job) = job.filter(|job| task.task.index < job.spec.tasks) {
                job.running.insert(task.task.index);
            }
        }
        TaskState::Ended => return,
    }
    if let (Some(spec), SlotState::Running | SlotState::Fetching) = (&slot.spec, slot.state) {
        let (image, image_gb) = (spec.image.clone(), spec.image_gb);
        machine.note_image_use(&image, image_gb, accepted.cache_gb);
    }
}
