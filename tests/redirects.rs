//! Redirects of workers: when they are allowed, and which controllers they avoid.

mod support;

use bitternfold::leader::redirects::RedirectHistory;
use bitternfold::wire::MachineId;
use proptest::prelude::*;
use support::{secs, start};

#[test]
fn a_worker_is_redirected_only_after_its_heartbeat_was_answered_where_it_is() {
    // A redirect renews no lease. A new leader knows of no failed redirects, and
    // sent all workers of a controller that they couldn't reach there once more:
    // hundreds of leases expired.
    let now = start();
    let mut history = RedirectHistory::default();
    let worker = MachineId::from("i-1");
    assert!(
        !history.record_heartbeat(&worker, "heron-1", now),
        "first contact"
    );
    assert!(history.record_heartbeat(&worker, "heron-1", now + secs(3)));
    history.record_redirect(&worker, "heron-0", now + secs(3));
    // It can't reach that one, and is back: answered first, and not sent there again.
    assert!(!history.record_heartbeat(&worker, "heron-1", now + secs(9)));
    assert!(!history.may_redirect_to(&worker, "heron-0", now + secs(9)));
    assert!(history.record_heartbeat(&worker, "heron-1", now + secs(12)));
    assert!(
        history.may_redirect_to(&worker, "heron-0", now + secs(60)),
        "tried again"
    );
}

#[test]
fn a_worker_that_left_a_controller_is_not_sent_back_at_once() {
    let now = start();
    let mut history = RedirectHistory::default();
    let worker = MachineId::from("i-1");
    history.record_heartbeat(&worker, "heron-0", now);
    assert!(!history.record_heartbeat(&worker, "heron-1", now + secs(8)));
    assert!(!history.may_redirect_to(&worker, "heron-0", now + secs(8)));
    assert!(history.may_redirect_to(&worker, "heron-2", now + secs(8)));
    // One that follows a redirect has not left on its own.
    history.record_heartbeat(&worker, "heron-1", now + secs(11));
    history.record_redirect(&worker, "heron-2", now + secs(11));
    assert!(!history.record_heartbeat(&worker, "heron-2", now + secs(12)));
    assert!(history.may_redirect_to(&worker, "heron-1", now + secs(12)));
    // Machines that no longer exist are forgotten, or the history would grow for ever.
    history.retain(|_| false);
    assert!(history.may_redirect_to(&worker, "heron-0", now + secs(12)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Between two redirects of a worker, one of its heartbeats was answered,
    /// whichever controllers it goes through and however often it is lost.
    #[test]
    fn no_worker_is_redirected_twice_in_a_row(path in proptest::collection::vec((0..3usize, 0..3usize, 0..20u64), 1..60)) {
        let hosts = ["heron-0", "heron-1", "heron-2"];
        let mut now = start();
        let mut history = RedirectHistory::default();
        let worker = MachineId::from("i-1");
        let mut answered = false;
        for (via, target, pause) in path {
            now += secs(pause);
            let may_redirect = history.record_heartbeat(&worker, hosts[via], now);
            if may_redirect && via != target && history.may_redirect_to(&worker, hosts[target], now) {
                prop_assert!(answered, "redirected though its last heartbeat was not answered");
                history.record_redirect(&worker, hosts[target], now);
                answered = false;
            } else {
                answered = true;
            }
        }
    }
}
