//! The Last Model: how long a job will run, learnt from its team's finished jobs.

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
fn the_last_model_learns_from_done_only() {
    // An instantly failing job must not make its team's long jobs look short.
    let now = start();
    let mut model = model(1);
    add_machine(&mut model, "i-1", "small", "north", false, now);
    model.add_job(job_record(job(1, 1, 1.0)), now);
    model.plan(now);
    let id = MachineId::from("i-1");
    let mut sequence = 2;
    mark_all_running(&mut model, now);
    for (reason, ran, expect) in [
        (ExitReason::Failed, 0, None),
        (ExitReason::Done, 30, Some(33.0 / 60.0)),
    ] {
        let (task, slot) = model.machines()[&id]
            .slots
            .iter()
            .next()
            .map(|(t, s)| (*t, s.attempt))
            .expect("placed");
        let mut message = heartbeat("i-1", "small", "north", false, 1, sequence);
        let base = now + secs(sequence);
        message.tasks = vec![ReportedTask {
            task,
            attempt: slot,
            state: TaskState::Running,
            exit_reason: None,
            saved: None,
        }];
        model.apply_heartbeat(&message, base);
        message.sequence += 1;
        message.tasks[0].state = TaskState::Ended;
        message.tasks[0].exit_reason = Some(reason);
        model.apply_heartbeat(&message, base + secs(ran));
        message.sequence += 1;
        message.tasks.clear();
        message.token = (1 << 20) + 900;
        model.apply_heartbeat(&message, base + secs(ran));
        sequence = message.sequence + 1;
        let writes = model.take_due_writes(base + secs(ran));
        writes
            .iter()
            .for_each(|write| model.write_finished(write, true, base));
        assert_eq!(model.run_time_ratios().get("blue").copied(), expect);
        model.plan(base + secs(ran));
        mark_all_running(&mut model, base + secs(ran));
    }
}
