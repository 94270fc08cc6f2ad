//! Polls while the state service is slow: it takes longer than the 500 ms that were once
//! enough for all that a response waits for, though less than users wait.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::Duration;

use serde_json::Value;
use site::{job_id, run_async_test, Site};
use standins::send_request;
use tokio::time::{sleep, timeout};

/// How long the state service takes for each request.
const SLOW: Duration = Duration::from_millis(550);
/// How long a user waits for the response to a poll.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// A user who gets no answer polls again, this often in all. Under load, a leader may miss
/// the renewals of its lease once.
const MAX_POLLS: u32 = 3;

/// Polls a job as a user does; returns the response's body if it is an answer and in time.
async fn poll_once(site: &Site, controller: usize, job: &str) -> Option<Value> {
    let path = format!("/v2/runs/{job}");
    let request = send_request("GET", site.api_addrs[controller], &path, None);
    let (status, view) = timeout(USER_TIMEOUT, request).await.ok()?;
    (status == 200).then_some(view)
}

/// Polls a job until there is an answer; fails if there is none to [`MAX_POLLS`] polls.
async fn poll_until_answered(site: &Site, controller: usize, job: &str) -> Value {
    for _ in 0..MAX_POLLS {
        if let Some(view) = poll_once(site, controller, job).await {
            return view;
        }
        sleep(Duration::from_secs(1)).await;
    }
    panic!("{MAX_POLLS} polls of {job} at controller {controller} got no answer");
}

/// Submits a pipeline of jobs that each depend on the one before; the first one runs.
async fn start_pipeline(site: &Site, jobs: u32) {
    for n in 1..=jobs {
        let dependencies: Vec<u32> = (n.saturating_sub(1).max(1)..n).collect();
        let (status, view) = site.submit(0, site.job_awaiting(n, 1, &dependencies)).await;
        assert!([200, 201].contains(&status), "{view}");
    }
    site.wait_for_state(0, &job_id(1), "running").await;
}

// Guards against a leader that gives up the confirmation of its leadership before a renewal of
// its lease can finish, and so answers no poll of an unfinished job.
#[test]
fn the_leader_answers_polls_while_the_state_service_is_slow() {
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        start_pipeline(&site, 2).await;
        let leader = site.leader().expect("a leader");
        site.state.set_latency(SLOW);
        assert_eq!(
            poll_until_answered(&site, leader, &job_id(1)).await["standing"],
            "running"
        );
        assert_eq!(
            poll_until_answered(&site, leader, &job_id(2)).await["standing"],
            "queued"
        );
    });
}

// Guards against followers that drop the response of a leader who waits for a slow state
// service, though they get no further by their own look-ups.
#[test]
fn followers_pass_on_the_response_of_a_leader_that_waits_for_the_state_service() {
    const JOBS: u32 = 8;
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        start_pipeline(&site, JOBS).await;
        let leader = site.leader().expect("a leader");
        site.state.set_latency(SLOW);
        for follower in (0..3).filter(|controller| *controller != leader) {
            let view = poll_until_answered(&site, follower, &job_id(JOBS)).await;
            assert_eq!(view["standing"], "queued");
        }
    });
}
