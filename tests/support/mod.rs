//! What several tests share: settings, jobs and machines of a site for tests.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::core::state::job::Job;
use bitternfold::core::storage::record::JobRecord;
use bitternfold::core::ClusterModel;
use bitternfold::core::SchedulerConfig;
use bitternfold::settings::{DeploymentSettings, OperatorSettings};
use bitternfold::wire::{
    ExitReason, Heartbeat, JobKind, JobSpec, MachineId, MachineType, Priority, ReportedTask, TaskState,
};

pub const SETTINGS: &str = r#"
host_name = "heron-0"
zone = "north"
api_addr = "127.0.0.1:1"
back = "127.0.0.1:2"
something_new = { deep = [1, 2] }

[[seeds]]
host_name = "heron-1"
zone = "south"
endpoint = "127.0.0.1:3"

[services]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"

[cluster]
initial_size = 2
zones = ["north", "south"]
clock_error_ms = 25.0

[[cluster.teams]]
name = "red"
cpus = 16.0
cpus_max = 40.0

[[cluster.teams]]
name = "blue"

[[cluster.objectives]]
kind = "wait"
class = "quick"
within_s = 3.0
share = 0.9

[cluster.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 40.0

[cluster.state]
rps = 200.0
write_rps = 100.0
value_kb = 4.0
txn_ops = 12

[cluster.cloud]
rps = 10.0
list_lag_s = 4.0
"#;

pub fn deployment() -> DeploymentSettings {
    DeploymentSettings::parse(SETTINGS, "test").expect("valid settings")
}

pub fn model(term: u64) -> ClusterModel {
    let mut m = ClusterModel::new(
        Arc::new(SchedulerConfig::new(&deployment(), OperatorSettings::default())),
        term,
    );
    m.set_machine_types(types());
    m
}

pub fn types() -> Vec<MachineType> {
    [("small", 8.0, 16.0, 0.4), ("large", 32.0, 64.0, 1.5)]
        .into_iter()
        .map(|(name, cpus, memory_gb, price)| MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory_gb,
            cache_gb: 40.0,
            fetch_gb_per_s: 1.0,
            price,
            spot_price: price / 3.0,
            boot_s: 20.0,
            zones: vec!["north".into(), "south".into()],
        })
        .collect()
}

pub fn job(n: u32, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: format!("job-{n:06}").parse().expect("an id"),
        class: "plain".into(),
        team: "blue".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 0.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        checkpoint_grace_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}

pub fn record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_at_ms: 0,
        cancelled: false,
    }
}

/// A heartbeat of an idle machine that has seen a token of the term.
pub fn heartbeat(
    machine: &str,
    machine_type: &str,
    zone: &str,
    spot: bool,
    term: u64,
    sequence: u64,
) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: "127.0.0.1:9".into(),
        machine_type: machine_type.into(),
        zone: zone.into(),
        spot,
        incarnation: 1,
        sequence,
        token: term << 20,
        reclaim_in_s: None,
        tasks: Vec::new(),
    }
}

/// The tasks of a machine's slots, as its heartbeat would list them: all run.
pub fn running(m: &ClusterModel, id: &MachineId) -> Vec<ReportedTask> {
    all_in_state(m, id, TaskState::Running)
}

/// The tasks of a machine's slots, as its heartbeat would list them: all fetch their image.
pub fn fetching(m: &ClusterModel, id: &MachineId) -> Vec<ReportedTask> {
    all_in_state(m, id, TaskState::Fetching)
}

fn all_in_state(m: &ClusterModel, id: &MachineId, state: TaskState) -> Vec<ReportedTask> {
    m.machines()[id]
        .slots
        .iter()
        .map(|(t, s)| ReportedTask {
            task: *t,
            attempt: s.attempt,
            state,
            exit_reason: None,
            saved: None,
        })
        .collect()
}

/// The same, the first so many of them done.
pub fn ended(m: &ClusterModel, id: &MachineId, first: usize) -> Vec<ReportedTask> {
    let mut tasks = running(m, id);
    for t in tasks.iter_mut().take(first) {
        (t.state, t.exit_reason) = (TaskState::Ended, Some(ExitReason::Done));
    }
    tasks
}

/// Notes that tasks of a job failed on three machines, which aren't among those
/// of the test, each after it had run for `run`.
pub fn fail_on_three_machines(job: &mut Job, run: Duration, now: Instant) {
    for id in ["i-91", "i-92", "i-93"] {
        job.failures.record(&id.into(), run, now);
    }
}

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn start() -> Instant {
    // Well after the clock's zero, so that times before it exist.
    Instant::now() + Duration::from_secs(100_000)
}
