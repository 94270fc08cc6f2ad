//! Tests of the validation of submissions: every field missing, null, of another type,
//! negative, not finite or too large, at every controller, whether it leads, follows or
//! knows no leader.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::Duration;

use bitternfold::controller::Controller;
use bitternfold::response::ApiResponse;
use proptest::prelude::*;
use serde_json::{json, Map, Value};
use site::{run_async_test, Site};
use standins::send_request;

const TEXT_FIELDS: [&str; 6] = ["name_id", "lot_class", "desk", "sort", "urgency", "kit"];
const BOOLEAN_FIELDS: [&str; 3] = ["one_zone", "spread", "loaners"];
const AMOUNT_FIELDS: [&str; 6] = [
    "accelerators",
    "memory_gb",
    "size_gb",
    "expected_s",
    "tally_s",
    "stow_s",
];

fn valid_submission() -> Map<String, Value> {
    let v = json!({"name_id": "job-000007", "lot_class": "plain", "desk": "blue", "sort": "batch",
        "urgency": "standard", "lots": 3, "cpus": 2.0, "accelerators": 0.0, "memory_gb": 4.0, "kit": "img",
        "size_gb": 1.0, "rigs": null, "yard": null, "one_zone": false, "spread": false, "loaners": true,
        "expected_s": 30.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": null});
    v.as_object().expect("an object").clone()
}

/// All malformed fields to test: the name, and the value, or `None` for a missing field.
fn malformed_fields() -> Vec<(&'static str, Option<Value>)> {
    let mut fields = Vec::new();
    let wrong = [json!(null), json!([]), json!({"a": 1})];
    let required = TEXT_FIELDS
        .iter()
        .chain(&BOOLEAN_FIELDS)
        .chain(&AMOUNT_FIELDS)
        .chain(&["cpus", "lots"]);
    for name in required {
        fields.push((*name, None));
        fields.extend(wrong.iter().map(|v| (*name, Some(v.clone()))));
    }
    for name in TEXT_FIELDS {
        fields.extend([json!(7), json!(true), json!("")].map(|v| (name, Some(v))));
    }
    for name in BOOLEAN_FIELDS {
        fields.extend([json!("yes"), json!(1)].map(|v| (name, Some(v))));
    }
    for name in AMOUNT_FIELDS.iter().chain(&["cpus"]) {
        fields.extend([json!("4"), json!(true), json!(-0.5), json!(1e300)].map(|v| (*name, Some(v))));
    }
    for v in [json!(0), json!(-1), json!(1.5), json!(100_001), json!(1u64 << 40)] {
        fields.push(("lots", Some(v)));
    }
    fields.push(("cpus", Some(json!(0.0))));
    for v in [json!(-1.0), json!("soon"), json!(1e300)] {
        fields.push(("due_s", Some(v)));
    }
    for v in [json!(5), json!([]), json!([1]), json!([""])] {
        fields.push(("rigs", Some(v)));
    }
    for v in [json!(5), json!("")] {
        fields.push(("yard", Some(v)));
    }
    for id in ["job-", "job-12a", "other-1", "job--1"] {
        fields.push(("name_id", Some(json!(id))));
    }
    fields
}

/// A valid submission with this field replaced, or removed if there is no value.
fn submission_with(name: &str, value: Option<Value>) -> Value {
    let mut v = valid_submission();
    match value {
        Some(value) => v.insert(name.to_owned(), value),
        None => v.remove(name),
    };
    Value::Object(v)
}

/// Well-formed submissions of jobs that can never run under all their restrictions together.
fn impossible_submissions() -> Vec<Value> {
    let set = |changes: Value| {
        let mut v = valid_submission();
        v.extend(changes.as_object().expect("an object").clone());
        Value::Object(v)
    };
    vec![
        set(json!({"desk": "green"})),
        set(json!({"cpus": 33.0})),
        set(json!({"memory_gb": 65.0})),
        set(json!({"accelerators": 1.0})),
        // Each fits on some machine type, but not on the only one that the job allows.
        set(json!({"cpus": 9.0, "rigs": ["small"]})),
        set(json!({"memory_gb": 17.0, "rigs": ["small"]})),
        set(json!({"rigs": ["none-such"]})),
        set(json!({"yard": "west"})),
        // The quota of `red` is 40 CPUs, and all replicas of a service count towards it.
        set(json!({"desk": "red", "sort": "daemon", "lots": 6, "cpus": 8.0})),
    ]
}

#[test]
fn a_malformed_field_is_named_and_an_impossible_job_is_refused_with_a_reason() {
    let controller = Controller::new(support::deployment_settings(), Default::default());
    let types = support::machine_types();
    assert!(controller
        .parse_submission(&serde_json::to_vec(&valid_submission()).expect("json"), &types)
        .is_ok());
    for (name, value) in malformed_fields() {
        let body = submission_with(name, value.clone()).to_string();
        let response = ApiResponse::from(
            controller
                .parse_submission(body.as_bytes(), &types)
                .expect_err("refused"),
        );
        assert_eq!(response.status, 400, "{name} {value:?}");
        let error = String::from_utf8_lossy(&response.body).into_owned();
        assert!(error.contains(name), "{name} {value:?}: {error}");
    }
    // A JSON array of the values in the order of the fields must not be accepted.
    let order = "name_id lot_class desk sort urgency lots cpus accelerators memory_gb kit size_gb rigs yard \
                 one_zone spread loaners expected_s tally_s stow_s due_s";
    let list: Vec<Value> = order
        .split_whitespace()
        .map(|k| valid_submission()[k].clone())
        .collect();
    assert_eq!(list.len(), valid_submission().len());
    for body in [
        "",
        "7",
        "null",
        "{",
        "[1]",
        "{\"cpus\": NaN}",
        &Value::from(list).to_string(),
    ] {
        assert_eq!(
            ApiResponse::from(
                controller
                    .parse_submission(body.as_bytes(), &types)
                    .expect_err("refused")
            )
            .status,
            400,
            "{body}"
        );
        assert_eq!(
            ApiResponse::from(controller.submission_id(body.as_bytes()).expect_err("refused")).status,
            400,
            "{body}"
        );
    }
    for body in impossible_submissions() {
        let response = ApiResponse::from(
            controller
                .parse_submission(body.to_string().as_bytes(), &types)
                .expect_err("refused"),
        );
        assert_eq!(response.status, 422, "{body}");
        assert!(response.body.len() > 12, "the response has no reason");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// A submission is accepted only if its amounts are valid and the job can run.
    #[test]
    fn an_accepted_submission_has_valid_amounts_and_can_run(
        cpus in prop_oneof![-10.0..50.0f64, any::<f64>()],
        memory in prop_oneof![-10.0..100.0f64, any::<f64>()],
        tasks in prop_oneof![0..10u64, any::<u64>()],
        service in any::<bool>(),
        red in any::<bool>(),
        machine_types in prop_oneof![Just(json!(null)), Just(json!(["small"])), Just(json!(["small", "large"]))],
    ) {
        let mut v = valid_submission();
        v.insert("cpus".into(), json!(cpus));
        v.insert("memory_gb".into(), json!(memory));
        v.insert("lots".into(), json!(tasks));
        v.insert("sort".into(), json!(if service { "daemon" } else { "batch" }));
        v.insert("desk".into(), json!(if red { "red" } else { "blue" }));
        let only_small = machine_types == json!(["small"]);
        v.insert("rigs".into(), machine_types);
        let controller = Controller::new(support::deployment_settings(), Default::default());
        let parsed = controller.parse_submission(Value::Object(v).to_string().as_bytes(), &support::machine_types());
        let valid = cpus.is_finite() && cpus > 0.0 && memory.is_finite() && memory >= 0.0 && (1..=100_000).contains(&tasks);
        let (max_cpus, max_memory) = if only_small { (8.0, 16.0) } else { (32.0, 64.0) };
        let counted_tasks = if service { tasks as f64 } else { 1.0 };
        let fits = cpus <= max_cpus && memory <= max_memory && (!red || cpus * counted_tasks <= 40.0);
        match parsed.map_err(ApiResponse::from) {
            Ok(spec) => prop_assert!(valid && fits, "{spec:?}"),
            Err(r) if r.status == 400 => prop_assert!(!valid || cpus > 1e9 || memory > 1e9),
            Err(r) => prop_assert!(r.status == 422 && valid && !fits, "{}", r.status),
        }
    }
}

#[test]
fn every_controller_validates_alike_and_recognizes_a_resubmission_by_its_id() {
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(300)).await;
        site.submit(0, site.job(1, 2)).await;
        site.wait_for_state(0, "job-000001", "done").await;
        let check = async |site: &Site, controller: usize| {
            for (name, value) in malformed_fields().into_iter().step_by(7) {
                let (status, _) = site.submit(controller, submission_with(name, value)).await;
                assert_eq!(status, 400, "{name} at controller {controller}");
            }
            for body in impossible_submissions().into_iter().step_by(3) {
                assert_eq!(
                    site.submit(controller, body).await.0,
                    422,
                    "at controller {controller}"
                );
            }
            for body in [
                json!({"name_id": "job-000001"}),
                json!({"name_id": "job-000001", "cpus": "x"}),
            ] {
                let (status, v) = site.submit(controller, body).await;
                assert_eq!(
                    (status, &v["standing"]),
                    (200, &json!("done")),
                    "at controller {controller}"
                );
            }
            let path = "/v2/runs/job-000001/cancel";
            let (status, v) = site.request_with_retries("POST", controller, path, None).await;
            assert_eq!(
                (status, &v["standing"]),
                (200, &json!("done")),
                "at controller {controller}"
            );
            let path = "/v2/runs/job-999999/cancel";
            assert_eq!(
                site.request_with_retries("POST", controller, path, None).await.0,
                404,
                "at controller {controller}"
            );
            assert_eq!(
                site.poll(controller, "job-000007").await.0,
                404,
                "a refused job was stored"
            );
        };
        for controller in 0..3 {
            check(&site, controller).await;
        }
        // Without a leader, the other controllers decide from the stored records.
        let old_leader = site.leader().expect("a leader");
        site.kill_controller(old_leader);
        check(&site, (old_leader + 1) % 3).await;
        // Without the state service nothing is known, and the response is 503.
        site.state.set_outage(true);
        let (status, _) = send_request(
            "POST",
            site.api_addrs[(old_leader + 1) % 3],
            "/v2/runs",
            Some(Value::Object(valid_submission())),
        )
        .await;
        assert_eq!(status, 503);
    });
}
