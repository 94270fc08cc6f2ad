//! Cancellations in the gap between two leaders. The state service refuses the leader,
//! another controller is elected and confirms cancellations, then the state service fails
//! for all, while workers keep sending heartbeats to the old leader. No task of a cancelled
//! job may run longer than the setting `cancel_s` after the cancellation was confirmed to
//! the user, whatever the settings, the drift of the clocks, the delays and the lost
//! messages.

#[path = "../support/mod.rs"]
mod support;
#[path = "../support/worker.rs"]
mod worker;
mod world;

use std::time::{Duration, SystemTime};

use bitternfold::core::evidence::authority::{Authority, AuthorityLimits, ClockReading, CANCELLATION_MARGIN};
use proptest::prelude::*;
use support::*;
use world::{any_scenario, Scenario, SimulatedSite};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000, max_shrink_iters: 60, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn cancelled_tasks_end_in_time_although_the_state_service_fails(scenario in any_scenario(), seed in any::<u64>()) {
        SimulatedSite::new(scenario, seed).run();
    }

    /// The same while the steady clock of a controller stops with its process, as when a
    /// virtual machine is paused. The time of day runs on.
    #[test]
    fn cancelled_tasks_end_in_time_although_a_steady_clock_is_paused(scenario in any_scenario(), seed in any::<u64>()) {
        let scenario = Scenario { pauses_steady_clock: true, ..scenario };
        SimulatedSite::new(scenario, seed).run();
    }
}

proptest! {
    /// Whatever the drift of the leader's clock and of the state service's, the leader's
    /// authority ends before its lease can expire. After that it may renew a worker's lease
    /// only if that expires before the deadline of a cancellation by the next leader.
    #[test]
    fn authority_ends_before_the_leaders_lease(
        leader_lease_duration in 0.5..60.0f64,
        worker_lease_duration in 1.0..120.0f64,
        slack_s in 0.0..120.0f64,
        drift in -0.0005..0.0005f64,
        state_service_drift in -0.0005..0.0005f64,
        elapsed_s in 0.0..300.0f64,
        paused_s in 0.0..300.0f64,
        clock_error_s in 0.0..1.5f64,
        error_share in -1.0..1.0f64,
    ) {
        let (leader_lease_duration, worker_lease_duration) = (Duration::from_secs_f64(leader_lease_duration), Duration::from_secs_f64(worker_lease_duration));
        let cancel_deadline = worker_lease_duration + CANCELLATION_MARGIN + Duration::from_secs_f64(slack_s);
        let sent = start();
        let clock_error = Duration::from_secs_f64(clock_error_s);
        let limits = AuthorityLimits { leader_lease: leader_lease_duration, worker_lease: worker_lease_duration, cancel_deadline, clock_error };
        let renewed_at = SystemTime::UNIX_EPOCH + secs(1000);
        let mut authority = Authority::new(&limits, ClockReading { steady: sent, time_of_day: renewed_at });
        let elapsed = Duration::from_secs_f64(elapsed_s);
        // The steady clock may have been paused for a part of that time. The time of day is
        // off by up to the clock error, both at the renewal and now.
        let pause = Duration::from_secs_f64(paused_s).min(elapsed);
        let clocks_after = |steady: Duration| ClockReading {
            steady: sent + steady.mul_f64(1.0 + drift),
            time_of_day: (renewed_at + elapsed).checked_add(clock_error.mul_f64(1.0 + error_share)).expect("a time")
                - clock_error.mul_f64(1.0 - error_share),
        };
        let (running, paused, state_service_clock) = (clocks_after(elapsed), clocks_after(elapsed - pause), sent + elapsed.mul_f64(1.0 + state_service_drift));
        prop_assert!(!authority.may_act(running) || state_service_clock < sent + leader_lease_duration);
        prop_assert!(!authority.may_act(paused) || elapsed < leader_lease_duration + clock_error * 4);
        // A worker's lease that was renewed at the last moment expires before the deadline
        // of a cancellation by a leader that was elected as early as possible.
        let lease_end = elapsed + worker_lease_duration.mul_f64(1.0006);
        let deadline = leader_lease_duration.mul_f64(0.9995) + cancel_deadline;
        for now in [running, paused] {
            prop_assert!(!authority.may_renew_leases(now) || lease_end <= deadline, "{lease_end:?} {deadline:?}");
        }
        // The authority doesn't end early: a steady clock that ran on is not mistaken for
        // one that was paused.
        let min_authority = leader_lease_duration.mul_f64(0.998).saturating_sub(Duration::from_millis(51));
        prop_assert!(authority.may_act(running) || elapsed >= min_authority);
        // After a pause the leader renews no worker's lease until a renewal of its own lease
        // has succeeded that was sent after it resumed.
        let shifted_by = |millis: i64| {
            let by = Duration::from_millis(millis.unsigned_abs());
            let steady = if millis < 0 { running.steady - by } else { running.steady + by };
            ClockReading { steady, ..running }
        };
        authority.resumed_after_pause(running.steady);
        prop_assert!(!authority.may_renew_leases(running));
        authority.renewed(shifted_by(-1));
        prop_assert!(!authority.may_renew_leases(running));
        authority.renewed(shifted_by(1));
        prop_assert!(authority.may_renew_leases(shifted_by(2)));
    }
}

#[test]
fn at_least_half_of_the_scenarios_confirm_a_cancellation_while_tasks_run() {
    // Without running tasks at the confirmation, the tests above would check nothing.
    use proptest::strategy::ValueTree;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let with_running_tasks = (0..60)
        .filter(|seed| {
            let scenario = any_scenario()
                .new_tree(&mut runner)
                .expect("a scenario")
                .current();
            SimulatedSite::new(scenario, *seed).run()
        })
        .count();
    assert!(
        with_running_tasks >= 30,
        "only {with_running_tasks} of 60 runs did so"
    );
}
