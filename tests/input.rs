//! What users may send: every field of a submission missing, null, of another
//! type, negative, not finite or too large, at every controller, whether it
//! leads, follows or finds no leader.

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

const TEXTS: [&str; 6] = ["name_id", "lot_class", "desk", "sort", "urgency", "kit"];
const FLAGS: [&str; 3] = ["one_zone", "spread", "loaners"];
const AMOUNTS: [&str; 6] = [
    "accelerators",
    "memory_gb",
    "size_gb",
    "expected_s",
    "tally_s",
    "stow_s",
];

fn valid() -> Map<String, Value> {
    let v = json!({"name_id": "job-000007", "lot_class": "plain", "desk": "blue", "sort": "batch",
        "urgency": "standard", "lots": 3, "cpus": 2.0, "accelerators": 0.0, "memory_gb": 4.0, "kit": "img",
        "size_gb": 1.0, "rigs": null, "yard": null, "one_zone": false, "spread": false, "loaners": true,
        "expected_s": 30.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": null});
    v.as_object().expect("an object").clone()
}

/// Every way in which a field is malformed: its name, and its value if it has one.
fn malformed() -> Vec<(&'static str, Option<Value>)> {
    let mut fields = Vec::new();
    let wrong = [json!(null), json!([]), json!({"a": 1})];
    let required = TEXTS
        .iter()
        .chain(&FLAGS)
        .chain(&AMOUNTS)
        .chain(&["cpus", "lots"]);
    for name in required {
        fields.push((*name, None));
        fields.extend(wrong.iter().map(|v| (*name, Some(v.clone()))));
    }
    for name in TEXTS {
        fields.extend([json!(7), json!(true), json!("")].map(|v| (name, Some(v))));
    }
    for name in FLAGS {
        fields.extend([json!("yes"), json!(1)].map(|v| (name, Some(v))));
    }
    for name in AMOUNTS.iter().chain(&["cpus"]) {
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

fn with(name: &str, value: Option<Value>) -> Value {
    let mut v = valid();
    match value {
        Some(value) => v.insert(name.to_owned(), value),
        None => v.remove(name),
    };
    Value::Object(v)
}

/// Submissions of jobs that can never run under all their restrictions together.
fn impossible() -> Vec<Value> {
    let set = |changes: Value| {
        let mut v = valid();
        v.extend(changes.as_object().expect("an object").clone());
        Value::Object(v)
    };
    vec![
        set(json!({"desk": "green"})),
        set(json!({"cpus": 33.0})),
        set(json!({"memory_gb": 65.0})),
        set(json!({"accelerators": 1.0})),
        // Each fits some type, but not the only allowed one.
        set(json!({"cpus": 9.0, "rigs": ["small"]})),
        set(json!({"memory_gb": 17.0, "rigs": ["small"]})),
        set(json!({"rigs": ["none-such"]})),
        set(json!({"yard": "west"})),
        // Red may use 40 CPUs: of a service all its replicas count.
        set(json!({"desk": "red", "sort": "daemon", "lots": 6, "cpus": 8.0})),
    ]
}

#[test]
fn what_is_malformed_is_named() {
    let controller = Controller::new(support::deployment_settings(), Default::default());
    let types = support::machine_types();
    assert!(controller
        .parse_submission(&serde_json::to_vec(&valid()).expect("json"), &types)
        .is_ok());
    for (name, value) in malformed() {
        let body = with(name, value.clone()).to_string();
        let response = ApiResponse::from(
            controller
                .parse_submission(body.as_bytes(), &types)
                .expect_err("refused"),
        );
        assert_eq!(response.status, 400, "{name} {value:?}");
        let error = String::from_utf8_lossy(&response.body).into_owned();
        assert!(error.contains(name), "{name} {value:?}: {error}");
    }
    // The values without their names, in the order of the fields.
    let order = "name_id lot_class desk sort urgency lots cpus accelerators memory_gb kit size_gb rigs yard \
                 one_zone spread loaners expected_s tally_s stow_s due_s";
    let list: Vec<Value> = order.split_whitespace().map(|k| valid()[k].clone()).collect();
    assert_eq!(list.len(), valid().len());
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
    for body in impossible() {
        let response = ApiResponse::from(
            controller
                .parse_submission(body.to_string().as_bytes(), &types)
                .expect_err("refused"),
        );
        assert_eq!(response.status, 422, "{body}");
        assert!(response.body.len() > 12, "with a reason");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is accepted can run, and has sane amounts.
    #[test]
    fn what_is_accepted_fits(
        cpus in prop_oneof![-10.0..50.0f64, any::<f64>()],
        memory in prop_oneof![-10.0..100.0f64, any::<f64>()],
        lots in prop_oneof![0..10u64, any::<u64>()],
        service in any::<bool>(),
        red in any::<bool>(),
        rig in prop_oneof![Just(json!(null)), Just(json!(["small"])), Just(json!(["small", "large"]))],
    ) {
        let mut v = valid();
        v.insert("cpus".into(), json!(cpus));
        v.insert("memory_gb".into(), json!(memory));
        v.insert("lots".into(), json!(lots));
        v.insert("sort".into(), json!(if service { "daemon" } else { "batch" }));
        v.insert("desk".into(), json!(if red { "red" } else { "blue" }));
        let only_small = rig == json!(["small"]);
        v.insert("rigs".into(), rig);
        let controller = Controller::new(support::deployment_settings(), Default::default());
        let parsed = controller.parse_submission(Value::Object(v).to_string().as_bytes(), &support::machine_types());
        let sane = cpus.is_finite() && cpus > 0.0 && memory.is_finite() && memory >= 0.0 && (1..=100_000).contains(&lots);
        let (max_cpus, max_memory) = if only_small { (8.0, 16.0) } else { (32.0, 64.0) };
        let all = if service { lots as f64 } else { 1.0 };
        let fits = cpus <= max_cpus && memory <= max_memory && (!red || cpus * all <= 40.0);
        match parsed.map_err(ApiResponse::from) {
            Ok(spec) => prop_assert!(sane && fits, "{spec:?}"),
            Err(r) if r.status == 400 => prop_assert!(!sane || cpus > 1e9 || memory > 1e9),
            Err(r) => prop_assert!(r.status == 422 && sane && !fits, "{}", r.status),
        }
    }
}

#[test]
fn every_controller_judges_alike_and_knows_a_repeat_whatever_its_body() {
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(300)).await;
        site.request_with_retries("POST", 0, "/v2/runs", Some(site.job(1, 2)))
            .await;
        site.wait_for_state(0, "job-000001", "done").await;
        let check = async |site: &Site, at: usize| {
            for (name, value) in malformed().into_iter().step_by(7) {
                let (status, _) = site
                    .request_with_retries("POST", at, "/v2/runs", Some(with(name, value)))
                    .await;
                assert_eq!(status, 400, "{name} at {at}");
            }
            for body in impossible().into_iter().step_by(3) {
                assert_eq!(
                    site.request_with_retries("POST", at, "/v2/runs", Some(body))
                        .await
                        .0,
                    422,
                    "at {at}"
                );
            }
            for body in [
                json!({"name_id": "job-000001"}),
                json!({"name_id": "job-000001", "cpus": "x"}),
            ] {
                let (status, v) = site
                    .request_with_retries("POST", at, "/v2/runs", Some(body))
                    .await;
                assert_eq!((status, &v["standing"]), (200, &json!("done")), "at {at}");
            }
            let path = "/v2/runs/job-000001/cancel";
            let (status, v) = site.request_with_retries("POST", at, path, None).await;
            assert_eq!((status, &v["standing"]), (200, &json!("done")), "at {at}");
            let path = "/v2/runs/job-999999/cancel";
            assert_eq!(
                site.request_with_retries("POST", at, path, None).await.0,
                404,
                "at {at}"
            );
            assert_eq!(
                site.request_with_retries("GET", at, "/v2/runs/job-000007", None)
                    .await
                    .0,
                404,
                "none was taken"
            );
        };
        for at in 0..3 {
            check(&site, at).await;
        }
        // Without a leader, the others decide by what is stored.
        let killed = site.leader().expect("a leader");
        site.kill_controller(killed);
        check(&site, (killed + 1) % 3).await;
        // Nothing can be known: 503 at once.
        site.state.set_outage(true);
        let (status, _) = send_request(
            "POST",
            site.api_addrs[(killed + 1) % 3],
            "/v2/runs",
            Some(Value::Object(valid())),
        )
        .await;
        assert_eq!(status, 503);
    });
}
