//! A job whose tasks failed on several machines pauses, and then runs few tasks at a time, both
//! for a bounded time.

use std::time::{Duration, Instant};

use bitternfold::core::state::probation::FailureHistory;
use bitternfold::core::ClusterModel;
use proptest::prelude::*;

use crate::fixtures::*;
use crate::support::*;

/// A model with a job whose tasks failed on three machines at `now`, each after it had run for
/// `run_time`, and with eight other, idle machines.
fn model_with_failed_job(tasks: u32, run_time: Duration, now: Instant) -> ClusterModel {
    let mut model = model(1);
    model.add_job(job_record(job(1, tasks, 4.0)), now);
    let job = model.set_up().jobs.values_mut().next().expect("the job");
    fail_on_three_machines(job, run_time, now);
    job.pause_until = Some(now + job.failures.pause());
    for i in 1..=8 {
        add_machine(&mut model, &format!("i-{i}"), "small", "north", false, now);
    }
    model
}

/// Once a second, applies a heartbeat of each machine, in which its tasks run (`tasks_run`) or
/// fetch their image, and runs a scheduling round. Returns the number of placed tasks after
/// each second.
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
        model.run_scheduling_round(at);
        placed.push(model.jobs().values().next().expect("the job").place_count);
    }
    placed
}

#[test]
fn a_job_on_probation_places_more_tasks_after_each_one_that_survives_its_trial() {
    // However late the tasks failed, a trial is no longer than its bound.
    for run_time in [secs(0), secs(1), secs(300)] {
        let now = start();
        let mut model = model_with_failed_job(16, run_time, now);
        let placed = placed_each_second(&mut model, now, 45, true);
        assert_eq!(placed[0], 0, "the job pauses");
        let single_task_s = placed.iter().filter(|p| **p == 1).count();
        assert!(
            (5..=12).contains(&single_task_s),
            "a single task is on trial for {single_task_s} s"
        );
        assert!(
            placed.contains(&4),
            "four tasks after the first trial: {placed:?}"
        );
        assert_eq!(placed[44], 16, "all tasks in the end: {placed:?}");
    }
}

#[test]
fn probation_ends_even_if_the_task_on_trial_never_runs() {
    // The task on trial fetches its image for ever. If probation didn't end, the other tasks
    // would wait as well despite free machines.
    let now = start();
    let mut model = model_with_failed_job(16, secs(300), now);
    let placed = placed_each_second(&mut model, now, 65, false);
    assert_eq!(placed[50], 1, "{placed:?}");
    assert_eq!(placed[64], 16, "{placed:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// However often and however late a job's tasks fail, its pauses and trials are no longer
    /// than their bounds.
    #[test]
    fn pauses_and_trials_are_bounded(run_times_s in proptest::collection::vec(0..100_000u64, 1..60)) {
        let now = start();
        let mut failures = FailureHistory::default();
        for (i, run_time_s) in run_times_s.iter().enumerate() {
            let machine = format!("i-{i}");
            failures.record_failure(&machine.as_str().into(), secs(*run_time_s), now);
            prop_assert!(failures.pause() <= secs(20));
            prop_assert!(failures.trial_run_time() <= secs(10));
            prop_assert!(failures.pause() >= secs(2), "a failure is followed by a pause");
        }
        prop_assert_eq!(failures.is_on_probation(now), run_times_s.len() >= 3);
        prop_assert!(!failures.is_on_probation(now + secs(60)), "probation lasts for 60 s at most");
    }
}
