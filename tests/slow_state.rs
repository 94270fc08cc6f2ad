//! Requests of users while the state service is slow, and how many requests to it they cost. A
//! response may wait for a few of these, one after the other, before its user gives up.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::Duration;

use serde_json::{json, Value};
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

/// Kills all controllers and starts these again. They follow a leader that isn't there, so
/// that none of them is elected.
async fn restart_without_leader(site: &mut Site, controllers: &[usize]) {
    for controller in 0..3 {
        site.kill_controller(controller);
    }
    // The loops of a controller end up to 20 ms after it was killed.
    sleep(Duration::from_millis(200)).await;
    site.state.put("leader", json!({"host": "heron-9", "nonce": 1}));
    for controller in controllers {
        site.start_controller(*controller);
        site.poll(*controller, &job_id(1)).await;
    }
}

/// The number of requests to the state service that concern jobs.
fn job_requests(site: &Site) -> u64 {
    site.state.key_reads() + site.state.range_reads("jobs/")
}

/// Submits jobs that depend on no other, then one that depends on all of these, then a chain
/// of as many jobs after that. Returns the number of the last one.
async fn start_wide_and_long_pipeline(site: &Site, size: u32) -> u32 {
    let last = 2 * size + 1;
    for n in 1..=last {
        let dependencies: Vec<u32> = match n {
            n if n <= size => Vec::new(),
            n if n == size + 1 => (1..=size).collect(),
            n => vec![n - 1],
        };
        let (status, view) = site.submit(0, site.job_awaiting(n, 1, &dependencies)).await;
        assert!([200, 201].contains(&status), "{view}");
    }
    last
}

// Guards against followers that read the jobs before a job one after the other, so that their
// users give up: the longer a pipeline, the fewer of its jobs are answered for.
#[test]
fn without_a_leader_a_poll_costs_as_many_requests_for_a_pipeline_of_any_size() {
    run_async_test(async {
        for size in [3, 30] {
            let mut site = Site::start(Duration::from_secs(600)).await;
            let last = start_wide_and_long_pipeline(&site, size).await;
            restart_without_leader(&mut site, &[0, 1]).await;
            for controller in [0, 1] {
                // The first poll loads the index of unfinished jobs.
                let (_, view) = site.poll(controller, &job_id(last)).await;
                assert_eq!(view["standing"], "queued");
                let before = job_requests(&site);
                site.poll(controller, &job_id(last)).await;
                // The job, and the changes of unfinished jobs since the last poll.
                assert_eq!(job_requests(&site) - before, 2, "for a pipeline of size {size}");
            }
            // The final state of each job that has ended is read once.
            for n in 1..=size {
                let final_record = json!({"state": "done", "done": 1});
                site.state.put(&format!("final/{}", job_id(n)), final_record);
                site.state.delete(&format!("jobs/{}", job_id(n)));
            }
            let before = job_requests(&site);
            site.poll(0, &job_id(last)).await;
            assert_eq!(job_requests(&site) - before, 2 + u64::from(size));
            site.state.set_latency(SLOW);
            for controller in [0, 1] {
                let view = poll_until_answered(&site, controller, &job_id(last)).await;
                assert_eq!(view["standing"], "queued");
            }
            // A cancellation that only the record of the job itself shows cancels all after it.
            let key = format!("jobs/{}", job_id(size + 1));
            let mut record = site.state.value(&key).expect("an unfinished job");
            record["cancelled"] = json!(true);
            site.state.put(&key, record);
            for controller in [0, 1] {
                let view = poll_until_answered(&site, controller, &job_id(last)).await;
                assert_eq!(view["standing"], "cancelled");
            }
        }
    });
}

// Guards against submissions that read the jobs that they depend on one after the other: with
// many of these and a slow state service, no repeat of such a submission is accepted in time.
#[test]
fn a_submission_costs_as_many_requests_for_any_number_of_dependencies() {
    const JOBS: u32 = 20;
    run_async_test(async {
        let mut site = Site::start(Duration::from_secs(600)).await;
        start_pipeline(&site, JOBS).await;
        restart_without_leader(&mut site, &[0]).await;
        let all: Vec<u32> = (1..=JOBS).collect();
        site.submit(0, site.job_awaiting(JOBS + 1, 1, &all)).await;
        let before = job_requests(&site);
        let (status, view) = site.submit(0, site.job_awaiting(JOBS + 2, 1, &all)).await;
        assert_eq!(status, 201, "{view}");
        // The two keys of the job itself, and the changes of unfinished jobs.
        assert_eq!(job_requests(&site) - before, 3);
        // Without an index in memory, and with dependencies that have ended: the index is
        // listed, and the outcomes are read at the same time. `send_request` waits 5 s, as
        // users do.
        for n in 1..=JOBS / 2 {
            site.state.put(
                &format!("final/{}", job_id(n)),
                json!({"state": "done", "done": 1}),
            );
            site.state.delete(&format!("jobs/{}", job_id(n)));
        }
        restart_without_leader(&mut site, &[0]).await;
        site.state.set_latency(SLOW);
        let body = site.job_awaiting(JOBS + 3, 1, &all);
        let (status, view) = send_request("POST", site.api_addrs[0], "/v2/runs", Some(body)).await;
        assert_eq!(status, 201, "{view}");
    });
}

// Guards against a new leader that looks up the finished jobs before a job one after the other:
// the job neither starts nor is answered for from memory until all of them are known.
#[test]
fn a_new_leader_looks_up_many_finished_dependencies_while_the_state_service_is_slow() {
    const FINISHED: u32 = 120;
    run_async_test(async {
        let mut site = Site::without_controllers(Duration::from_secs(600), |settings| settings).await;
        for n in 1..=FINISHED {
            let final_record = json!({"state": "done", "done": 1});
            site.state.put(&format!("final/{}", job_id(n)), final_record);
        }
        let dependencies: Vec<u32> = (1..=FINISHED).collect();
        let body = site.job_awaiting(FINISHED + 1, 1, &dependencies);
        let spec: bitternfold::wire::JobSpec = serde_json::from_value(body).expect("a job");
        let key = format!("jobs/{}", job_id(FINISHED + 1));
        site.state.put(&key, json!({"spec": spec, "at": 0}));
        site.state.set_latency(SLOW);
        for controller in 0..3 {
            site.start_controller(controller);
        }
        site.wait_for_state(0, &job_id(FINISHED + 1), "running").await;
    });
}
