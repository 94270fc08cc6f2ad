//! The Last Model: how long a job will run, learnt from its team's finished jobs.

use std::collections::BTreeMap;

use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn the_last_model_multiplies_the_estimate_and_is_capped_by_it() {
    let mut m = model(1);
    let j = job(1, 1, 1.0);
    assert_eq!(m.predict(&j), secs(60), "no finished job of the team yet");
    m.load_run_time_ratios(BTreeMap::from([("blue".into(), 0.5)]));
    assert_eq!(m.predict(&j), secs(30));
    m.load_run_time_ratios(BTreeMap::from([("blue".into(), 3.0)]));
    assert_eq!(m.predict(&j), secs(60));
}

#[test]
fn the_last_model_learns_from_done_only() {
    // An instantly failing job must not make its team's long jobs look short.
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "small", "north", false, now);
    m.add_job(record(job(1, 1, 1.0)), now);
    m.plan(now);
    let id = MachineId::from("i-1");
    let mut sequence = 2;
    run_all(&mut m, now);
    for (reason, ran, expect) in [
        (ExitReason::Failed, 0, None),
        (ExitReason::Done, 30, Some(33.0 / 60.0)),
    ] {
        let (task, slot) = m.machines()[&id]
            .slots
            .iter()
            .next()
            .map(|(t, s)| (*t, s.attempt))
            .expect("placed");
        let mut r = heartbeat("i-1", "small", "north", false, 1, sequence);
        let base = now + secs(sequence);
        r.tasks = vec![ReportedTask {
            task,
            attempt: slot,
            state: TaskState::Running,
            exit_reason: None,
            saved: None,
        }];
        m.apply_heartbeat(&r, base);
        r.sequence += 1;
        r.tasks[0].state = TaskState::Exited;
        r.tasks[0].exit_reason = Some(reason);
        m.apply_heartbeat(&r, base + secs(ran));
        r.sequence += 1;
        r.tasks.clear();
        r.token = (1 << 20) + 900;
        m.apply_heartbeat(&r, base + secs(ran));
        sequence = r.sequence + 1;
        let w = m.take_due_writes(base + secs(ran));
        w.iter().for_each(|w| m.write_finished(w, true, base));
        assert_eq!(m.run_time_ratios().get("blue").copied(), expect);
        m.plan(base + secs(ran));
        run_all(&mut m, base + secs(ran));
    }
}
