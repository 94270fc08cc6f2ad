//! The gap: one leader is refused by the state service, another confirms
//! cancellations, then the state service is out for everybody, while workers go
//! on sending heartbeats to the old leader. No task of a cancelled job may run
//! `cancel` after the cancellation was confirmed to the client, whatever the
//! settings, the drift of the clocks, the delays and the messages lost.

#[path = "../support/mod.rs"]
mod support;
#[path = "../support/worker.rs"]
mod worker;
mod world;

use std::time::{Duration, SystemTime};

use bitternfold::core::evidence::authority::{Authority, AuthorityLimits, ClockReading, CANCELLATION_MARGIN};
use proptest::prelude::*;
use support::*;
use world::{any_times, SimulatedSite, Times};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000, max_shrink_iters: 60, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn cancelled_tasks_end_in_time_through_the_gap(times in any_times(), seed in any::<u64>()) {
        SimulatedSite::new(times, seed).play();
    }

    /// The same while the monotonic clock of a controller is paused with its process, as
    /// when a virtual machine is paused. The time of day goes on.
    #[test]
    fn cancelled_tasks_end_in_time_though_a_steady_clock_was_paused(times in any_times(), seed in any::<u64>()) {
        let times = Times { stops_clock: true, ..times };
        SimulatedSite::new(times, seed).play();
    }
}

proptest! {
    /// By any two clocks an authority ends before the lease that it rests on
    /// can be, and what it may renew after that is bounded by the cancellation.
    #[test]
    fn an_authority_ends_before_its_lease(
        hold in 0.5..60.0f64,
        lease in 1.0..120.0f64,
        spare_s in 0.0..120.0f64,
        drift in -0.0005..0.0005f64,
        other_drift in -0.0005..0.0005f64,
        elapsed_s in 0.0..300.0f64,
        paused_s in 0.0..300.0f64,
        clock_error_s in 0.0..1.5f64,
        error_share in -1.0..1.0f64,
    ) {
        let (hold, lease) = (Duration::from_secs_f64(hold), Duration::from_secs_f64(lease));
        let cancel_deadline = lease + CANCELLATION_MARGIN + Duration::from_secs_f64(spare_s);
        let sent = start();
        let clock_error = Duration::from_secs_f64(clock_error_s);
        let limits = AuthorityLimits { leader_lease: hold, worker_lease: lease, cancel_deadline, clock_error };
        let day = SystemTime::UNIX_EPOCH + secs(1000);
        let mut authority = Authority::new(&limits, ClockReading { steady: sent, time_of_day: day });
        let elapsed = Duration::from_secs_f64(elapsed_s);
        // Its monotonic clock may have been paused for a part of that; its time of
        // day is off by the error, then and now.
        let pause = Duration::from_secs_f64(paused_s).min(elapsed);
        let read = |steady: Duration| ClockReading {
            steady: sent + steady.mul_f64(1.0 + drift),
            time_of_day: (day + elapsed).checked_add(clock_error.mul_f64(1.0 + error_share)).expect("a time")
                - clock_error.mul_f64(1.0 - error_share),
        };
        let (running, paused, by_other_clock) = (read(elapsed), read(elapsed - pause), sent + elapsed.mul_f64(1.0 + other_drift));
        prop_assert!(!authority.may_act(running) || by_other_clock < sent + hold);
        prop_assert!(!authority.may_act(paused) || elapsed < hold + clock_error * 4);
        // A worker whose lease was renewed at the last moment loses it in time
        // for whoever was elected as soon as that was possible.
        let lease_end = elapsed + lease.mul_f64(1.0006);
        let deadline = hold.mul_f64(0.9995) + cancel_deadline;
        for now in [running, paused] {
            prop_assert!(!authority.may_renew_leases(now) || lease_end <= deadline, "{lease_end:?} {deadline:?}");
        }
        // A clock that runs is never taken for one that was paused.
        let min_authority = hold.mul_f64(0.998).saturating_sub(Duration::from_millis(51));
        prop_assert!(authority.may_act(running) || elapsed >= min_authority);
        // After a pause it renews no lease before the state service has confirmed a renewal
        // that was sent after it resumed.
        let later = |millis: i64| {
            let by = Duration::from_millis(millis.unsigned_abs());
            let steady = if millis < 0 { running.steady - by } else { running.steady + by };
            ClockReading { steady, ..running }
        };
        authority.resumed_after_pause(running.steady);
        prop_assert!(!authority.may_renew_leases(running));
        authority.renewed(later(-1));
        prop_assert!(!authority.may_renew_leases(running));
        authority.renewed(later(1));
        prop_assert!(authority.may_renew_leases(later(2)));
    }
}

#[test]
fn the_generated_gaps_confirm_cancellations_under_running_tasks() {
    // Otherwise the tests above would show nothing.
    use proptest::strategy::ValueTree;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let counted = (0..60)
        .filter(|seed| {
            let times = any_times().new_tree(&mut runner).expect("times").current();
            SimulatedSite::new(times, *seed).play()
        })
        .count();
    assert!(counted >= 30, "only {counted} of 60");
}
