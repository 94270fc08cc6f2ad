//! Machines and what they report, shared by the planner's tests.

use std::time::Instant;

use bitternfold::core::state::slot::SlotState;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::support::*;

/// Adds a machine that may be placed on.
pub fn add(m: &mut ClusterModel, id: &str, kind: &str, zone: &str, spot: bool, now: Instant) {
    m.apply_heartbeat(&heartbeat(id, kind, zone, spot, m.term(), 1), now);
}

pub fn tasks_on(m: &ClusterModel, id: &str) -> Vec<String> {
    m.machines()[&MachineId::from(id)]
        .slots
        .keys()
        .map(|t| t.to_string())
        .collect()
}

/// Marks all that is placed as running since `now`.
pub fn run_all(m: &mut ClusterModel, now: Instant) {
    let term = m.term();
    for s in m
        .set_up()
        .machines
        .values_mut()
        .flat_map(|m| m.slots.values_mut())
    {
        if s.state == SlotState::Placed {
            s.state = SlotState::Running;
            s.running_since = Some(now);
            s.start_token = term << 20;
        }
    }
}

/// A second passes on four machines: tasks that have run for `run` seconds are
/// done, what fits is placed.
pub fn turn(m: &mut ClusterModel, s: u64, t: Instant, run: u64) {
    for i in 0..4 {
        let mut r = heartbeat(&format!("i-{i}"), "small", "north", false, 5, s + 10);
        r.token = (5 << 20) + 900;
        let id = MachineId::from(format!("i-{i}").as_str());
        r.tasks = m.machines()[&id]
            .slots
            .iter()
            .filter(|(_, x)| x.takes_resources())
            .map(|(task, x)| {
                let over = t >= x.placed_at + secs(run);
                ReportedTask {
                    task: *task,
                    attempt: x.attempt,
                    state: if over {
                        TaskState::Exited
                    } else {
                        TaskState::Running
                    },
                    exit_reason: over.then_some(ExitReason::Done),
                    saved: None,
                }
            })
            .collect();
        m.apply_heartbeat(&r, t);
    }
    m.plan(t);
    for x in m
        .set_up()
        .machines
        .values_mut()
        .flat_map(|x| x.slots.values_mut())
    {
        x.start_token = 5 << 20;
    }
}

/// Tells the model that all tasks on a machine ended so.
pub fn all_ended(m: &mut ClusterModel, machine: &str, reason: ExitReason, sequence: u64, now: Instant) {
    let id = MachineId::from(machine);
    run_all(m, now);
    let mut r = heartbeat(machine, "small", "north", false, 1, sequence);
    r.tasks = running(m, &id);
    for t in &mut r.tasks {
        (t.state, t.exit_reason) = (TaskState::Exited, Some(reason));
    }
    m.apply_heartbeat(&r, now);
    // Forgotten by the worker, too.
    let mut r = heartbeat(machine, "small", "north", false, 1, sequence + 1);
    r.token = (1 << 20) + 500_000;
    m.apply_heartbeat(&r, now);
}
