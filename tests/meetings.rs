//! Tests of two faults that overlap, through the real endpoints of controllers on stand-ins
//! for the state service and the cloud.

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
    // The stop commands are lost, the state service is out, the leader's authority ends,
    // and the workers send heartbeats again. The responses that renew the workers' leases
    // have to stop the cancelled tasks, which otherwise run on for the grace period and a
    // whole lease.
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.submit(0, site.job(1, 4)).await;
        site.submit(0, site.job(2, 3)).await;
        site.wait_for_running_tasks(|n| n >= 7).await;
        site.cloud.reject_commands.store(true, Ordering::Relaxed);
        site.cloud.suppress_heartbeats.store(true, Ordering::Relaxed);
        let (status, v) = site.cancel(0, "job-000001").await;
        assert_eq!((status, v["standing"].as_str()), (200, Some("cancelled")));
        site.state.set_outage(true);
        let began = Instant::now();
        while send_request("GET", site.api_addrs[0], "/v2/runs/job-000002", None)
            .await
            .0
            == 200
        {
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "the leader's authority doesn't end"
            );
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(
            site.cloud.running_tasks(),
            7,
            "a task has ended, though no worker can be reached"
        );
        site.cloud.suppress_heartbeats.store(false, Ordering::Relaxed);
        site.wait_for_running_tasks(|n| n <= 3).await;
        assert_eq!(site.cloud.running_tasks(), 3, "a task of the other job has ended");
    });
}

#[test]
fn late_transactions_change_nothing_that_was_confirmed() {
    // Every other transaction gets no response and is executed 2.5 s late, after its
    // retry and after newer transactions. This affects acceptances by the leader and by
    // followers, cancellations, the write-ahead log and final states.
    run_async_test(async {
        let site = Site::start(Duration::from_millis(400)).await;
        site.submit(0, site.job(1, 2)).await;
        site.wait_for_state(0, "job-000001", "done").await;
        site.state.set_late_writes(Some(LateWrites {
            every: 2,
            delay: Duration::from_millis(2500),
        }));
        for n in 2..8 {
            let (status, v) = site.submit(n as usize % 3, site.job(n, 3)).await;
            assert!([200, 201].contains(&status), "{v}");
            if n % 3 == 0 {
                let (status, v) = site.cancel(n as usize % 2, &format!("job-{n:06}")).await;
                assert_eq!(status, 200, "{v}");
            }
        }
        let mut confirmed_states = Vec::new();
        for n in 2..8u32 {
            let id = format!("job-{n:06}");
            let began = Instant::now();
            let v = loop {
                let (status, v) = site.poll(1, &id).await;
                assert_eq!(status, 200, "{id} must be known: {v}");
                if ["done", "cancelled"].contains(&v["standing"].as_str().unwrap_or_default()) {
                    break v;
                }
                assert!(began.elapsed() < TEST_TIMEOUT, "{id} is still {v}");
                sleep(Duration::from_millis(100)).await;
            };
            assert!(n % 3 == 0 || v["standing"] == "done", "{v}");
            confirmed_states.push((id, v));
        }
        site.state.set_late_writes(None);
        // Waits until all late transactions have been executed; then a new leader reads what
        // they left.
        sleep(Duration::from_millis(3000)).await;
        let late = site.state.late_outcomes();
        assert!(
            late.failed > 0,
            "{} late transactions failed by their conditions, {} were executed",
            late.failed,
            late.applied
        );
        site.state.end_leases();
        for controller in 0..3 {
            for (id, confirmed) in &confirmed_states {
                let (status, v) = site.poll(controller, id).await;
                assert_eq!(
                    (status, &v["standing"]),
                    (200, &confirmed["standing"]),
                    "{id} at controller {controller}"
                );
            }
        }
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
        site.wait_for_running_tasks(|n| n == 0).await;
    });
}

#[test]
fn a_leader_that_cannot_confirm_its_lease_gives_no_status_from_memory() {
    // The leader may have been paused together with its clocks: by its own clocks it still
    // leads, while another leader has confirmed to a user that the job is cancelled or done.
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.submit(0, site.job(1, 2)).await;
        site.wait_for_state(0, "job-000001", "running").await;
        let leader = site.leader().expect("a leader");
        for resubmits in [false, true] {
            let body = resubmits.then(|| site.job(1, 2));
            let method = if resubmits { "POST" } else { "GET" };
            let path = if resubmits {
                "/v2/runs"
            } else {
                "/v2/runs/job-000001"
            };
            assert_eq!(
                site.request_with_retries(method, leader, path, body.clone())
                    .await
                    .0,
                200
            );
            site.state.set_controller_refused(leader, true);
            let (status, v) = send_request(method, site.api_addrs[leader], path, body).await;
            site.state.set_controller_refused(leader, false);
            assert!(status == 503 || site.leader() != Some(leader), "{status} {v}");
        }
    });
}

#[test]
fn a_status_that_one_controller_gave_is_not_reverted_by_another_while_responses_are_lost() {
    // Transactions are executed but their responses are lost: a follower reads and reports
    // a cancellation of which the leader doesn't know that it is stored.
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.submit(0, site.job(1, 2)).await;
        site.wait_for_state(0, "job-000001", "running").await;
        let leader = site.leader().expect("a leader");
        site.state.set_late_writes(Some(LateWrites {
            every: 1,
            delay: Duration::ZERO,
        }));
        let (status, v) = site.cancel((leader + 1) % 3, "job-000001").await;
        assert_eq!((status, v["standing"].as_str()), (200, Some("cancelled")));
        for i in 0..30 {
            let (status, v) = send_request(
                "GET",
                site.api_addrs[(leader + i) % 3],
                "/v2/runs/job-000001",
                None,
            )
            .await;
            assert!(status != 200 || v["standing"] == "cancelled", "{v}");
            let body = Some(site.job(1, 2));
            let (status, v) = send_request("POST", site.api_addrs[(leader + i) % 3], "/v2/runs", body).await;
            assert!(status != 200 || v["standing"] == "cancelled", "{v}");
        }
        site.state.set_late_writes(None);
        site.wait_for_state(leader, "job-000001", "cancelled").await;
    });
}

#[test]
fn a_cancellation_whose_record_has_changed_meanwhile_is_still_stored() {
    // Another writer has changed the job's record, so that the transaction conflicts. The
    // user sends a single request and gives up. Within the term, the job must either run on
    // or be cancelled; here it is cancelled.
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.submit(0, site.job(1, 2)).await;
        site.wait_for_state(0, "job-000001", "running").await;
        let value = site.state.value("jobs/job-000001").expect("stored");
        site.state.put_directly("jobs/job-000001", value);
        send_request("POST", site.api_addrs[0], "/v2/runs/job-000001/cancel", None).await;
        site.wait_for_state(1, "job-000001", "cancelled").await;
        site.wait_for_running_tasks(|n| n == 0).await;
    });
}
