//! Bodies of requests, settings and task sets: values survive a round trip, and errors about
//! invalid input name the field.

mod support;

use bitternfold::core::state::task_set::TaskSet;
use bitternfold::settings::{DeploymentSettings, OperatorSettings};
use bitternfold::wire::*;
use proptest::prelude::*;

fn any_id() -> impl Strategy<Value = JobId> {
    "job-[0-9]{1,18}".prop_map(|s| s.parse().expect("an id"))
}

fn any_spec() -> impl Strategy<Value = JobSpec> {
    (
        (
            any_id(),
            "[a-z]{1,9}",
            "[a-z]{1,9}",
            0..3u8,
            0..4u8,
            1..=MAX_TASKS_PER_JOB,
        ),
        (1..64u32, 0..8u32, 0..512u32, any::<[bool; 3]>()),
        (
            proptest::option::of(proptest::collection::vec("[a-z0-9]{1,5}", 1..4)),
            proptest::option::of("[a-z]{1,4}"),
            0.0..9e5f64,
            proptest::option::of(0.0..9e5f64),
            proptest::collection::vec(any_id(), 0..4),
        ),
    )
        .prop_map(
            |(
                (id, class, team, kind, priority, tasks),
                (cpus, gpus, memory, flags),
                (types, zone, estimate_s, deadline_s, awaits),
            )| {
                JobSpec {
                    id,
                    class,
                    team,
                    kind: [JobKind::Array, JobKind::Service, JobKind::Gang][kind as usize],
                    priority: [
                        Priority::Low,
                        Priority::Normal,
                        Priority::High,
                        Priority::Production,
                    ][priority as usize],
                    tasks,
                    cpus: f64::from(cpus) / 4.0,
                    gpus: f64::from(gpus),
                    memory_gb: f64::from(memory) / 8.0,
                    image: "img-07".into(),
                    image_gb: 6.2,
                    machine_types: types,
                    zone,
                    one_zone: flags[0],
                    spread: flags[1],
                    spot: flags[2],
                    estimate_s,
                    checkpoint_s: 30.0,
                    checkpoint_grace_s: 4.0,
                    deadline_s,
                    awaits,
                }
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_valid_submission_survives_serialization(spec in any_spec()) {
        prop_assert_eq!(spec.check(), Ok(()));
        let text = serde_json::to_string(&spec).expect("json");
        prop_assert_eq!(serde_json::from_str::<JobSpec>(&text).expect("read again"), spec);
    }

    #[test]
    fn a_submission_without_a_required_field_is_refused(spec in any_spec(), at in 0usize..17) {
        let mut body = serde_json::to_value(&spec).expect("json");
        let fields = body.as_object_mut().expect("an object");
        let optional = ["rigs", "yard", "due_s", "awaits"];
        let required: Vec<String> = fields.keys().filter(|k| !optional.contains(&k.as_str())).cloned().collect();
        fields.remove(&required[at % required.len()]);
        prop_assert!(serde_json::from_value::<JobSpec>(body).is_err());
    }

    #[test]
    fn a_job_id_is_job_dash_and_1_to_18_digits(text in "(job-)?[0-9a-z/]{0,20}") {
        let is_valid = text.strip_prefix("job-").is_some_and(|d| {
            (1..=18).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit())
        });
        match text.parse::<JobId>() {
            Ok(id) => { prop_assert!(is_valid); prop_assert_eq!(id.to_string(), text); }
            Err(_) => prop_assert!(!is_valid),
        }
    }

    #[test]
    fn a_task_set_agrees_with_a_btree_set(len in 1u32..3_000, changes in proptest::collection::vec(any::<(u32, bool)>(), 0..200)) {
        let mut tasks = TaskSet::new(len);
        let mut expected = std::collections::BTreeSet::new();
        for (index, insert) in changes {
            let index = index % len;
            prop_assert_eq!(
                if insert { tasks.insert(index) } else { tasks.remove(index) },
                if insert { expected.insert(index) } else { expected.remove(&index) }
            );
        }
        prop_assert_eq!(tasks.iter().collect::<Vec<_>>(), expected.iter().copied().collect::<Vec<_>>());
        prop_assert_eq!((tasks.count() as usize, tasks.first()), (expected.len(), expected.first().copied()));
    }
}

#[test]
fn examples_of_the_protocol_are_read_and_written() {
    let spec: JobSpec = serde_json::from_str(
        r#"{"name_id":"job-000412","lot_class":"train","desk":"vision","sort":"batch","urgency":"high","lots":16,
        "cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"kit":"img-07","size_gb":6.2,"rigs":["g8"],"yard":null,
        "one_zone":true,"spread":false,"loaners":true,"expected_s":240.0,"tally_s":30.0,"stow_s":4.0,
        "due_s":900.0,"new_field":[1]}"#,
    )
    .expect("a submission");
    assert_eq!(
        (spec.tasks, spec.zone.clone(), spec.priority),
        (16, None, Priority::High)
    );
    let heartbeat: Heartbeat = serde_json::from_str(
        r#"{"rack":"i-000231","endpoint":"10.1.0.232:9000","rig":"g8","yard":"a","loaners":true,
        "tenure":1,"tick":88,"gavel":41,"recall_s":null,
        "lots":[{"lot":"job-000412/3","try":2,"standing":"running"},
                {"lot":"job-000398/0","try":1,"standing":"ended","cause":"done"},
                {"lot":"job-000398/1","try":1,"standing":"ended","cause":"a_new_reason"}]}"#,
    )
    .expect("a heartbeat");
    assert_eq!(heartbeat.tasks[1].exit_reason, Some(ExitReason::Done));
    assert_eq!(
        heartbeat.tasks[2].exit_reason,
        Some(ExitReason::Other),
        "an unknown exit reason must not make a heartbeat invalid"
    );
    let stop = Command::Stop {
        task: heartbeat.tasks[0].task,
        attempt: 1,
        grace_s: 10.0,
    };
    assert_eq!(
        serde_json::to_string(&stop).expect("json"),
        r#"{"order":"kill","lot":"job-000412/3","try":1,"leeway_s":10.0}"#
    );
}

#[test]
fn errors_about_values_out_of_range_name_the_field() {
    let valid = support::job(1, 4, 2.0);
    let mut invalid = valid.clone();
    invalid.tasks = MAX_TASKS_PER_JOB + 1;
    assert_eq!(invalid.check(), Err("lots"));
    let mut invalid = valid.clone();
    invalid.cpus = 0.0;
    assert_eq!(invalid.check(), Err("cpus"));
    let mut invalid = valid;
    invalid.estimate_s = -1.0;
    assert_eq!(invalid.check(), Err("expected_s"));
}

/// A part of the valid settings, its invalid replacement, and the field that the error has
/// to name.
const INVALID_SETTINGS: [(&str, &str, &str); 17] = [
    ("lease_s = 20.0", "lease_s = -1.0", "cluster.workers.lease_s"),
    ("lease_s = 20.0", "", "lease_s"),
    ("cancel_s = 40.0", "cancel_s = 10.0", "cluster.workers.cancel_s"),
    ("txn_ops = 12", "txn_ops = \"many\"", "cluster.state.txn_ops"),
    ("name = \"blue\"", "name = \"red\"", "cluster.teams[1].name"),
    ("share = 0.9", "share = 9.0", "cluster.objectives[0].share"),
    ("127.0.0.1:4", "localhost", "services.cloud"),
    ("\nrps = 200.0", "\nrps = 0.0", "cluster.state.rps"),
    ("write_rps = 100.0", "write_rps = 0.0", "cluster.state.write_rps"),
    (
        "list_lag_s = 4.0",
        "list_lag_s = 4.0\n[cluster.machine_limits]\nfd_limit = 0",
        "cluster.machine_limits.fd_limit",
    ),
    (
        "list_lag_s = 4.0",
        "list_lag_s = 4.0\n[cluster.machine_limits]\nmemory_mb = 0.0",
        "cluster.machine_limits.memory_mb",
    ),
    (
        "list_lag_s = 4.0",
        "list_lag_s = 4.0\n[cluster.machine_limits]\ncore_share = 0.0",
        "cluster.machine_limits.core_share",
    ),
    (
        "txn_ops = 12",
        "txn_ops = 12\nnext = { rps = 0.0 }",
        "cluster.state.next.rps",
    ),
    (
        "txn_ops = 12",
        "txn_ops = 12\nnext = { write_rps = -1.0 }",
        "cluster.state.next.write_rps",
    ),
    (
        "txn_ops = 12",
        "txn_ops = 12\nnext = { value_kb = 0.0 }",
        "cluster.state.next.value_kb",
    ),
    (
        "txn_ops = 12",
        "txn_ops = 12\nnext = { txn_ops = 1 }",
        "cluster.state.next.txn_ops",
    ),
    (
        "txn_ops = 12",
        "txn_ops = 12\nnext = { txn_ops = \"few\" }",
        "cluster.state.next.txn_ops",
    ),
];

#[test]
fn settings_ignore_unknown_fields_and_errors_name_the_invalid_field() {
    let settings = support::deployment_settings();
    assert_eq!(settings.cluster.workers.lease, std::time::Duration::from_secs(20));
    assert_eq!(
        settings.cluster.teams[1].cpu_limit, 0.0,
        "0 means that there is no limit"
    );
    for (from, to, field) in INVALID_SETTINGS {
        let text = support::SETTINGS.replace(from, to);
        let error = DeploymentSettings::parse(&text, "test")
            .expect_err(field)
            .to_string();
        assert!(error.contains(field), "the error must name {field}: {error}");
        assert_eq!(error.lines().count(), 1, "the error must be one line: {error}");
    }
    for written in ["3000", "3000.0"] {
        let text = format!(
            "{}\n[cluster.machine_limits]\nfd_limit = {written}\n",
            support::SETTINGS
        );
        let settings =
            DeploymentSettings::parse(&text, "test").expect("an integer and a float are both valid");
        assert_eq!(settings.cluster.process_limits.max_sockets, 3000);
    }
    // The smaller of the current and the announced limit applies.
    let text = support::SETTINGS.replace(
        "txn_ops = 12",
        "txn_ops = 12\nnext = { value_kb = 8.0, txn_ops = 5 }",
    );
    let limits = DeploymentSettings::parse(&text, "test")
        .expect("valid")
        .cluster
        .state;
    assert_eq!(
        (limits.max_value_bytes(), limits.max_transaction_changes()),
        (4096, 5)
    );
    // Optional tables may be missing.
    let text = support::SETTINGS.split("[cluster.state]").next().expect("text");
    assert!(DeploymentSettings::parse(text, "test").is_ok());
}

#[test]
fn operator_properties_are_parsed_and_errors_name_the_key() {
    for key in ["leader.lease_ms", "leader.hold_ms"] {
        let text = format!("# ours\n{key} = 2500\nfleet.warm: 0.5\n");
        let settings = OperatorSettings::parse(text.as_bytes(), "test").expect("valid properties");
        assert_eq!(
            (settings.leader_lease.as_millis(), settings.warm_share),
            (2500, 0.5),
            "{key}"
        );
    }
    for (text, key) in [
        ("leader.hold_ms=soon", "leader.hold_ms"),
        ("fleet.warm=-1", "fleet.warm"),
        ("fleet.wram=1", "fleet.wram"),
    ] {
        let error = OperatorSettings::parse(text.as_bytes(), "test")
            .expect_err(text)
            .to_string();
        assert!(error.contains(key), "{error}");
    }
}
