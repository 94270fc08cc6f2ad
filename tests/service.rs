//! The whole service against stand-ins on loopback: three controllers, a state
//! service, a cloud and its workers.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use site::{on_loopback, Site, LONG};
use standins::send_request;
use tokio::time::sleep;

#[test]
fn users_are_served_by_every_controller() {
    on_loopback(async {
        let site = Site::start(Duration::from_millis(300)).await;
        let (status, v) = site.insist("POST", 0, "/v2/runs", Some(site.job(1, 5))).await;
        assert!([200, 201].contains(&status), "{v}");
        for at in 0..3 {
            // A repeat is 200 whatever is wrong with it by now.
            let mut bad = site.job(1, 5);
            bad["cpus"] = json!("many");
            let (status, v) = site.insist("POST", at, "/v2/runs", Some(bad)).await;
            assert_eq!((status, &v["name_id"]), (200, &json!("job-000001")));
            let mut bad = site.job(2, 5);
            bad["cpus"] = json!(-2.0);
            assert_eq!(site.insist("POST", at, "/v2/runs", Some(bad)).await.0, 400);
            let mut bad = site.job(2, 5);
            bad["desk"] = json!("green");
            assert_eq!(site.insist("POST", at, "/v2/runs", Some(bad)).await.0, 422);
            assert_eq!(site.insist("POST", at, "/v2/runs", Some(json!([1]))).await.0, 400);
            assert_eq!(site.insist("GET", at, "/v2/runs/job-777777", None).await.0, 404);
            assert_eq!(
                site.insist("POST", at, "/v2/runs/job-777777/cancel", None)
                    .await
                    .0,
                404
            );
            assert_eq!(send_request("GET", site.api[at], "/up", None).await.0, 200);
        }
        let mut huge = site.job(3, 1);
        huge["kit"] = json!("x".repeat(70_000));
        assert_eq!(site.insist("POST", 1, "/v2/runs", Some(huge)).await.0, 413);
        let v = site.until(2, "job-000001", "done").await;
        assert_eq!(v["done"], 5);
        // A final state stays, also under a cancellation.
        let (status, v) = site.insist("POST", 1, "/v2/runs/job-000001/cancel", None).await;
        assert_eq!((status, &v["standing"]), (200, &json!("done")));
        assert!(site.cloud.doubles.lock().is_empty());
    });
}

#[test]
fn a_cancelled_job_stays_cancelled() {
    on_loopback(async {
        let site = Site::start(Duration::from_secs(600)).await;
        site.insist("POST", 0, "/v2/runs", Some(site.job(1, 4))).await;
        site.until(0, "job-000001", "running").await;
        let (status, v) = site.insist("POST", 1, "/v2/runs/job-000001/cancel", None).await;
        assert_eq!((status, &v["standing"]), (200, &json!("cancelled")));
        site.state.end_leases();
        for at in 0..3 {
            let (_, v) = site.insist("GET", at, "/v2/runs/job-000001", None).await;
            assert_eq!(v["standing"], "cancelled", "whoever leads");
        }
    });
}

#[test]
fn work_goes_on_through_the_loss_of_leaders_and_of_the_state_service() {
    on_loopback(async {
        let mut site = Site::start(Duration::from_millis(700)).await;
        for n in 0..4 {
            site.insist("POST", n as usize % 3, "/v2/runs", Some(site.job(n, 6)))
                .await;
        }
        site.until(0, "job-000000", "running").await;
        site.kill(0);
        site.kill(1);
        sleep(Duration::from_millis(300)).await;
        site.boot(0);
        site.boot(1);
        site.state.end_leases();
        let (_, v) = site.insist("POST", 2, "/v2/runs", Some(site.job(9, 3))).await;
        assert_eq!(v["name_id"], "job-000009");
        // In an outage no state can be read: 503 without delay.
        site.state.outage(true);
        sleep(Duration::from_millis(3500)).await;
        let began = Instant::now();
        let (status, _) = send_request("POST", site.api[0], "/v2/runs", Some(site.job(20, 1))).await;
        assert_eq!(status, 503);
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "a response within the client's timeout"
        );
        site.state.outage(false);
        for n in [0, 1, 2, 3, 9] {
            site.until(2, &format!("job-{n:06}"), "done").await;
        }
        assert!(
            site.cloud.doubles.lock().is_empty(),
            "{:?}",
            site.cloud.doubles.lock()
        );
        assert!(*site.cloud.starts.lock() >= 27);
    });
}

#[test]
fn every_accepted_job_stays_known_at_every_controller() {
    // The state service refuses one controller, the leader is killed and restarted in
    // the middle of an election, a job's inbox entry is lost: after all of it every
    // controller knows every accepted job, and it is done.
    on_loopback(async {
        let mut site = Site::start(Duration::from_millis(500)).await;
        for n in 0..3 {
            site.insist("POST", n as usize, "/v2/runs", Some(site.job(n, 4)))
                .await;
        }
        let leader = site.leader().expect("a leader");
        site.state.refuse(leader, true);
        let began = Instant::now();
        while site.leader().is_none_or(|h| h == leader) {
            assert!(began.elapsed() < LONG, "nobody else is elected");
            sleep(Duration::from_millis(50)).await;
        }
        // It can't read who leads, yet it serves its users: others say who does.
        let (status, _) = site
            .insist("POST", leader, "/v2/runs", Some(site.job(3, 4)))
            .await;
        assert!([200, 201].contains(&status));
        for n in 0..4 {
            let (status, v) = site
                .insist("GET", leader, &format!("/v2/runs/job-{n:06}"), None)
                .await;
            assert_eq!(status, 200, "{v}");
        }
        // The next leader is killed and restarted within a fraction of a second, and
        // its lease expires meanwhile.
        let next = site.leader().expect("a leader");
        site.kill(next);
        site.state.end_leases();
        sleep(Duration::from_millis(100)).await;
        site.boot(next);
        site.state.refuse(leader, false);
        // A job that was accepted, though its inbox entry is lost.
        let spec: bitternfold::wire::JobSpec = serde_json::from_value(site.job(7, 2)).expect("a job");
        let lost = json!({"spec": spec, "at": bitternfold::clock::unix_time_ms()});
        site.state.plant("jobs/job-000007", lost);
        let began = Instant::now();
        // No request names it: it is found nevertheless.
        while !site.state.has("final/job-000007") {
            assert!(began.elapsed() < LONG, "a job without an inbox entry is lost");
            sleep(Duration::from_millis(100)).await;
        }
        for n in [0, 1, 2, 3, 7] {
            for at in 0..3 {
                let v = site.until(at, &format!("job-{n:06}"), "done").await;
                assert_eq!(v["name_id"], format!("job-{n:06}"));
            }
        }
        for at in 0..3 {
            assert_eq!(site.insist("GET", at, "/v2/runs/job-777777", None).await.0, 404);
        }
        assert!(began.elapsed() < Duration::from_secs(60), "well within 75 s");
        assert!(site.cloud.doubles.lock().is_empty());
    });
}

#[test]
fn jobs_with_unreadable_or_changed_records_go_on_once_these_can_be_read() {
    // A record that can't be read is no unknown job: 503, and its job goes on once
    // it can. A record that another has written meanwhile is read again, and the
    // job's final state is stored all the same.
    on_loopback(async {
        let site = Site::start(Duration::from_millis(1500)).await;
        site.insist("POST", 0, "/v2/runs", Some(site.job(1, 3))).await;
        site.until(0, "job-000001", "running").await;
        let spec: bitternfold::wire::JobSpec = serde_json::from_value(site.job(1, 3)).expect("a job");
        let same = json!({"spec": spec, "at": bitternfold::clock::unix_time_ms()});
        site.state.plant("jobs/job-000001", same);
        site.state.plant("jobs/job-000008", json!({"spec": "torn"}));
        for at in 0..3 {
            let (status, _) = send_request("GET", site.api[at], "/v2/runs/job-000008", None).await;
            assert_eq!(status, 503, "neither known nor unknown");
        }
        let spec: bitternfold::wire::JobSpec = serde_json::from_value(site.job(8, 2)).expect("a job");
        let good = json!({"spec": spec, "at": bitternfold::clock::unix_time_ms()});
        site.state.plant("jobs/job-000008", good);
        for job in ["job-000001", "job-000008"] {
            for at in 0..3 {
                site.until(at, job, "done").await;
            }
        }
        assert!(site.cloud.doubles.lock().is_empty());
    });
}
