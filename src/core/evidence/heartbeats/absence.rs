//! Finds the attempts that a message proves to be gone from their machine, and those that are
//! not there but could be started again.

use crate::core::state::machine::Machine;
use crate::core::state::slot::Slot;
use crate::wire::{Heartbeat, TaskId};

/// Attempts with a slot on the machine that, as this message proves, neither are on the
/// machine nor can be started there any more. Their slots may be removed.
pub(super) fn absent_attempts(machine: &Machine, heartbeat: &Heartbeat) -> Vec<TaskId> {
    let slots = machine.slots.iter();
    slots
        .filter(|(task, slot)| !lists_attempt(heartbeat, **task, slot.attempt))
        .filter(|(_, slot)| start_cannot_take_effect(slot, heartbeat))
        .map(|(task, _)| *task)
        .collect()
}

/// Marks the attempts that the worker has lost: it has seen the token of their start, so it
/// carried the start out, but doesn't list them. A late copy of the start, whose token is
/// still the highest that the worker has seen, would start them again. A probe is due, as it
/// raises that token.
pub(super) fn mark_lost_attempts(machine: &mut Machine, heartbeat: &Heartbeat) {
    for (task, slot) in &mut machine.slots {
        let is_start_executed = slot.start_token > 0 && heartbeat.token == slot.start_token;
        if is_start_executed && !lists_attempt(heartbeat, *task, slot.attempt) {
            slot.awaits_fence = true;
            machine.needs_probe = true;
        }
    }
}

fn lists_attempt(heartbeat: &Heartbeat, task: TaskId, attempt: u64) -> bool {
    let mut reported = heartbeat.tasks.iter();
    reported.any(|t| t.task == task && t.attempt == attempt)
}

/// Whether no start of an attempt that the message doesn't list can take effect any
/// more. Absence from the list alone is no evidence, as the start may still be in flight.
/// Either of two conditions suffices:
///
/// - The worker has seen a higher token than the last one that was sent with the start. It
///   refuses commands below the highest token that it has seen, so the start, and any late copy
///   of it, will be refused. An equal token is not enough, see [`Slot::may_start_again`].
/// - The worker's incarnation is later than the one that the start was sent to. A restarted
///   worker has killed and forgotten its tasks, and it refuses commands that are meant
///   for another incarnation. This applies to starts of this term only: the incarnation
///   for starts of earlier terms isn't known (`start_incarnation` is 0).
fn start_cannot_take_effect(slot: &Slot, heartbeat: &Heartbeat) -> bool {
    let is_refused = slot.start_token > 0 && !slot.may_start_again(heartbeat.token);
    let is_later_incarnation = slot.start_incarnation > 0 && heartbeat.incarnation > slot.start_incarnation;
    is_refused || is_later_incarnation
}
