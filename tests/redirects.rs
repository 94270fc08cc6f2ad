//! Redirects of workers to other controllers: when a worker may be redirected, and which
//! controllers it isn't redirected to.

mod support;

use bitternfold::leader::redirects::RedirectHistory;
use bitternfold::wire::MachineId;
use proptest::prelude::*;
use support::{secs, start};

#[test]
fn a_worker_is_redirected_only_after_a_heartbeat_was_answered_through_the_same_controller() {
    // A redirect doesn't renew a worker's lease. A new leader doesn't know which redirects
    // failed before, so it once redirected all workers again to a controller that they
    // couldn't reach, and hundreds of leases expired.
    let now = start();
    let mut history = RedirectHistory::default();
    let worker = MachineId::from("i-1");
    assert!(
        !history.record_heartbeat(&worker, "heron-1", now),
        "no earlier heartbeat was answered"
    );
    assert!(history.record_heartbeat(&worker, "heron-1", now + secs(3)));
    history.record_redirect(&worker, "heron-0", now + secs(3));
    // The worker can't reach the target and returns: its heartbeat has to be answered, and
    // it must not be redirected to that target again soon.
    assert!(!history.record_heartbeat(&worker, "heron-1", now + secs(9)));
    assert!(!history.may_redirect_to(&worker, "heron-0", now + secs(9)));
    assert!(history.record_heartbeat(&worker, "heron-1", now + secs(12)));
    assert!(
        history.may_redirect_to(&worker, "heron-0", now + secs(60)),
        "a redirect to the target is allowed again"
    );
}

#[test]
fn a_worker_that_left_a_controller_is_not_redirected_back_soon() {
    let now = start();
    let mut history = RedirectHistory::default();
    let worker = MachineId::from("i-1");
    history.record_heartbeat(&worker, "heron-0", now);
    assert!(!history.record_heartbeat(&worker, "heron-1", now + secs(8)));
    assert!(!history.may_redirect_to(&worker, "heron-0", now + secs(8)));
    assert!(history.may_redirect_to(&worker, "heron-2", now + secs(8)));
    // A worker that followed a redirect has not left the controller on its own.
    history.record_heartbeat(&worker, "heron-1", now + secs(11));
    history.record_redirect(&worker, "heron-2", now + secs(11));
    assert!(!history.record_heartbeat(&worker, "heron-2", now + secs(12)));
    assert!(history.may_redirect_to(&worker, "heron-1", now + secs(12)));
    // Machines that no longer exist are removed; otherwise the history would grow without
    // bound.
    history.retain(|_| false);
    assert!(history.may_redirect_to(&worker, "heron-0", now + secs(12)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Between two redirects of a worker, one of its heartbeats was answered, whichever
    /// controllers its heartbeats come through and however many of them are lost.
    #[test]
    fn between_two_redirects_of_a_worker_a_heartbeat_is_answered(path in proptest::collection::vec((0..3usize, 0..3usize, 0..20u64), 1..60)) {
        let hosts = ["heron-0", "heron-1", "heron-2"];
        let mut now = start();
        let mut history = RedirectHistory::default();
        let worker = MachineId::from("i-1");
        let mut answered = false;
        for (via, target, pause) in path {
            now += secs(pause);
            let may_redirect = history.record_heartbeat(&worker, hosts[via], now);
            if may_redirect && via != target && history.may_redirect_to(&worker, hosts[target], now) {
                prop_assert!(answered, "the worker is redirected though its last heartbeat was not answered");
                history.record_redirect(&worker, hosts[target], now);
                answered = false;
            } else {
                answered = true;
            }
        }
    }
}
