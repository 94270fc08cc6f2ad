//! Tests of the limits of the state service: announced limits are kept from the start, and
//! limits that fall without notice lose or repeat nothing.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use bitternfold::http::HttpClient;
use bitternfold::settings::DeploymentSettings;
use bitternfold::store::rate_limiter::RateLimiter;
use bitternfold::store::Store;
use bitternfold::wire::Transaction;
use serde_json::json;
use site::{run_async_test, Site};
use standins::state_service::LateWrites;
use tokio::time::sleep;

/// Settings that announce lower limits (`cluster.state.next`).
const ANNOUNCED_LIMITS: &str =
    "\n[cluster.state.next]\nwrite_rps = 60.0\nvalue_kb = 2.0\ntxn_ops = 4\n\n[cluster.cloud]";

/// Tasks of each array job: enough for the write-ahead log to fill segments up to the
/// limit.
const TASKS_PER_ARRAY: u32 = 300;

/// Submits `jobs` array jobs, each dependent on the previous one, at all controllers, and
/// waits until all are done. Calls `lower` before job `lower_at` is submitted, and ends all
/// leases, the leader's included, after half of the submissions.
async fn complete_arrays_across_changes(site: &mut Site, jobs: u32, lower_at: u32, lower: impl Fn(&Site)) {
    for n in 1..=jobs {
        if n == lower_at {
            lower(site);
        }
        let mut body = site.job(n, TASKS_PER_ARRAY);
        if n > 1 {
            body["awaits"] = json!([format!("job-{:06}", n - 1)]);
        }
        let (status, view) = site.submit(n as usize % 3, body).await;
        assert!([200, 201].contains(&status), "{view}");
        if n == jobs / 2 {
            site.state.end_leases();
        }
    }
    for n in 1..=jobs {
        let job = site
            .wait_for_state(n as usize % 3, &format!("job-{n:06}"), "done")
            .await;
        assert_eq!(job["done"], TASKS_PER_ARRAY);
    }
    assert!(site.cloud.tasks_run_twice.lock().is_empty());
}

/// Submits jobs of one task concurrently, and retries each until it is accepted.
async fn submit_concurrently(site: &Site, jobs: std::ops::RangeInclusive<u32>) {
    let mut submissions = tokio::task::JoinSet::new();
    for n in jobs {
        let (api, body) = (site.api_addrs[n as usize % 3], site.job(n, 1));
        submissions.spawn(async move {
            loop {
                let (status, _) = standins::send_request("POST", api, "/v2/runs", Some(body.clone())).await;
                if [200, 201].contains(&status) {
                    return;
                }
                assert!([0, 503].contains(&status), "{status}");
                sleep(Duration::from_millis(200)).await;
            }
        });
    }
    while let Some(accepted) = submissions.join_next().await {
        accepted.expect("accepted");
    }
}

#[test]
fn announced_limits_are_kept_from_the_start() {
    run_async_test(async {
        let settings = |text: String| text.replace("\n[cluster.cloud]", ANNOUNCED_LIMITS);
        let mut site = Site::with_settings(Duration::from_millis(100), settings).await;
        complete_arrays_across_changes(&mut site, 8, 3, |site| site.state.limit_sizes(2048, 4)).await;
        submit_concurrently(&site, 101..=160).await;
        site.wait_for_state(0, "job-000160", "done").await;
        assert_eq!(
            site.state.oversized_transactions(),
            0,
            "a transaction above the limits was sent"
        );
        let (bytes, changes) = site.state.largest_written();
        assert!(bytes <= 2048 && changes <= 4, "{bytes} bytes, {changes} changes");
        assert!(
            bytes > 1500 && changes > 2,
            "values and transactions stay far below the limits: {bytes} bytes, {changes} changes"
        );
    });
}

#[test]
fn limits_that_fall_without_notice_lose_or_repeat_no_acceptance() {
    // Only refusals show that the limits have fallen. The refused transactions are split
    // and sent again.
    run_async_test(async {
        let site = Site::start(Duration::from_millis(100)).await;
        site.wait_for_leader().await;
        site.state.limit_sizes(4096, 2);
        submit_concurrently(&site, 1..=40).await;
        // An array job whose placements fill several segments of the write-ahead log at once.
        let (status, view) = site.submit(0, site.job(41, 1500)).await;
        assert!([200, 201].contains(&status), "{view}");
        assert_eq!(site.wait_for_state(0, "job-000041", "done").await["done"], 1500);
        assert!(
            site.state.oversized_transactions() > 0,
            "no transaction was too large"
        );
        for n in 1..=40u32 {
            site.wait_for_state(0, &format!("job-{n:06}"), "done").await;
            let accepted = site.state.put_count(&format!("jobs/job-{n:06}"));
            assert_eq!(accepted, 1, "job {n} is not accepted exactly once");
        }
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}

#[test]
fn limits_that_fall_between_a_write_and_its_response_lose_or_repeat_no_acceptance() {
    // Some transactions get no response and are executed late; meanwhile their retry may
    // be refused for its size. Only the stored keys show which copy was executed.
    run_async_test(async {
        let site = Site::start(Duration::from_millis(100)).await;
        site.wait_for_leader().await;
        site.state.set_late_writes(Some(LateWrites {
            every: 4,
            delay: Duration::from_millis(700),
        }));
        let lower = async {
            sleep(Duration::from_millis(300)).await;
            site.state.limit_sizes(4096, 2);
        };
        tokio::join!(submit_concurrently(&site, 1..=30), lower);
        site.state.set_late_writes(None);
        let late = site.state.late_outcomes();
        assert!(late.failed + late.applied > 0, "no transaction was late");
        for n in 1..=30u32 {
            site.wait_for_state(n as usize % 3, &format!("job-{n:06}"), "done")
                .await;
            assert_eq!(site.state.put_count(&format!("jobs/job-{n:06}")), 1, "job {n}");
        }
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}

#[test]
fn a_job_whose_record_exceeds_a_lowered_limit_can_still_be_cancelled() {
    // The job was accepted while the limit on values was higher. Writing its record again
    // unchanged would be refused forever, and the cancellation never confirmed.
    run_async_test(async {
        let settings = |text: String| text.replace("\n[cluster.cloud]", ANNOUNCED_LIMITS);
        let site = Site::with_settings(Duration::from_millis(100), settings).await;
        let mut body = site.job(1, 1);
        body["rigs"] = json!(["large"]);
        body["cpus"] = json!(30.0);
        let mut spec: bitternfold::wire::JobSpec = serde_json::from_value(body).expect("a job");
        spec.machine_types = Some((0..200).map(|n| format!("machine-type-{n}")).collect());
        let record = json!({"spec": spec, "at": bitternfold::clock::unix_time_ms()});
        assert!(record.to_string().len() > 2048);
        site.state.put_directly("jobs/job-000001", record);
        site.state.limit_sizes(2048, 4);
        let (status, view) = site.cancel(0, "job-000001").await;
        assert_eq!((status, &view["standing"]), (200, &json!("cancelled")));
        assert_eq!(site.state.oversized_transactions(), 0);
        for controller in 0..3 {
            site.wait_for_state(controller, "job-000001", "cancelled").await;
        }
    });
}

#[test]
fn a_lowered_rate_also_bounds_the_burst_and_never_rises_again() {
    let now = Instant::now();
    let limiter = RateLimiter::new(40.0, 40.0);
    assert!(!limiter.lower_rate(40.0, now), "the rate was already as low");
    assert!(limiter.lower_rate(10.0, now));
    assert_eq!(limiter.rate(), 10.0);
    // The burst is limited to one second's worth of the new rate, too.
    assert_eq!(limiter.take(10.0, now), Duration::ZERO);
    assert_eq!(limiter.take(5.0, now), Duration::from_millis(500));
    assert!(!limiter.lower_rate(40.0, now), "the rate must not rise again");
}

#[test]
fn a_single_rate_limit_refusal_lowers_the_rate_to_the_announced_one() {
    run_async_test(async {
        let state = std::sync::Arc::new(standins::StateService::default());
        let address = state.start(0).await.to_string();
        let settings = support::SETTINGS.replace("\n[cluster.cloud]", ANNOUNCED_LIMITS);
        let limits = DeploymentSettings::parse(&settings, "test")
            .expect("settings")
            .cluster
            .state;
        let store = Store::new(HttpClient::default(), address, &limits);
        let second = Duration::from_secs(1);
        let before = store.max_changes_within(second);
        let nothing = Transaction {
            conditions: Vec::new(),
            changes: Vec::new(),
        };
        assert!(store.transact(&nothing, second * 10).await.is_ok());
        assert_eq!(
            store.max_changes_within(second),
            before,
            "the rate was lowered without a refusal"
        );
        state.rate_limit_next(1);
        assert!(store.transact(&nothing, second * 10).await.is_err());
        assert_eq!(store.max_changes_within(second), before * 60.0 / 100.0);
    });
}

#[test]
fn jobs_complete_after_rate_limit_refusals() {
    run_async_test(async {
        let settings = |text: String| text.replace("\n[cluster.cloud]", ANNOUNCED_LIMITS);
        let mut site = Site::with_settings(Duration::from_millis(100), settings).await;
        complete_arrays_across_changes(&mut site, 4, 2, |site| site.state.rate_limit_next(20)).await;
    });
}
