//! Over-quota work beside that of other teams, through the real endpoints: one array
//! of 100,000 tasks, many jobs of one task, and a cancelled job.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use site::{run_async_test, Site};

/// Largest value that the settings allow, in bytes.
const VALUE_BYTES: usize = 4096;
/// The settings' time for a cancellation.
const CANCEL_WITHIN: Duration = Duration::from_secs(40);
/// Jobs of one task each.
const SMALL_JOBS: u32 = 150;

/// A job whose tasks take next to nothing of a machine.
fn tiny_tasks(site: &Site, number: u32, tasks: u32) -> Value {
    let mut job = site.job(number, tasks);
    job["cpus"] = json!(0.25);
    job["memory_gb"] = json!(0.1);
    job
}

#[test]
fn an_array_of_100_000_tasks_keeps_neither_others_nor_small_jobs_waiting() {
    run_async_test(async {
        let site = Site::with_settings(Duration::from_millis(150), |text| {
            text.replace("name = \"blue\"", "name = \"blue\"\ncpus_max = 24.0")
        })
        .await;
        let mut array = tiny_tasks(&site, 0, 100_000);
        array["urgency"] = json!("best_effort");
        let (status, view) = site
            .request_with_retries("POST", 0, "/v2/runs", Some(array))
            .await;
        assert!([200, 201].contains(&status), "{view}");
        site.wait_for_state(1, "job-000000", "running").await;
        for n in 1..=SMALL_JOBS {
            let small = tiny_tasks(&site, n, 1);
            site.request_with_retries("POST", n as usize % 3, "/v2/runs", Some(small))
                .await;
        }
        // Within its team's quota, beside the over-quota array.
        let mut urgent = site.job(900, 4);
        urgent["desk"] = json!("red");
        urgent["urgency"] = json!("high");
        site.request_with_retries("POST", 2, "/v2/runs", Some(urgent))
            .await;
        site.wait_for_state(0, "job-000900", "done").await;
        for n in 1..=SMALL_JOBS {
            site.wait_for_state(n as usize % 3, &format!("job-{n:06}"), "done")
                .await;
        }
        let array_now = site.wait_for_state(1, "job-000000", "running").await;
        assert!(array_now["done"].as_u64() > Some(0), "{array_now}");
        // What is stored stays within the limits, however many tasks have ended.
        for key in site.state.revisions().into_keys() {
            let bytes = site.state.value(&key).map_or(0, |v| v.to_string().len());
            assert!(bytes <= VALUE_BYTES, "{key} has {bytes} bytes");
        }
        let segments = |site: &Site| {
            let keys = site.state.revisions().into_keys();
            keys.filter(|k| k.starts_with("wal/")).count()
        };
        assert!(segments(&site) <= 8, "{} segments of the log", segments(&site));
        // Once it is cancelled, no task of it runs after the time for a cancellation.
        let (status, view) = site
            .request_with_retries("POST", 2, "/v2/runs/job-000000/cancel", None)
            .await;
        assert_eq!((status, &view["standing"]), (200, &json!("cancelled")));
        let began = Instant::now();
        site.wait_for_running_tasks(|running| running == 0).await;
        assert!(began.elapsed() < CANCEL_WITHIN);
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}
