//! Two faults at a time, through the real endpoints on stand-ins.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use site::{run_async_test, Site, TEST_TIMEOUT};
use standins::send_request;
use standins::state_service::LateWrites;
use tokio::time::sleep;

#[test]
fn a_leader_past_its_authority_still_stops_cancelled_tasks() {
    // The stops are lost, the state service is out, the authority ends, and the
    // workers go on sending heartbeats: the responses that renew their leases have to
    // stop the cancelled tasks, or these live on for the grace period and the lease.
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.request_with_retries("POST", 0, "/v2/runs", Some(site.job(1, 4)))
            .await;
        site.request_with_retries("POST", 0, "/v2/runs", Some(site.job(2, 3)))
            .await;
        site.wait_for_running_tasks(|n| n >= 7).await;
        site.cloud.reject_commands.store(true, Ordering::Relaxed);
        site.cloud.suppress_heartbeats.store(true, Ordering::Relaxed);
        let (status, v) = site
            .request_with_retries("POST", 0, "/v2/runs/job-000001/cancel", None)
            .await;
        assert_eq!((status, v["standing"].as_str()), (200, Some("cancelled")));
        site.state.set_outage(true);
        let began = Instant::now();
        while send_request("GET", site.api_addrs[0], "/v2/runs/job-000002", None)
            .await
            .0
            == 200
        {
            assert!(began.elapsed() < TEST_TIMEOUT, "the authority doesn't end");
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(site.cloud.running_tasks(), 7, "nothing has reached them yet");
        site.cloud.suppress_heartbeats.store(false, Ordering::Relaxed);
        site.wait_for_running_tasks(|n| n <= 3).await;
        assert_eq!(site.cloud.running_tasks(), 3, "the other job runs on");
    });
}

#[test]
fn late_transactions_change_nothing_that_was_confirmed() {
    // Every other transaction gets no response and applies 2.5 s later, after its
    // repetition and after newer ones: acceptances by leader and followers,
    // cancellations, the log, final states.
    run_async_test(async {
        let site = Site::start(Duration::from_millis(400)).await;
        site.request_with_retries("POST", 0, "/v2/runs", Some(site.job(1, 2)))
            .await;
        site.wait_for_state(0, "job-000001", "done").await;
        site.state.set_late_writes(Some(LateWrites {
            every: 2,
            delay: Duration::from_millis(2500),
        }));
        for n in 2..8 {
            let (status, v) = site
                .request_with_retries("POST", n as usize % 3, "/v2/runs", Some(site.job(n, 3)))
                .await;
            assert!([200, 201].contains(&status), "{v}");
            if n % 3 == 0 {
                let path = format!("/v2/runs/job-{n:06}/cancel");
                let (status, v) = site
                    .request_with_retries("POST", n as usize % 2, &path, None)
                    .await;
                assert_eq!(status, 200, "{v}");
            }
        }
        let mut last = Vec::new();
        for n in 2..8u32 {
            let id = format!("job-{n:06}");
            let began = Instant::now();
            let v = loop {
                let (status, v) = site
                    .request_with_retries("GET", 1, &format!("/v2/runs/{id}"), None)
                    .await;
                assert_eq!(status, 200, "{id} is known: {v}");
                if ["done", "cancelled"].contains(&v["standing"].as_str().unwrap_or_default()) {
                    break v;
                }
                assert!(began.elapsed() < TEST_TIMEOUT, "{id} is still {v}");
                sleep(Duration::from_millis(100)).await;
            };
            assert!(n % 3 == 0 || v["standing"] == "done", "{v}");
            last.push((id, v));
        }
        site.state.set_late_writes(None);
        // All late transactions have arrived, and a new leader reads what they left.
        sleep(Duration::from_millis(3000)).await;
        let late = site.state.late_outcomes();
        assert!(
            late.failed > 0,
            "{} late ones failed by their conditions, {} applied",
            late.failed,
            late.applied
        );
        site.state.end_leases();
        for at in 0..3 {
            for (id, confirmed) in &last {
                let (status, v) = site
                    .request_with_retries("GET", at, &format!("/v2/runs/{id}"), None)
                    .await;
                assert_eq!(
                    (status, &v["standing"]),
                    (200, &confirmed["standing"]),
                    "{id} at {at}"
                );
            }
        }
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
        site.wait_for_running_tasks(|n| n == 0).await;
    });
}

#[test]
fn a_leader_that_cannot_confirm_its_lease_gives_no_status_from_memory() {
    // It may have been paused together with its clocks: by its own time it still
    // leads, while another has confirmed to a user that the job is cancelled or done.
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.request_with_retries("POST", 0, "/v2/runs", Some(site.job(1, 2)))
            .await;
        site.wait_for_state(0, "job-000001", "running").await;
        let at = site.leader().expect("a leader");
        for repeat in [false, true] {
            let again = repeat.then(|| site.job(1, 2));
            let method = if repeat { "POST" } else { "GET" };
            let path = if repeat { "/v2/runs" } else { "/v2/runs/job-000001" };
            assert_eq!(
                site.request_with_retries(method, at, path, again.clone()).await.0,
                200
            );
            site.state.set_controller_refused(at, true);
            let (status, v) = send_request(method, site.api_addrs[at], path, again).await;
            site.state.set_controller_refused(at, false);
            assert!(status == 503 || site.leader() != Some(at), "{status} {v}");
        }
    });
}

#[test]
fn a_status_that_one_controller_gave_is_not_reverted_by_another_while_responses_are_lost() {
    // Transactions are carried out, and their responses lost: a follower reads and
    // reports a cancellation that the leader doesn't know to be stored.
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.request_with_retries("POST", 0, "/v2/runs", Some(site.job(1, 2)))
            .await;
        site.wait_for_state(0, "job-000001", "running").await;
        let at = site.leader().expect("a leader");
        site.state.set_late_writes(Some(LateWrites {
            every: 1,
            delay: Duration::ZERO,
        }));
        let path = "/v2/runs/job-000001/cancel";
        let (status, v) = site.request_with_retries("POST", (at + 1) % 3, path, None).await;
        assert_eq!((status, v["standing"].as_str()), (200, Some("cancelled")));
        for i in 0..30 {
            let (status, v) =
                send_request("GET", site.api_addrs[(at + i) % 3], "/v2/runs/job-000001", None).await;
            assert!(status != 200 || v["standing"] == "cancelled", "{v}");
            let again = Some(site.job(1, 2));
            let (status, v) = send_request("POST", site.api_addrs[(at + i) % 3], "/v2/runs", again).await;
            assert!(status != 200 || v["standing"] == "cancelled", "{v}");
        }
        site.state.set_late_writes(None);
        site.wait_for_state(at, "job-000001", "cancelled").await;
    });
}

#[test]
fn a_cancellation_that_conflicts_with_a_changed_key_is_stored_all_the_same() {
    // Its user sends one request and gives up: the job must either run on or be
    // cancelled, within the term.
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.request_with_retries("POST", 0, "/v2/runs", Some(site.job(1, 2)))
            .await;
        site.wait_for_state(0, "job-000001", "running").await;
        let value = site.state.value("jobs/job-000001").expect("stored");
        site.state.put_directly("jobs/job-000001", value);
        send_request("POST", site.api_addrs[0], "/v2/runs/job-000001/cancel", None).await;
        site.wait_for_state(1, "job-000001", "cancelled").await;
        site.wait_for_running_tasks(|n| n == 0).await;
    });
}
