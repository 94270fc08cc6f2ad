//! Jobs that wait for others, and a cluster model with a machine for them.

use std::time::Instant;

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::storage::record::JobRecord;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::support::*;

pub fn id(n: usize) -> JobId {
    format!("job-{n:06}").parse().expect("an id")
}

/// A job that waits for others.
pub fn chained(n: u32, awaits: &[u32]) -> JobRecord {
    let mut spec = job(n, 1, 1.0);
    spec.awaits = awaits.iter().map(|a| id(*a as usize)).collect();
    record(spec)
}

/// A model with an idle machine that obeys it.
pub fn with_machine(now: Instant) -> (ClusterModel, MachineId) {
    let mut m = model(7);
    m.apply_heartbeat(&heartbeat("i-1", "large", "north", false, 7, 1), now);
    (m, "i-1".into())
}

/// Writes whatever is due, and says that it is stored. The final states among it.
pub fn store_all(m: &mut ClusterModel, now: Instant) -> Vec<(JobId, JobState)> {
    let mut finals = Vec::new();
    for write in m.take_due_writes(now) {
        m.write_finished(&write, true, now);
        if let PendingWrite::Final { id, record, .. } = write {
            finals.push((id, record.state));
        }
    }
    finals
}

/// Lets the tasks on a machine end.
pub fn end_tasks(m: &mut ClusterModel, machine: &MachineId, sequence: u64, now: Instant) {
    let mut r = heartbeat(machine, "large", "north", false, 7, sequence);
    r.token = m.machines()[machine].seen_token.max((7 << 20) + 1000);
    r.tasks = ended(m, machine, usize::MAX);
    m.apply_heartbeat(&r, now);
}

pub fn standing(m: &ClusterModel, n: usize) -> Option<JobState> {
    m.status(id(n)).map(|v| v.state)
}
