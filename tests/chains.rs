//! Tests of jobs that depend on others, through the real endpoints: which submissions each
//! controller accepts, with and without a leader, and which states it reports after
//! cancellations and changes of leader.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use bitternfold::controller::Controller;
use bitternfold::core::storage::record::FinalRecord;
use bitternfold::settings::{DeploymentSettings, OperatorSettings};
use bitternfold::wire::{JobId, JobState};
use serde_json::{json, Value};
use site::{job_id, run_async_test, Site, TEST_TIMEOUT};
use standins::send_request;
use tokio::time::sleep;

/// Submits a job at a controller, which has to accept it.
async fn check_accepted(site: &Site, controller: usize, body: Value) {
    let (status, v) = site.submit(controller, body).await;
    assert!(
        [200, 201].contains(&status),
        "at controller {controller}: {status} {v}"
    );
}

/// The submission of a job whose `awaits` has this value, well-formed or not.
fn job_with_awaits(site: &Site, n: u32, awaits: Value) -> Value {
    let mut body = site.job(n, 1);
    body["awaits"] = awaits;
    body
}

/// Submits a job and checks that it is refused with this status, and that the error
/// contains `reason`.
async fn check_refused(site: &Site, controller: usize, n: u32, awaits: Value, status: u16, reason: &str) {
    let body = job_with_awaits(site, n, awaits.clone());
    let (actual, v) = site.submit(controller, body).await;
    let error = v["error"].as_str().unwrap_or_default().to_owned();
    assert!(
        actual == status && error.contains(reason),
        "{awaits} at controller {controller}: {actual} {v}"
    );
}

/// Checks that submissions of the job numbered `first` are refused: malformed ones with
/// 400, and ones with impossible dependencies with 422.
async fn check_all_refused(site: &Site, controller: usize, first: u32) {
    let malformed = [
        json!(5),
        json!("job-000001"),
        json!([5]),
        json!([null]),
        json!(["job-"]),
        json!({"a": 1}),
    ];
    for awaits in malformed {
        check_refused(site, controller, first, awaits, 400, "awaits").await;
    }
    let impossible = [
        (json!([job_id(999_999)]), "never accepted"),
        (json!([job_id(1), job_id(999_999)]), "never accepted"),
        (json!([job_id(first)]), "itself"),
        (json!([job_id(3)]), "service"),
    ];
    for (awaits, reason) in impossible {
        check_refused(site, controller, first, awaits, 422, reason).await;
    }
    assert_eq!(
        site.poll(controller, &job_id(first)).await.0,
        404,
        "a refused job is stored"
    );
    assert!(!site.state.has_key(&format!("jobs/{}", job_id(first))));
}

/// Checks the response of one controller to every kind of submission with dependencies, of
/// jobs numbered from `first` on. Job 1 is done, 2 is cancelled, 3 is a service, and 4
/// depends on 5, which runs for hours.
async fn check_submissions(site: &Site, controller: usize, first: u32) {
    check_all_refused(site, controller, first).await;
    // Null and an empty list mean no dependencies, as a missing list does. A dependency that
    // is done delays nothing, and may be listed twice.
    for (n, awaits) in [
        (0, json!(null)),
        (1, json!([])),
        (2, json!([job_id(1), job_id(1)])),
    ] {
        check_accepted(site, controller, job_with_awaits(site, first + n, awaits)).await;
        site.wait_for_state(controller, &job_id(first + n), "done").await;
    }
    // Jobs with a cancelled dependency are cancelled, also with an indirect one that
    // another controller accepted.
    let other = (0..3)
        .find(|o| *o != controller && site.is_up(*o))
        .unwrap_or(controller);
    check_accepted(site, controller, site.job_awaiting(first + 3, 1, &[2])).await;
    check_accepted(site, other, site.job_awaiting(first + 4, 1, &[1, first + 3])).await;
    for n in [3, 4] {
        let v = site
            .wait_for_state(controller, &job_id(first + n), "cancelled")
            .await;
        assert_eq!(v["done"], 0);
    }
    // A job whose dependency is itself queued behind a running job stays queued.
    check_accepted(site, controller, site.job_awaiting(first + 5, 1, &[4, 5])).await;
    let (_, v) = site.poll(other, &job_id(first + 5)).await;
    assert_eq!(v["standing"], "queued");
    // A resubmission is recognized by its id before the rest of its body is checked.
    let mut resubmission = site.job_awaiting(first + 5, 1, &[999_999]);
    assert_eq!(site.submit(controller, resubmission.clone()).await.0, 200);
    resubmission["awaits"] = json!("x");
    assert_eq!(site.submit(controller, resubmission).await.0, 200);
}

#[test]
fn every_controller_treats_dependencies_alike_with_and_without_a_leader() {
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(200)).await;
        for n in [2, 5] {
            site.cloud.slow_down_job(&job_id(n));
        }
        check_accepted(&site, 0, site.job(1, 1)).await;
        site.wait_for_state(0, &job_id(1), "done").await;
        check_accepted(&site, 0, site.job(2, 1)).await;
        assert_eq!(site.cancel(0, &job_id(2)).await.1["standing"], "cancelled");
        let mut service = site.job(3, 1);
        service["sort"] = json!("daemon");
        check_accepted(&site, 0, service).await;
        check_accepted(&site, 0, site.job(5, 1)).await;
        check_accepted(&site, 0, site.job_awaiting(4, 1, &[5])).await;
        for controller in 0..3 {
            check_submissions(&site, controller, 100 * (controller as u32 + 1)).await;
        }
        // Without a leader, the other controllers decide from the stored records.
        let old_leader = site.leader().expect("a leader");
        site.kill_controller(old_leader);
        for controller in (0..3).filter(|controller| *controller != old_leader) {
            check_submissions(&site, controller, 1000 * (controller as u32 + 1)).await;
        }
        // Without the state service nothing is known, and the response is 503 at once.
        site.state.set_outage(true);
        let controller = (old_leader + 1) % 3;
        let began = Instant::now();
        let (status, _) = send_request(
            "POST",
            site.api_addrs[controller],
            "/v2/runs",
            Some(site.job_awaiting(9000, 1, &[1])),
        )
        .await;
        assert_eq!(status, 503);
        assert!(began.elapsed() < TEST_TIMEOUT / 10);
    });
}

/// Checks that every running controller reports these jobs as cancelled.
async fn check_all_cancelled(site: &Site, jobs: std::ops::Range<u32>) {
    for controller in (0..3).filter(|controller| site.is_up(*controller)) {
        for n in jobs.clone() {
            let (status, v) = site.poll(controller, &job_id(n)).await;
            assert_eq!(
                (status, &v["standing"]),
                (200, &json!("cancelled")),
                "{n} at controller {controller}"
            );
        }
    }
}

#[test]
fn a_cancellation_is_reported_for_all_dependent_jobs_at_every_controller() {
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(200)).await;
        site.cloud.slow_down_job(&job_id(1));
        check_accepted(&site, 0, site.job(1, 1)).await;
        for n in 2..6 {
            check_accepted(&site, n as usize % 3, site.job_awaiting(n, 1, &[n - 1])).await;
        }
        site.wait_for_state(0, &job_id(1), "running").await;
        for n in 2..6 {
            let (_, v) = site.poll(0, &job_id(n)).await;
            assert_eq!(v["standing"], "queued", "job {n} depends on a running job");
        }
        let follower = (site.leader().expect("a leader") + 1) % 3;
        let (_, v) = site.cancel(follower, &job_id(1)).await;
        assert_eq!(v["standing"], "cancelled");
        check_all_cancelled(&site, 1..6).await;
        // Records of a chain that no leader has read yet: only the first job is marked as
        // cancelled.
        for n in 51..55 {
            let body = if n == 51 {
                site.job(n, 1)
            } else {
                site.job_awaiting(n, 1, &[n - 1])
            };
            let spec: bitternfold::wire::JobSpec = serde_json::from_value(body).expect("a job");
            let record = json!({"spec": spec, "at": 0, "cancelled": n == 51});
            site.state.put_directly(&format!("jobs/{}", job_id(n)), record);
        }
        check_all_cancelled(&site, 52..55).await;
        // The next leader knows only the stored records.
        site.kill_controller(site.leader().expect("a leader"));
        site.state.end_leases();
        check_all_cancelled(&site, 1..6).await;
        check_all_cancelled(&site, 51..55).await;
        // A request to cancel the last job gets the same state, and all final states are
        // stored.
        let up = (0..3)
            .find(|controller| site.is_up(*controller))
            .expect("one is up");
        assert_eq!(site.cancel(up, &job_id(54)).await.1["standing"], "cancelled");
        let began = Instant::now();
        for n in (1..6).chain(51..55) {
            while !site.state.has_key(&format!("final/{}", job_id(n))) {
                assert!(
                    began.elapsed() < TEST_TIMEOUT,
                    "the final state of job {n} is never stored"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    });
}

#[test]
fn a_chain_of_jobs_runs_in_order_while_leaders_change() {
    const JOBS: u32 = 8;
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(400)).await;
        for n in 1..=JOBS {
            let dependencies: Vec<u32> = (n.saturating_sub(2).max(1)..n).collect();
            check_accepted(&site, n as usize % 3, site.job_awaiting(n, 1, &dependencies)).await;
        }
        let job_state = async |site: &Site, controller: usize, n: u32| -> String {
            let (_, v) = site.poll(controller, &job_id(n)).await;
            v["standing"].as_str().unwrap_or_default().to_owned()
        };
        let began = Instant::now();
        let mut leader_changes = 0;
        loop {
            let up = (0..3)
                .find(|controller| site.is_up(*controller))
                .expect("one is up");
            let mut done = 0;
            for n in 2..=JOBS {
                // The later job is polled first: if it has started, its dependency was done
                // before that.
                let later = job_state(&site, up, n).await;
                let earlier = job_state(&site, up, n - 1).await;
                if later != "queued" {
                    assert_eq!(earlier, "done", "job {n} is {later}");
                }
                done += u32::from(later == "done");
            }
            if done == JOBS - 1 {
                break;
            }
            if done > leader_changes && leader_changes < 3 {
                leader_changes += 1;
                if let Some(leader) = site.leader() {
                    site.kill_controller(leader);
                    site.state.end_leases();
                    sleep(Duration::from_millis(100)).await;
                    site.start_controller(leader);
                }
            }
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "only {done} jobs of the chain are done"
            );
            sleep(Duration::from_millis(50)).await;
        }
        assert!(leader_changes > 0, "the leader never changed");
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}

/// The submissions of a pipeline of stages of two jobs, numbered from `first` on, which each
/// depend on both jobs of the stage before, and of a last job, which alone has a due time.
/// Each path through the pipeline takes another time.
fn pipeline(site: &Site, first: u32, stages: u32) -> Vec<Value> {
    let mut jobs = Vec::new();
    let mut stage_before = Vec::new();
    for stage in 0..stages {
        let numbers = [first + 2 * stage, first + 2 * stage + 1];
        for (number, extra_s) in numbers.into_iter().zip([2f64.powi(stage as i32) * 1e-7, 0.0]) {
            let mut body = site.job_awaiting(number, 1, &stage_before);
            body["expected_s"] = json!(40.0 + extra_s);
            jobs.push(body);
        }
        stage_before = numbers.to_vec();
    }
    let mut last = site.job_awaiting(first + 2 * stages, 1, &stage_before);
    last["due_s"] = json!(3000.0);
    jobs.push(last);
    jobs
}

// Guards against controllers that answer nothing any more, as the leader passes a due time on
// once for each path through a pipeline.
#[test]
fn all_controllers_answer_while_a_pipeline_with_many_paths_waits_and_the_leader_changes() {
    const STAGES: u32 = 31;
    run_async_test(async {
        let mut site = Site::start(Duration::from_secs(600)).await;
        site.wait_for_leader().await;
        for body in pipeline(&site, 1, STAGES) {
            check_accepted(&site, 0, body).await;
        }
        let old_leader = site.leader().expect("a leader");
        for kill_leader in [false, true] {
            if kill_leader {
                site.kill_controller(old_leader);
                site.state.end_leases();
            }
            for controller in (0..3).filter(|controller| site.is_up(*controller)) {
                // Only a leader that has loaded all jobs knows that a task runs.
                site.wait_for_state(controller, &job_id(1), "running").await;
                let last = job_id(2 * STAGES + 1);
                site.wait_for_state(controller, &last, "queued").await;
            }
        }
    });
}

// Guards against a leader that counts the times of a job from its submission instead of the end
// of the last job before it, as it knows that end only from another controller's response.
#[test]
fn the_look_up_of_a_dependency_reads_when_it_ended_even_if_its_final_state_is_cached() {
    run_async_test(async {
        let site = Site::without_controllers(Duration::from_millis(200), |settings| settings).await;
        let id: JobId = job_id(1).parse().expect("an id");
        let stored = json!({"state": "done", "done": 1, "ended_at": 5000});
        site.state.put(&format!("final/{id}"), stored);
        let deployment = DeploymentSettings::parse(site.settings(0), "test").expect("settings");
        let controller = Controller::new(deployment, OperatorSettings::default());
        let learned_from_response = FinalRecord {
            state: JobState::Done,
            done: 1,
            ended_at: None,
        };
        controller.final_states().insert(id, learned_from_response);
        controller
            .look_up_likely_finished_job(id)
            .await
            .expect("the state service answers");
        let ended_at = controller
            .final_states()
            .final_record(id)
            .and_then(|r| r.ended_at);
        assert_eq!(ended_at, Some(5000));
    });
}

// Guards against a job that a leader never loads, as its process takes the job for finished after
// an answer that rests on the cancellation of a dependency.
#[test]
fn a_state_that_follows_from_a_dependency_is_not_cached_as_a_final_state() {
    run_async_test(async {
        let site = Site::without_controllers(Duration::from_millis(200), |settings| settings).await;
        for (n, dependencies, cancelled) in [(1, vec![], true), (2, vec![1], false)] {
            let spec: bitternfold::wire::JobSpec =
                serde_json::from_value(site.job_awaiting(n, 1, &dependencies)).expect("a job");
            let record = json!({"spec": spec, "at": 0, "cancelled": cancelled});
            site.state.put(&format!("jobs/{}", job_id(n)), record);
        }
        let deployment = DeploymentSettings::parse(site.settings(0), "test").expect("settings");
        let controller = Controller::new(deployment, OperatorSettings::default());
        let id: JobId = job_id(2).parse().expect("an id");
        let response = controller.poll_job(id).await;
        let view: Value = serde_json::from_slice(&response.body).expect("json");
        assert_eq!((response.status, &view["standing"]), (200, &json!("cancelled")));
        assert!(controller.final_states().status(id).is_none());
    });
}
