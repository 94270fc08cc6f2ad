//! A machine of the cloud, its tasks, and the heartbeats of its worker.

use std::collections::BTreeMap;
use std::time::Instant;

use bitternfold::wire::*;

/// A task on a machine.
pub(super) struct Task {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) exit_reason: Option<ExitReason>,
    pub(super) completes_at: Instant,
}

/// A machine with its worker.
pub struct Machine {
    pub(super) id: MachineId,
    pub(super) addr: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) token: u64,
    pub(super) tasks: BTreeMap<TaskId, Task>,
    /// When the last heartbeat that got a response was sent; the lease is counted from then.
    pub(super) lease_renewed: Instant,
    /// Whether a controller has released the machine, which ends its worker.
    pub(super) released: bool,
}

/// The next heartbeat of the machine's worker.
pub(super) fn next_heartbeat(machine: &mut Machine) -> Heartbeat {
    machine.sequence += 1;
    Heartbeat {
        machine: machine.id.clone(),
        address: machine.addr.clone(),
        machine_type: "small".into(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        incarnation: machine.incarnation,
        sequence: machine.sequence,
        token: machine.token,
        reclaim_in_s: None,
        tasks: machine
            .tasks
            .iter()
            .map(|(id, task)| ReportedTask {
                task: *id,
                attempt: task.attempt,
                state: task.state,
                exit_reason: task.exit_reason,
                saved: None,
            })
            .collect(),
    }
}
