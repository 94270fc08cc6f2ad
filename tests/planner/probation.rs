//! A job whose tasks failed on several machines is paused and then tried on few
//! machines at a time, both for a bounded time.

use std::time::{Duration, Instant};

use bitternfold::core::state::probation::FailureHistory;
use bitternfold::core::ClusterModel;
use proptest::prelude::*;

use crate::fixtures::*;
use crate::support::*;

/// A model with a job of so many tasks that failed on three machines at `now`, each time
/// after it had run for `run`, and eight more, idle machines.
fn failed_on_three_machines(tasks: u32, run: Duration, now: Instant) -> ClusterModel {
    let mut model = model(1);
    model.add_job(job_record(job(1, tasks, 4.0)), now);
    let only = model.set_up().jobs.values_mut().next().expect("the job");
    fail_on_three_machines(only, run, now);
    only.pause_until = Some(now + only.failures.pause());
    for i in 1..=8 {
        add_machine(&mut model, &format!("i-{i}"), "small", "north", false, now);
    }
    model
}

/// Sends a heartbeat for each machine and runs a scheduling round once a second;
/// returns the number of placed tasks after each second.
fn placed_each_second(model: &mut ClusterModel, now: Instant, seconds: u64, tasks_run: bool) -> Vec<u32> {
    let mut placed = Vec::new();
    for i in 1..=seconds {
        let at = now + secs(i);
        for n in 1..=8 {
            let id = format!("i-{n}");
            let mut message = heartbeat(&id, "small", "north", false, 1, 1 + i);
            let machine = id.as_str().into();
            message.tasks = if tasks_run {
                reported_running(model, &machine)
            } else {
                reported_fetching(model, &machine)
            };
            model.apply_heartbeat(&message, at);
        }
        model.plan(at);
        placed.push(model.jobs().values().next().expect("the job").place_count);
    }
    placed
}

#[test]
fn more_tasks_of_a_job_on_probation_are_tried_after_each_one_that_survives() {
    // However late its tasks failed: a trial is no longer than its bound.
    for run in [secs(0), secs(1), secs(300)] {
        let now = start();
        let mut model = failed_on_three_machines(16, run, now);
        let placed = placed_each_second(&mut model, now, 45, true);
        assert_eq!(placed[0], 0, "it pauses");
        let single = placed.iter().filter(|p| **p == 1).count();
        assert!((5..=12).contains(&single), "one task is tried for {single} s");
        assert!(placed.contains(&4), "then four: {placed:?}");
        assert_eq!(placed[44], 16, "then all: {placed:?}");
    }
}

#[test]
fn probation_ends_even_if_no_trial_ever_runs() {
    // The one task that is tried waits for its image for ever; the others would
    // wait with it despite free machines.
    let now = start();
    let mut model = failed_on_three_machines(16, secs(300), now);
    let placed = placed_each_second(&mut model, now, 65, false);
    assert_eq!(placed[50], 1, "{placed:?}");
    assert_eq!(placed[64], 16, "{placed:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// A job that goes on failing is paused no longer and its trials are no
    /// longer than their bounds, whatever came before.
    #[test]
    fn pauses_and_trials_are_bounded(runs in proptest::collection::vec(0..100_000u64, 1..60)) {
        let now = start();
        let mut failures = FailureHistory::default();
        for (i, run) in runs.iter().enumerate() {
            let machine = format!("i-{i}");
            failures.record(&machine.as_str().into(), secs(*run), now);
            prop_assert!(failures.pause() <= secs(20));
            prop_assert!(failures.trial_run_time() <= secs(10));
            prop_assert!(failures.pause() >= secs(2), "a failure is followed by a pause");
        }
        prop_assert_eq!(failures.on_probation(now), runs.len() >= 3);
        prop_assert!(!failures.on_probation(now + secs(60)), "no job is held back for longer");
    }
}
