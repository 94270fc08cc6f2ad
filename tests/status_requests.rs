//! Many status requests for a job at followers, without a leader: how many reads of the
//! state service they cause, and that they don't hold up other work.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use site::{run_async_test, Site, TEST_TIMEOUT};
use standins::send_request;
use tokio::time::sleep;

/// Sends this many status requests for a job at once, to these controllers in turn; returns
/// the responses.
async fn poll_often(site: &Site, job: &str, at: &[usize], times: usize) -> Vec<(u16, serde_json::Value)> {
    let mut polls = tokio::task::JoinSet::new();
    for n in 0..times {
        let addr = site.api_addrs[at[n % at.len()]];
        let path = format!("/v2/runs/{job}");
        polls.spawn(async move { send_request("GET", addr, &path, None).await });
    }
    polls.join_all().await
}

#[test]
fn final_states_are_served_from_memory_without_leader_and_state_service() {
    // Users keep polling jobs that have ended. A controller that has returned a final state
    // once needs neither the leader nor the state service to return it again.
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(200)).await;
        site.submit(0, site.job(1, 2)).await;
        for at in 0..3 {
            site.wait_for_state(at, "job-000001", "done").await;
        }
        let began = Instant::now();
        while !site.state.has_key("final/job-000001") {
            assert!(began.elapsed() < TEST_TIMEOUT, "the final state was not stored");
            sleep(Duration::from_millis(20)).await;
        }
        let leader = site.leader().expect("a leader");
        let followers: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        site.kill_controller(leader);
        site.state.set_outage(true);
        let before = site.state.key_reads();
        let responses = poll_often(&site, "job-000001", &followers, 300).await;
        for (status, view) in responses {
            assert_eq!((status, view["standing"].as_str()), (200, Some("done")), "{view}");
        }
        assert_eq!(
            site.state.key_reads(),
            before,
            "300 polls must not cause any read"
        );
    });
}

#[test]
fn status_requests_without_a_leader_keep_to_their_share_of_state_service_requests() {
    // Without a leader, followers read the state service for each poll. All requests of a
    // controller to it share one budget. A poll whose read would wait for that longer than
    // 250 ms gets 503 at once, so that the election, the new leader's work and submissions
    // don't queue behind polls.
    run_async_test(async {
        let mut site = Site::with_settings(Duration::from_millis(200), |text| {
            text.replace("rps = 200.0\nwrite_rps", "rps = 60.0\nwrite_rps")
        })
        .await;
        // So large that it is unlikely to be done before the polls are sent.
        let mut long = site.job(1, 40);
        long["expected_s"] = serde_json::json!(30.0);
        site.submit(0, long).await;
        site.wait_for_state(0, "job-000001", "running").await;
        let leader = site.leader().expect("a leader");
        let followers: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        site.kill_controller(leader);
        let before = site.state.key_reads();
        let began = Instant::now();
        let responses = poll_often(&site, "job-000001", &followers, 400).await;
        let reads = site.state.key_reads() - before;
        // Each of the two followers has a budget of 0.6 of 60 requests per second, and every
        // read is taken from it: at most one second's worth at once, as the budget is full at
        // the beginning, and what is added over the elapsed time. The bound has another
        // second's worth. It leaves room for reads of the killed leader, which runs for up to
        // 20 ms more; beyond these it is a margin that nothing in the code calls for.
        let max_reads = 2.0 * 36.0 * (2.0 + began.elapsed().as_secs_f64());
        assert!((reads as f64) < max_reads, "{reads} reads of {max_reads}");
        assert!(
            responses.iter().all(|(status, _)| [200, 503].contains(status)),
            "200 or 503 only: {responses:?}"
        );
        let (status, view) = site.submit(followers[0], site.job(2, 2)).await;
        assert!([200, 201].contains(&status), "{view}");
        site.wait_for_state(followers[1], "job-000002", "done").await;
        site.wait_for_state(followers[0], "job-000001", "done").await;
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}
