//! The whole service on loopback: three controllers against stand-ins of the state service
//! and of the cloud with its workers.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use site::{run_async_test, Site, TEST_TIMEOUT};
use standins::send_request;
use tokio::time::sleep;

#[test]
fn every_controller_serves_users_and_a_final_state_stays() {
    run_async_test(async {
        let site = Site::start(Duration::from_millis(300)).await;
        let (status, view) = site.submit(0, site.job(1, 5)).await;
        assert!([200, 201].contains(&status), "{view}");
        for at in 0..3 {
            // A repeated submission of an accepted job gets 200, even if its body is invalid.
            let mut invalid = site.job(1, 5);
            invalid["cpus"] = json!("many");
            let (status, view) = site.submit(at, invalid).await;
            assert_eq!((status, &view["name_id"]), (200, &json!("job-000001")));
            let mut invalid = site.job(2, 5);
            invalid["cpus"] = json!(-2.0);
            assert_eq!(site.submit(at, invalid).await.0, 400);
            let mut invalid = site.job(2, 5);
            invalid["desk"] = json!("green");
            assert_eq!(site.submit(at, invalid).await.0, 422);
            assert_eq!(site.submit(at, json!([1])).await.0, 400);
            assert_eq!(site.poll(at, "job-777777").await.0, 404);
            assert_eq!(site.cancel(at, "job-777777").await.0, 404);
            assert_eq!(send_request("GET", site.api_addrs[at], "/up", None).await.0, 200);
        }
        let mut huge = site.job(3, 1);
        huge["kit"] = json!("x".repeat(70_000));
        assert_eq!(site.submit(1, huge).await.0, 413);
        let view = site.wait_for_state(2, "job-000001", "done").await;
        assert_eq!(view["done"], 5);
        // A cancellation doesn't change a final state.
        let (status, view) = site.cancel(1, "job-000001").await;
        assert_eq!((status, &view["standing"]), (200, &json!("done")));
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}

#[test]
fn a_cancelled_job_stays_cancelled_after_a_change_of_leader() {
    run_async_test(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.submit(0, site.job(1, 4)).await;
        site.wait_for_state(0, "job-000001", "running").await;
        let (status, view) = site.cancel(1, "job-000001").await;
        assert_eq!((status, &view["standing"]), (200, &json!("cancelled")));
        site.state.end_leases();
        for at in 0..3 {
            let (_, view) = site.poll(at, "job-000001").await;
            assert_eq!(view["standing"], "cancelled", "at controller {at}");
        }
    });
}

#[test]
fn jobs_finish_after_restarts_of_controllers_and_an_outage_of_the_state_service() {
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(700)).await;
        for n in 0..4 {
            site.submit(n as usize % 3, site.job(n, 6)).await;
        }
        site.wait_for_state(0, "job-000000", "running").await;
        site.kill_controller(0);
        site.kill_controller(1);
        sleep(Duration::from_millis(300)).await;
        site.start_controller(0);
        site.start_controller(1);
        site.state.end_leases();
        let (_, view) = site.submit(2, site.job(9, 3)).await;
        assert_eq!(view["name_id"], "job-000009");
        // During the outage no state can be read, so a submission gets 503 without delay.
        site.state.set_outage(true);
        sleep(Duration::from_millis(3500)).await;
        let began = Instant::now();
        let (status, _) = send_request("POST", site.api_addrs[0], "/v2/runs", Some(site.job(20, 1))).await;
        assert_eq!(status, 503);
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "the response must come within the client's timeout"
        );
        site.state.set_outage(false);
        for n in [0, 1, 2, 3, 9] {
            site.wait_for_state(2, &format!("job-{n:06}"), "done").await;
        }
        assert!(
            site.cloud.tasks_run_twice.lock().is_empty(),
            "{:?}",
            site.cloud.tasks_run_twice.lock()
        );
        assert!(*site.cloud.starts.lock() >= 27);
    });
}

#[test]
fn every_accepted_job_is_known_at_every_controller_and_finishes_despite_faults() {
    // Guards against losing accepted jobs when the state service refuses the leader, the
    // next leader is killed and restarted while its lease ends, and the inbox entry of a
    // job is missing.
    run_async_test(async {
        let mut site = Site::start(Duration::from_millis(500)).await;
        for n in 0..3 {
            site.submit(n as usize, site.job(n, 4)).await;
        }
        let leader = site.leader().expect("a leader");
        site.state.set_controller_refused(leader, true);
        let began = Instant::now();
        while site.leader().is_none_or(|other| other == leader) {
            assert!(began.elapsed() < TEST_TIMEOUT, "no other controller was elected");
            sleep(Duration::from_millis(50)).await;
        }
        // The refused controller can't read who leads, but learns it from the other
        // controllers and so serves its users.
        let (status, _) = site.submit(leader, site.job(3, 4)).await;
        assert!([200, 201].contains(&status));
        for n in 0..4 {
            let (status, view) = site.poll(leader, &format!("job-{n:06}")).await;
            assert_eq!(status, 200, "{view}");
        }
        // The next leader is killed and restarted within a fraction of a second, and its
        // lease ends meanwhile.
        let next = site.leader().expect("a leader");
        site.kill_controller(next);
        site.state.end_leases();
        sleep(Duration::from_millis(100)).await;
        site.start_controller(next);
        site.state.set_controller_refused(leader, false);
        // An accepted job whose inbox entry is missing.
        let spec: bitternfold::wire::JobSpec = serde_json::from_value(site.job(7, 2)).expect("a job");
        let record = json!({"spec": spec, "at": bitternfold::clock::unix_time_ms()});
        site.state.put_directly("jobs/job-000007", record);
        let began = Instant::now();
        // The leader has to find this job even though no request names it.
        while !site.state.has_key("final/job-000007") {
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "a job without an inbox entry was not found"
            );
            sleep(Duration::from_millis(100)).await;
        }
        for n in [0, 1, 2, 3, 7] {
            for at in 0..3 {
                let view = site.wait_for_state(at, &format!("job-{n:06}"), "done").await;
                assert_eq!(view["name_id"], format!("job-{n:06}"));
            }
        }
        for at in 0..3 {
            assert_eq!(site.poll(at, "job-777777").await.0, 404);
        }
        assert!(
            began.elapsed() < Duration::from_secs(60),
            "all jobs must be done well within 75 s"
        );
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}

#[test]
fn jobs_finish_after_their_records_were_unreadable_or_overwritten() {
    // A job whose record can't be parsed is not an unknown job: requests for it get 503,
    // and it runs once the record can be read. A record that was overwritten in the
    // meantime is read again, and the job's final state is stored nevertheless.
    run_async_test(async {
        let site = Site::start(Duration::from_millis(1500)).await;
        site.submit(0, site.job(1, 3)).await;
        site.wait_for_state(0, "job-000001", "running").await;
        let spec: bitternfold::wire::JobSpec = serde_json::from_value(site.job(1, 3)).expect("a job");
        let overwritten = json!({"spec": spec, "at": bitternfold::clock::unix_time_ms()});
        site.state.put_directly("jobs/job-000001", overwritten);
        site.state
            .put_directly("jobs/job-000008", json!({"spec": "torn"}));
        for at in 0..3 {
            let (status, _) = send_request("GET", site.api_addrs[at], "/v2/runs/job-000008", None).await;
            assert_eq!(status, 503, "the record exists but can't be read");
        }
        let spec: bitternfold::wire::JobSpec = serde_json::from_value(site.job(8, 2)).expect("a job");
        let readable = json!({"spec": spec, "at": bitternfold::clock::unix_time_ms()});
        site.state.put_directly("jobs/job-000008", readable);
        for job in ["job-000001", "job-000008"] {
            for at in 0..3 {
                site.wait_for_state(at, job, "done").await;
            }
        }
        assert!(site.cloud.tasks_run_twice.lock().is_empty());
    });
}
