//! Many polls of a job: how many reads of the state service they cost at followers and
//! without a leader, and that the leader's work goes on.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use site::{on_loopback, Site, LONG};
use standins::send_request;
use tokio::time::sleep;

/// Polls a job so many times, at these controllers in turn; returns the responses.
async fn poll_often(site: &Site, job: &str, at: &[usize], times: usize) -> Vec<(u16, serde_json::Value)> {
    let mut polls = tokio::task::JoinSet::new();
    for n in 0..times {
        let addr = site.api[at[n % at.len()]];
        let path = format!("/v2/runs/{job}");
        polls.spawn(async move { send_request("GET", addr, &path, None).await });
    }
    polls.join_all().await
}

#[test]
fn final_states_are_served_from_memory_whoever_leads_and_whatever_is_down() {
    // Users poll again and again jobs that have ended. A controller that has
    // returned a terminal state once needs neither the leader nor the state service.
    on_loopback(async {
        let mut site = Site::start(Duration::from_millis(200)).await;
        site.insist("POST", 0, "/v2/runs", Some(site.job(1, 2))).await;
        for at in 0..3 {
            site.until(at, "job-000001", "done").await;
        }
        let began = Instant::now();
        while !site.state.has("final/job-000001") {
            assert!(began.elapsed() < LONG, "the end is stored");
            sleep(Duration::from_millis(20)).await;
        }
        let leader = site.leader().expect("a leader");
        let followers: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        site.kill(leader);
        site.state.outage(true);
        let before = site.state.reads();
        let responses = poll_often(&site, "job-000001", &followers, 300).await;
        for (status, view) in responses {
            assert_eq!((status, view["standing"].as_str()), (200, Some("done")), "{view}");
        }
        assert_eq!(site.state.reads(), before, "no read for any of 300 polls");
    });
}

#[test]
fn questions_with_the_leader_away_take_no_more_than_their_share() {
    // Followers read the state service for each poll then. Beyond their share
    // of its requests they say 503 at once; the election, the new leader's work and
    // submissions keep theirs.
    on_loopback(async {
        let mut site = Site::with(Duration::from_millis(200), |text| {
            text.replace("rps = 200.0\nwrite_rps", "rps = 60.0\nwrite_rps")
        })
        .await;
        // Hardly done before the polls come.
        let mut long = site.job(1, 40);
        long["expected_s"] = serde_json::json!(30.0);
        site.insist("POST", 0, "/v2/runs", Some(long)).await;
        site.until(0, "job-000001", "running").await;
        let leader = site.leader().expect("a leader");
        let followers: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        site.kill(leader);
        let before = site.state.reads();
        let began = Instant::now();
        let responses = poll_often(&site, "job-000001", &followers, 400).await;
        let reads = site.state.reads() - before;
        // Two budgets of 0.6 of 60, a second's worth each at once, and the rest as time allows.
        let max_reads = 2.0 * 36.0 * (2.0 + began.elapsed().as_secs_f64());
        assert!((reads as f64) < max_reads, "{reads} reads of {max_reads}");
        assert!(
            responses.iter().all(|(status, _)| [200, 503].contains(status)),
            "200 or 503 only: {responses:?}"
        );
        let (status, view) = site
            .insist("POST", followers[0], "/v2/runs", Some(site.job(2, 2)))
            .await;
        assert!([200, 201].contains(&status), "{view}");
        site.until(followers[1], "job-000002", "done").await;
        site.until(followers[0], "job-000001", "done").await;
        assert!(site.cloud.doubles.lock().is_empty());
    });
}
