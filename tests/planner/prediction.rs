//! The Last Model: run times predicted from the run-to-estimate ratio of the team's last
//! finished job.

use std::collections::BTreeMap;

use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn the_last_model_multiplies_the_estimate_and_is_capped_by_it() {
    let mut model = model(1);
    let spec = job(1, 1, 1.0);
    assert_eq!(model.predict(&spec), secs(60), "no finished job of the team yet");
    model.load_run_time_ratios(BTreeMap::from([("blue".into(), 0.5)]));
    assert_eq!(model.predict(&spec), secs(30));
    model.load_run_time_ratios(BTreeMap::from([("blue".into(), 3.0)]));
    assert_eq!(model.predict(&spec), secs(60));
}

#[test]
fn the_last_model_learns_only_from_tasks_that_are_done() {
    // A job that fails at once must not shorten the predictions for its team's long jobs.
    let now = start();
    let mut model = model(1);
    add_machine(&mut model, "i-1", "small", "north", false, now);
    model.add_job(job_record(job(1, 1, 1.0)), now);
    model.run_scheduling_round(now);
    let id = MachineId::from("i-1");
    let mut sequence = 2;
    mark_all_running(&mut model, now);
    for (reason, run_s, expected_ratio) in [
        (ExitReason::Failed, 0, None),
        // The task runs for 3 s before it is first reported, and for 30 s after that.
        (ExitReason::Done, 30, Some(33.0 / 60.0)),
    ] {
        let (task, attempt_number) = model.machines()[&id]
            .slots
            .iter()
            .next()
            .map(|(t, s)| (*t, s.attempt))
            .expect("placed");
        let mut message = heartbeat("i-1", "small", "north", false, 1, sequence);
        let reported_at = now + secs(sequence);
        message.tasks = vec![ReportedTask {
            task,
            attempt: attempt_number,
            state: TaskState::Running,
            exit_reason: None,
            saved: None,
        }];
        model.apply_heartbeat(&message, reported_at);
        message.sequence += 1;
        message.tasks[0].state = TaskState::Ended;
        message.tasks[0].exit_reason = Some(reason);
        model.apply_heartbeat(&message, reported_at + secs(run_s));
        message.sequence += 1;
        message.tasks.clear();
        message.token = (1 << 20) + 900;
        model.apply_heartbeat(&message, reported_at + secs(run_s));
        sequence = message.sequence + 1;
        let writes = model.take_due_writes(reported_at + secs(run_s));
        writes
            .iter()
            .for_each(|write| model.write_finished(write, true, reported_at));
        assert_eq!(model.run_time_ratios().get("blue").copied(), expected_ratio);
        model.run_scheduling_round(reported_at + secs(run_s));
        mark_all_running(&mut model, reported_at + secs(run_s));
    }
}
