//! Machines and their heartbeats, shared by the planner's tests.

use std::time::Instant;

use bitternfold::core::state::slot::SlotState;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::support::*;

/// Adds a schedulable machine.
pub fn add_machine(
    model: &mut ClusterModel,
    id: &str,
    machine_type: &str,
    zone: &str,
    spot: bool,
    now: Instant,
) {
    model.apply_heartbeat(&heartbeat(id, machine_type, zone, spot, model.term(), 1), now);
}

/// The ids of the tasks that have a slot on a machine.
pub fn tasks_on(model: &ClusterModel, id: &str) -> Vec<String> {
    model.machines()[&MachineId::from(id)]
        .slots
        .keys()
        .map(|t| t.to_string())
        .collect()
}

/// Marks all placed tasks as started in this term and running since `now`.
pub fn mark_all_running(model: &mut ClusterModel, now: Instant) {
    let term = model.term();
    for slot in model
        .set_up()
        .machines
        .values_mut()
        .flat_map(|m| m.slots.values_mut())
    {
        if slot.state == SlotState::Placed {
            slot.state = SlotState::Running;
            slot.running_since = Some(now);
            slot.start_token = term << 20;
        }
    }
}

/// Simulates a second of four machines: at `now` their heartbeats report the tasks that were
/// placed at least `run_s` seconds ago as done, then a scheduling round places what fits.
pub fn simulate_second(model: &mut ClusterModel, second: u64, now: Instant, run_s: u64) {
    for i in 0..4 {
        let mut message = heartbeat(&format!("i-{i}"), "small", "north", false, 5, second + 10);
        // Above every start's token, so that a task that isn't listed counts as gone.
        message.token = (5 << 20) + 900;
        let id = MachineId::from(format!("i-{i}").as_str());
        message.tasks = model.machines()[&id]
            .slots
            .iter()
            .filter(|(_, slot)| slot.takes_resources())
            .map(|(task, slot)| {
                let has_ended = now >= slot.placed_at + secs(run_s);
                ReportedTask {
                    task: *task,
                    attempt: slot.attempt,
                    state: if has_ended {
                        TaskState::Ended
                    } else {
                        TaskState::Running
                    },
                    exit_reason: has_ended.then_some(ExitReason::Done),
                    saved: None,
                }
            })
            .collect();
        model.apply_heartbeat(&message, now);
    }
    model.run_scheduling_round(now);
    // As if all starts had been sent.
    for slot in model
        .set_up()
        .machines
        .values_mut()
        .flat_map(|machine| machine.slots.values_mut())
    {
        slot.start_token = 5 << 20;
    }
}

/// Applies two heartbeats of a machine: the first reports that all its tasks have ended for
/// `reason`, the second lists none of them any more.
pub fn end_all_tasks(
    model: &mut ClusterModel,
    machine: &str,
    reason: ExitReason,
    sequence: u64,
    now: Instant,
) {
    let id = MachineId::from(machine);
    mark_all_running(model, now);
    let mut message = heartbeat(machine, "small", "north", false, 1, sequence);
    // Above every start's token, so that no late copy of a start can take effect any more.
    message.token = (1 << 20) + 1;
    message.tasks = reported_running(model, &id);
    for reported in &mut message.tasks {
        (reported.state, reported.exit_reason) = (TaskState::Ended, Some(reason));
    }
    model.apply_heartbeat(&message, now);
    // The worker has forgotten the ended tasks.
    let mut message = heartbeat(machine, "small", "north", false, 1, sequence + 1);
    message.token = (1 << 20) + 500_000;
    model.apply_heartbeat(&message, now);
}
