//! Settings, job specs, machine types and heartbeats that several tests share.
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

/// A valid settings file. It has fields that the program doesn't know and must ignore,
/// such as `something_new`.
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

/// The deployment settings parsed from [`SETTINGS`].
pub fn deployment_settings() -> DeploymentSettings {
    DeploymentSettings::parse(SETTINGS, "test").expect("valid settings")
}

/// An empty cluster model of a leader in `term`, which knows the [`machine_types`].
pub fn model(term: u64) -> ClusterModel {
    let mut model = ClusterModel::new(
        Arc::new(SchedulerConfig::new(
            &deployment_settings(),
            OperatorSettings::default(),
        )),
        term,
    );
    model.set_machine_types(machine_types());
    model
}

/// Two machine types, each offered in both zones.
pub fn machine_types() -> Vec<MachineType> {
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

/// The spec of the job `job-{n:06}`: an array job of team `blue`.
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

/// The record of a job that was accepted at time 0 and isn't cancelled.
pub fn job_record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_at_ms: 0,
        cancelled: false,
    }
}

/// A heartbeat of a machine without tasks whose latest fencing token is from `term`.
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
        address: "127.0.0.1:9".into(),
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

/// The tasks in a machine's slots as its heartbeat reports them if all are running.
pub fn reported_running(model: &ClusterModel, id: &MachineId) -> Vec<ReportedTask> {
    reported_in_state(model, id, TaskState::Running)
}

/// The tasks in a machine's slots as its heartbeat reports them if all are fetching
/// their image.
pub fn reported_fetching(model: &ClusterModel, id: &MachineId) -> Vec<ReportedTask> {
    reported_in_state(model, id, TaskState::Fetching)
}

fn reported_in_state(model: &ClusterModel, id: &MachineId, state: TaskState) -> Vec<ReportedTask> {
    model.machines()[id]
        .slots
        .iter()
        .map(|(task, slot)| ReportedTask {
            task: *task,
            attempt: slot.attempt,
            state,
            exit_reason: None,
            saved: None,
        })
        .collect()
}

/// Like [`reported_running`], but the first `count` tasks have ended successfully.
pub fn reported_ended(model: &ClusterModel, id: &MachineId, count: usize) -> Vec<ReportedTask> {
    let mut tasks = reported_running(model, id);
    for task in tasks.iter_mut().take(count) {
        (task.state, task.exit_reason) = (TaskState::Ended, Some(ExitReason::Done));
    }
    tasks
}

/// Records that a task of a job failed on each of three machines that the tests don't
/// use otherwise, after it had run for `run_time`.
pub fn fail_on_three_machines(job: &mut Job, run_time: Duration, now: Instant) {
    for id in ["i-91", "i-92", "i-93"] {
        job.failures.record_failure(&id.into(), run_time, now);
    }
}

pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The instant at which a test's simulated time begins.
pub fn start() -> Instant {
    // Far after the zero of the steady clock, so that tests can compute earlier instants.
    Instant::now() + Duration::from_secs(100_000)
}
