//! Venture backfilling behind a blocked head, and shadow load preemption.

use std::time::Instant;

use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

/// A model with one large machine, and the time of the next round. Sunny load takes 24 CPUs
/// and is predicted to end after 60 s, 8 CPUs are free, and the job at the head of the queue
/// needs 16.
fn model_with_blocked_head() -> (ClusterModel, Instant) {
    let now = start();
    let mut model = model(1);
    add_machine(&mut model, "i-1", "large", "north", false, now);
    model.add_job(job_record(job(1, 3, 8.0)), now);
    model.run_scheduling_round(now);
    mark_all_running(&mut model, now);
    model.add_job(job_record(job(2, 1, 16.0)), now + secs(1));
    (model, now + secs(1))
}

#[test]
fn tasks_predicted_to_end_before_the_reservation_are_backfilled_first() {
    let (mut model, now) = model_with_blocked_head();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    model.add_job(job_record(long), now);
    let mut short = job(4, 1, 8.0);
    short.estimate_s = 20.0;
    model.add_job(job_record(short), now + secs(1));
    let round = model.run_scheduling_round(now + secs(1));
    assert_eq!(
        (round.placed_in_order, round.backfilled, round.preempted),
        (0, 1, 0)
    );
    assert!(
        tasks_on(&model, "i-1").contains(&"job-000004/0".into()),
        "the short job is backfilled, although it arrived later"
    );
}

#[test]
fn a_job_that_outlasts_the_reservation_is_backfilled_into_leftover_capacity() {
    let (mut model, now) = model_with_blocked_head();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    model.add_job(job_record(long), now);
    let round = model.run_scheduling_round(now);
    assert_eq!(round.backfilled, 1);
    assert!(model.machines()[&MachineId::from("i-1")]
        .slots
        .values()
        .any(|s| s.backfilled));
}

#[test]
fn shadow_load_is_preempted_only_when_that_starts_the_head_at_once() {
    let (mut model, now) = model_with_blocked_head();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    model.add_job(job_record(long), now);
    model.run_scheduling_round(now);
    mark_all_running(&mut model, now);
    // Preempting the shadow load frees 8 CPUs: not enough for the head's 16.
    assert_eq!(model.run_scheduling_round(now + secs(1)).preempted, 0);
    // A task of the sunny load ends: the shadow load's 8 CPUs and the 8 that it frees are
    // enough to start the head.
    let id = MachineId::from("i-1");
    let task = "job-000001/0".parse().expect("a task");
    let attempt = model.machines()[&id].slots[&task].attempt;
    let mut message = heartbeat("i-1", "large", "north", false, 1, 2);
    for (other, slot) in &model.machines()[&id].slots {
        message.tasks.push(ReportedTask {
            task: *other,
            attempt: slot.attempt,
            state: if slot.attempt == attempt && *other == task {
                TaskState::Ended
            } else {
                TaskState::Running
            },
            exit_reason: (*other == task).then_some(ExitReason::Done),
            saved: None,
        });
    }
    model.apply_heartbeat(&message, now + secs(2));
    let round = model.run_scheduling_round(now + secs(2));
    assert_eq!((round.preempted, round.placed_in_order), (1, 1));
    // The stop comes before the start, in the same batch of commands.
    let writes = model.take_due_writes(now + secs(2));
    writes
        .iter()
        .for_each(|write| model.write_finished(write, true, now + secs(2)));
    let batch = model
        .next_command_batch(&id, now + secs(2))
        .expect("a batch")
        .batch;
    let stop = batch
        .commands
        .iter()
        .position(|c| matches!(c, Command::Stop { .. }))
        .expect("a stop");
    let start = batch
        .commands
        .iter()
        .position(|c| matches!(c, Command::Start { .. }))
        .expect("a start");
    assert!(stop < start);
}
