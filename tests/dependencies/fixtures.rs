//! Jobs that wait for others, and a cluster model with a machine for them.

use std::time::Instant;

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::storage::record::JobRecord;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::support::*;

pub fn id(number: usize) -> JobId {
    format!("job-{number:06}").parse().expect("an id")
}

/// A job that waits for others.
pub fn job_awaiting(number: u32, awaits: &[u32]) -> JobRecord {
    let mut spec = job(number, 1, 1.0);
    spec.awaits = awaits.iter().map(|a| id(*a as usize)).collect();
    job_record(spec)
}

/// A model with an idle machine that has seen its fencing token.
pub fn model_with_machine(now: Instant) -> (ClusterModel, MachineId) {
    let mut model = model(7);
    model.apply_heartbeat(&heartbeat("i-1", "large", "north", false, 7, 1), now);
    (model, "i-1".into())
}

/// Writes whatever is due, and says that it is stored. The final states among it.
pub fn store_all(model: &mut ClusterModel, now: Instant) -> Vec<(JobId, JobState)> {
    let mut finals = Vec::new();
    for write in model.take_due_writes(now) {
        model.write_finished(&write, true, now);
        if let PendingWrite::Final { id, record, .. } = write {
            finals.push((id, record.state));
        }
    }
    finals
}

/// Lets the tasks on a machine end.
pub fn end_tasks(model: &mut ClusterModel, machine: &MachineId, sequence: u64, now: Instant) {
    let mut message = heartbeat(machine, "large", "north", false, 7, sequence);
    message.token = model.machines()[machine].seen_token.max((7 << 20) + 1000);
    message.tasks = reported_ended(model, machine, usize::MAX);
    model.apply_heartbeat(&message, now);
}

pub fn state_of(model: &ClusterModel, number: usize) -> Option<JobState> {
    model.status(id(number)).map(|v| v.state)
}
