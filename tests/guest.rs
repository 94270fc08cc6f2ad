//! Over-quota jobs next to a job of another team, through the real endpoints: an array of
//! 100,000 tasks, which is cancelled in the end, and many jobs of one task.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use site::{run_async_test, Site};

/// Largest value that the settings allow, in bytes.
const MAX_VALUE_BYTES: usize = 4096;
/// The settings' `cancel_s`: the time within which all tasks of a cancelled job must have stopped.
const CANCEL_DEADLINE: Duration = Duration::from_secs(40);
/// Number of jobs of one task each.
const SMALL_JOB_COUNT: u32 = 150;

/// A job whose tasks need only a small part of a machine.
fn job_of_small_tasks(site: &Site, number: u32, tasks: u32) -> Value {
    let mut job = site.job(number, tasks);
    job["cpus"] = json!(0.25);
    job["memory_gb"] = json!(0.1);
    job
}

#[test]
fn an_array_of_100_000_tasks_delays_neither_another_team_nor_small_jobs() {
    run_async_test(async {
        let site = Site::with_settings(Duration::from_millis(150), |text| {
            text.replace("name = \"blue\"", "name = \"blue\"\ncpus_max = 24.0")
        })
        .await;
        let mut array = job_of_small_tasks(&site, 0, 100_000);
        array["urgency"] = json!("best_effort");
        let (status, body) = site.submit(0, array).await;
        assert!([200, 201].contains(&status), "{body}");
        site.wait_for_state(1, "job-000000", "running").await;
        for n in 1..=SMALL_JOB_COUNT {
            let small = job_of_small_tasks(&site, n, 1);
            site.submit(n as usize % 3, small).await;
        }
        // A job within its team's quota; the array and the small jobs are over quota.
        let mut urgent = site.job(900, 4);
        urgent["desk"] = json!("red");
        urgent["urgency"] = json!("high");
        site.submit(2, urgent).await;
        site.wait_for_state(0, "job-000900", "done").await;
        for n in 1..=SMALL_JOB_COUNT {
            site.wait_for_state(n as usize % 3, &format!("job-{n:06}"), "done")
                .await;
        }
        let array_now = site.wait_for_state(1, "job-000000", "running").await;
        assert!(array_now["done"].as_u64() > Some(0), "{array_now}");
        // Stored values stay within the limit, however many tasks have ended.
        for key in site.state.revisions().into_keys() {
            let bytes = site.state.value(&key).map_or(0, |v| v.to_string().len());
            assert!(bytes <= MAX_VALUE_BYTES, "the value of {key} has {bytes} bytes");
        }
        let count_segments = |site: &Site| {
            let keys = site.state.revisions().into_keys();
            keys.filter(|k| k.starts_with("wal/")).count()
        };
        assert!(
            count_segments(&site) <= 8,
            "the log has {} segments",
            count_segments(&site)
        );
        // Once the array is cancelled, its tasks stop before the deadline for cancellations.
        let (status, body) = site.cancel(2, "job-000000").await;
        assert_eq!((status, &body["standing"]), (200, &json!("cancelled")));
        let cancelled_at = Instant::now();
        site.wait_for_running_tasks(|running| running == 0).await;
        assert!(cancelled_at.elapsed() < CANCEL_DEADLINE);
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}
