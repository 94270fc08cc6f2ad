//! Jobs that depend on others, and a cluster model with a machine for them.

use std::time::Instant;

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::storage::record::JobRecord;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::support::*;

pub fn job_id(number: usize) -> JobId {
    format!("job-{number:06}").parse().expect("an id")
}

/// The record of a job that depends on the jobs with the numbers in `awaits`.
pub fn job_awaiting(number: u32, awaits: &[u32]) -> JobRecord {
    let mut spec = job(number, 1, 1.0);
    spec.awaits = awaits
        .iter()
        .map(|dependency| job_id(*dependency as usize))
        .collect();
    job_record(spec)
}

/// A model of term 7 with an idle machine that has seen a token of this term.
pub fn model_with_machine(now: Instant) -> (ClusterModel, MachineId) {
    let mut model = model(7);
    model.apply_heartbeat(&heartbeat("i-1", "large", "north", false, 7, 1), now);
    (model, "i-1".into())
}

/// Takes all due writes and reports them as stored. Returns the final states among them.
pub fn store_due_writes(model: &mut ClusterModel, now: Instant) -> Vec<(JobId, JobState)> {
    let mut finals = Vec::new();
    for write in model.take_due_writes(now) {
        model.write_finished(&write, true, now);
        if let PendingWrite::Final { id, record, .. } = write {
            finals.push((id, record.state));
        }
    }
    finals
}

/// Applies a heartbeat in which all tasks on a machine are done.
pub fn finish_tasks(model: &mut ClusterModel, machine: &MachineId, sequence: u64, now: Instant) {
    let mut message = heartbeat(machine, "large", "north", false, 7, sequence);
    message.token = model.machines()[machine].seen_token.max((7 << 20) + 1000);
    message.tasks = reported_ended(model, machine, usize::MAX);
    model.apply_heartbeat(&message, now);
}

/// The job's state that a user would be told; `None` if the model can't tell.
pub fn state_of(model: &ClusterModel, number: usize) -> Option<JobState> {
    model.status(job_id(number)).map(|status| status.state)
}
