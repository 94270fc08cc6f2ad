//! Venture backfilling beside a blocked head, and shadow load preemption.

use std::time::Instant;

use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

/// One large machine: 24 CPUs sunny until 60 s, 8 free; the head wants 16.
fn blocked() -> (ClusterModel, Instant) {
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "large", "north", false, now);
    m.add_job(record(job(1, 3, 8.0)), now);
    m.plan(now);
    run_all(&mut m, now);
    m.add_job(record(job(2, 1, 16.0)), now + secs(1));
    (m, now + secs(1))
}

#[test]
fn backfilling_goes_by_predicted_finish_within_the_reservation_first() {
    let (mut m, now) = blocked();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    m.add_job(record(long), now);
    let mut short = job(4, 1, 8.0);
    short.estimate_s = 20.0;
    m.add_job(record(short), now + secs(1));
    let r = m.plan(now + secs(1));
    assert_eq!((r.in_order, r.backfilled, r.preempted), (0, 1, 0));
    assert!(
        tasks_on(&m, "i-1").contains(&"job-000004/0".into()),
        "the short one, though it came later"
    );
}

#[test]
fn leftover_room_goes_by_priority_whatever_the_prediction() {
    let (mut m, now) = blocked();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    m.add_job(record(long), now);
    let r = m.plan(now);
    assert_eq!(r.backfilled, 1);
    assert!(m.machines()[&MachineId::from("i-1")]
        .slots
        .values()
        .any(|s| s.backfilled));
}

#[test]
fn shadow_load_is_preempted_only_when_that_starts_the_head_at_once() {
    let (mut m, now) = blocked();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    m.add_job(record(long), now);
    m.plan(now);
    run_all(&mut m, now);
    // Killing the shadow gives 8 CPUs: not enough for the head's 16.
    assert_eq!(m.plan(now + secs(1)).preempted, 0);
    // A sunny task ends: now the shadow's 8 and the free 8 start the head.
    let id = MachineId::from("i-1");
    let task = "job-000001/0".parse().expect("a task");
    let attempt = m.machines()[&id].slots[&task].attempt;
    let mut r = heartbeat("i-1", "large", "north", false, 1, 2);
    for (t, s) in &m.machines()[&id].slots {
        r.tasks.push(ReportedTask {
            task: *t,
            attempt: s.attempt,
            state: if s.attempt == attempt && *t == task {
                TaskState::Exited
            } else {
                TaskState::Running
            },
            exit_reason: (*t == task).then_some(ExitReason::Done),
            saved: None,
        });
    }
    m.apply_heartbeat(&r, now + secs(2));
    let round = m.plan(now + secs(2));
    assert_eq!((round.preempted, round.in_order), (1, 1));
    // The stop goes out before the start, in one command.
    let w = m.take_due_writes(now + secs(2));
    w.iter().for_each(|w| m.write_finished(w, true, now + secs(2)));
    let c = m.next_command(&id, now + secs(2)).expect("a command").batch;
    let stop = c
        .commands
        .iter()
        .position(|c| matches!(c, Command::Stop { .. }))
        .expect("a stop");
    let start = c
        .commands
        .iter()
        .position(|c| matches!(c, Command::Start { .. }))
        .expect("a start");
    assert!(stop < start);
}
