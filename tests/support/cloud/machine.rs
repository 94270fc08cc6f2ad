//! A machine of the cloud, its tasks, and the heartbeat that its worker sends.

use std::collections::BTreeMap;
use std::time::Instant;

use bitternfold::wire::*;

pub(super) struct Task {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) exit_reason: Option<ExitReason>,
    pub(super) until: Instant,
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
    /// Its last answered report was sent then.
    pub(super) renewed: Instant,
    pub(super) gone: bool,
}

pub(super) fn report_of(m: &mut Machine) -> Heartbeat {
    m.sequence += 1;
    Heartbeat {
        machine: m.id.clone(),
        addr: m.addr.clone(),
        machine_type: "small".into(),
        zone: m.zone.clone(),
        spot: m.spot,
        incarnation: m.incarnation,
        sequence: m.sequence,
        token: m.token,
        reclaim_in_s: None,
        tasks: m
            .tasks
            .iter()
            .map(|(t, x)| ReportedTask {
                task: *t,
                attempt: x.attempt,
                state: x.state,
                exit_reason: x.exit_reason,
                saved: None,
            })
            .collect(),
    }
}
