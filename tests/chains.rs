//! Jobs that depend on others, through the real endpoints: what each controller accepts,
//! with and without a leader, and which states it reports after cancellations and
//! changes of leaders.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use site::{job_id, run_async_test, Site, TEST_TIMEOUT};
use standins::send_request;
use tokio::time::sleep;

async fn accept(site: &Site, at: usize, body: Value) {
    let (status, v) = site
        .request_with_retries("POST", at, "/v2/runs", Some(body))
        .await;
    assert!([200, 201].contains(&status), "at {at}: {status} {v}");
}

/// A submission of a job with this value of `awaits`, well-formed or not.
fn submission(site: &Site, n: u32, awaits: Value) -> Value {
    let mut body = site.job(n, 1);
    body["awaits"] = awaits;
    body
}

/// Submits a job and checks the status, and that the reason contains a text.
async fn check_refusal(site: &Site, at: usize, n: u32, awaits: Value, status: u16, reason: &str) {
    let body = submission(site, n, awaits.clone());
    let (actual, v) = site
        .request_with_retries("POST", at, "/v2/runs", Some(body))
        .await;
    let error = v["error"].as_str().unwrap_or_default().to_owned();
    assert!(
        actual == status && error.contains(reason),
        "{awaits} at {at}: {actual} {v}"
    );
}

/// Submissions of job `first` that are refused: malformed (400) and impossible (422).
async fn check_refusals(site: &Site, at: usize, first: u32) {
    let malformed = [
        json!(5),
        json!("job-000001"),
        json!([5]),
        json!([null]),
        json!(["job-"]),
        json!({"a": 1}),
    ];
    for awaits in malformed {
        check_refusal(site, at, first, awaits, 400, "awaits").await;
    }
    let impossible = [
        (json!([job_id(999_999)]), "never accepted"),
        (json!([job_id(1), job_id(999_999)]), "never accepted"),
        (json!([job_id(first)]), "itself"),
        (json!([job_id(3)]), "service"),
    ];
    for (awaits, reason) in impossible {
        check_refusal(site, at, first, awaits, 422, reason).await;
    }
    let path = format!("/v2/runs/{}", job_id(first));
    assert_eq!(
        site.request_with_retries("GET", at, &path, None).await.0,
        404,
        "nothing was stored"
    );
    assert!(!site.state.has_key(&format!("jobs/{}", job_id(first))));
}

/// Checks every response to a submission that names others, at one controller, for jobs
/// numbered from `first` on. Job 1 is done, 2 cancelled, 3 a service, and 4 waits
/// for 5, which runs for hours.
async fn check_acceptance(site: &Site, at: usize, first: u32) {
    check_refusals(site, at, first).await;
    // Absent, null and empty are the same; a dependency that is done delays nothing.
    for (n, awaits) in [
        (0, json!(null)),
        (1, json!([])),
        (2, json!([job_id(1), job_id(1)])),
    ] {
        accept(site, at, submission(site, first + n, awaits)).await;
        site.wait_for_state(at, &job_id(first + n), "done").await;
    }
    // Cancelled dependencies, also indirect ones accepted at another controller.
    let other = (0..3).find(|o| *o != at && site.is_up(*o)).unwrap_or(at);
    accept(site, at, site.job_awaiting(first + 3, 1, &[2])).await;
    accept(site, other, site.job_awaiting(first + 4, 1, &[1, first + 3])).await;
    for n in [3, 4] {
        let v = site.wait_for_state(at, &job_id(first + n), "cancelled").await;
        assert_eq!(v["done"], 0);
    }
    // A dependency that waits for a running job.
    accept(site, at, site.job_awaiting(first + 5, 1, &[4, 5])).await;
    let path = format!("/v2/runs/{}", job_id(first + 5));
    let (_, v) = site.request_with_retries("GET", other, &path, None).await;
    assert_eq!(v["standing"], "queued");
    // A known id is looked up first, whatever stands in the body.
    let mut again = site.job_awaiting(first + 5, 1, &[999_999]);
    assert_eq!(
        site.request_with_retries("POST", at, "/v2/runs", Some(again.clone()))
            .await
            .0,
        200
    );
    again["awaits"] = json!("x");
    assert_eq!(
        site.request_with_retries("POST", at, "/v2/runs", Some(again))
            .await
            .0,
        200
    );
}

#[test]
fn every_controller_takes_jobs_that_wait_for_others_alike() {
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(200)).await;
        for n in [2, 5] {
            site.cloud.slow_down_job(&job_id(n));
        }
        accept(&site, 0, site.job(1, 1)).await;
        site.wait_for_state(0, &job_id(1), "done").await;
        accept(&site, 0, site.job(2, 1)).await;
        let path = format!("/v2/runs/{}/cancel", job_id(2));
        assert_eq!(
            site.request_with_retries("POST", 0, &path, None).await.1["standing"],
            "cancelled"
        );
        let mut service = site.job(3, 1);
        service["sort"] = json!("daemon");
        accept(&site, 0, service).await;
        accept(&site, 0, site.job(5, 1)).await;
        accept(&site, 0, site.job_awaiting(4, 1, &[5])).await;
        for at in 0..3 {
            check_acceptance(&site, at, 100 * (at as u32 + 1)).await;
        }
        // Without a leader, the others decide by what is stored.
        let killed = site.leader().expect("a leader");
        site.kill_controller(killed);
        for at in (0..3).filter(|at| *at != killed) {
            check_acceptance(&site, at, 1000 * (at as u32 + 1)).await;
        }
        // Nothing can be known: 503 at once.
        site.state.set_outage(true);
        let at = (killed + 1) % 3;
        let began = Instant::now();
        let (status, _) = send_request(
            "POST",
            site.api_addrs[at],
            "/v2/runs",
            Some(site.job_awaiting(9000, 1, &[1])),
        )
        .await;
        assert_eq!(status, 503);
        assert!(began.elapsed() < TEST_TIMEOUT / 10);
    });
}

/// Checks that all controllers that run report these jobs cancelled.
async fn check_all_cancelled(site: &Site, jobs: std::ops::Range<u32>) {
    for at in (0..3).filter(|at| site.is_up(*at)) {
        for n in jobs.clone() {
            let path = format!("/v2/runs/{}", job_id(n));
            let (status, v) = site.request_with_retries("GET", at, &path, None).await;
            assert_eq!(
                (status, &v["standing"]),
                (200, &json!("cancelled")),
                "{n} at {at}"
            );
        }
    }
}

#[test]
fn a_cancellation_is_reported_for_all_dependent_jobs_at_every_controller() {
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(200)).await;
        site.cloud.slow_down_job(&job_id(1));
        accept(&site, 0, site.job(1, 1)).await;
        for n in 2..6 {
            accept(&site, n as usize % 3, site.job_awaiting(n, 1, &[n - 1])).await;
        }
        site.wait_for_state(0, &job_id(1), "running").await;
        for n in 2..6 {
            let (_, v) = site
                .request_with_retries("GET", 0, &format!("/v2/runs/{}", job_id(n)), None)
                .await;
            assert_eq!(v["standing"], "queued", "job {n} waits");
        }
        let follower = (site.leader().expect("a leader") + 1) % 3;
        let path = format!("/v2/runs/{}/cancel", job_id(1));
        let (_, v) = site.request_with_retries("POST", follower, &path, None).await;
        assert_eq!(v["standing"], "cancelled");
        check_all_cancelled(&site, 1..6).await;
        // Records that no leader has touched since: the first is cancelled, those
        // after it are not yet.
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
        // The next leader knows only what is stored.
        site.kill_controller(site.leader().expect("a leader"));
        site.state.end_leases();
        check_all_cancelled(&site, 1..6).await;
        check_all_cancelled(&site, 51..55).await;
        // A cancellation of one of them says the same, and all final states are stored.
        let up = (0..3).find(|at| site.is_up(*at)).expect("one is up");
        let path = format!("/v2/runs/{}/cancel", job_id(54));
        assert_eq!(
            site.request_with_retries("POST", up, &path, None).await.1["standing"],
            "cancelled"
        );
        let began = Instant::now();
        for n in (1..6).chain(51..55) {
            while !site.state.has_key(&format!("final/{}", job_id(n))) {
                assert!(
                    began.elapsed() < TEST_TIMEOUT,
                    "the end of job {n} is never stored"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    });
}

#[test]
fn a_chain_runs_in_order_while_leaders_change() {
    const JOBS: u32 = 8;
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(400)).await;
        for n in 1..=JOBS {
            let before: Vec<u32> = (n.saturating_sub(2).max(1)..n).collect();
            accept(&site, n as usize % 3, site.job_awaiting(n, 1, &before)).await;
        }
        let state_of = async |site: &Site, at: usize, n: u32| -> String {
            let (_, v) = site
                .request_with_retries("GET", at, &format!("/v2/runs/{}", job_id(n)), None)
                .await;
            v["standing"].as_str().unwrap_or_default().to_owned()
        };
        let began = Instant::now();
        let mut changes = 0;
        loop {
            let up = (0..3).find(|at| site.is_up(*at)).expect("one is up");
            let mut done = 0;
            for n in 2..=JOBS {
                // The later one is read first: what it depends on is done before.
                let later = state_of(&site, up, n).await;
                let earlier = state_of(&site, up, n - 1).await;
                if later != "queued" {
                    assert_eq!(earlier, "done", "job {n} is {later}");
                }
                done += u32::from(later == "done");
            }
            if done == JOBS - 1 {
                break;
            }
            if done > changes && changes < 3 {
                changes += 1;
                if let Some(leader) = site.leader() {
                    site.kill_controller(leader);
                    site.state.end_leases();
                    sleep(Duration::from_millis(100)).await;
                    site.start_controller(leader);
                }
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "{done} of the chain are done");
            sleep(Duration::from_millis(50)).await;
        }
        assert!(changes > 0, "no leader changed");
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}
