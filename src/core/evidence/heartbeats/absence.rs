//! Evidence that an attempt is gone from its machine.

use crate::core::state::machine::Machine;
use crate::core::state::slot::Slot;
use crate::wire::{Heartbeat, TaskId};

/// Attempts that the model has on the machine, and that this message proves to be
/// neither there nor to come. Their slots may be dropped.
pub(super) fn absent_attempts(machine: &Machine, heartbeat: &Heartbeat) -> Vec<TaskId> {
    let slots = machine.slots.iter();
    slots
        .filter(|(task, slot)| !lists_attempt(heartbeat, **task, slot.attempt))
        .filter(|(_, slot)| start_cannot_take_effect(slot, heartbeat))
        .map(|(task, _)| *task)
        .collect()
}

fn lists_attempt(heartbeat: &Heartbeat, task: TaskId, attempt: u64) -> bool {
    let mut reported = heartbeat.tasks.iter();
    reported.any(|t| t.task == task && t.attempt == attempt)
}

/// Whether no start of an attempt that the message doesn't list can take effect any
/// more. Absence from the list alone is no evidence: the start may still be on its way.
///
/// - The worker has seen a token at least as high as the last one that carried the
///   start. It refuses commands below the highest token it has seen, each command has a
///   token of its own, and no heartbeat response carries the token of a command that is
///   on its way. So the start was executed before this message, or will be refused.
/// - Or its incarnation is later than the one that the start was sent to. A restarted
///   worker has killed and forgotten its tasks, and it refuses commands that are meant
///   for another incarnation. This holds for starts of this term alone: of those of
///   earlier terms the incarnation isn't known (`start_incarnation` is 0).
fn start_cannot_take_effect(slot: &Slot, heartbeat: &Heartbeat) -> bool {
    let is_token_seen = slot.start_token > 0 && heartbeat.token >= slot.start_token;
    let is_later_incarnation = slot.start_incarnation > 0 && heartbeat.incarnation > slot.start_incarnation;
    is_token_seen || is_later_incarnation
}
