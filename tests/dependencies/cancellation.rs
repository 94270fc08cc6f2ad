//! The cancellation of a job cancels the jobs that wait for it.

use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn a_stored_cancellation_holds_for_all_jobs_after_it_at_once() {
    let now = start();
    let (mut model, _) = model_with_machine(now);
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![2]), (4, vec![])] {
        model.add_job(job_awaiting(n, &awaits), now);
    }
    model.cancel(id(1), now);
    // It may be stored by now though no response confirms it.
    assert_eq!((state_of(&model, 1), state_of(&model, 3)), (None, None));
    assert_eq!(state_of(&model, 4), Some(JobState::Queued));
    model.cancellation_stored(id(1));
    for n in [1, 2, 3] {
        assert_eq!(state_of(&model, n), Some(JobState::Cancelled));
    }
    // One that names a cancelled job, also through others, is accepted and cancelled.
    model.add_job(job_awaiting(5, &[3, 4]), now);
    assert_eq!(state_of(&model, 5), Some(JobState::Cancelled));
    // While their final states are being stored, no other state is given.
    let writes = model.take_due_writes(now);
    let finals = writes
        .iter()
        .filter(|w| matches!(w, PendingWrite::Final { .. }))
        .count();
    assert_eq!(finals, 4);
    assert_eq!(state_of(&model, 5), Some(JobState::Cancelled));
}

#[test]
fn a_job_that_its_own_user_cancels_meanwhile_has_its_own_record() {
    // Else its final state could be stored before its cancellation, which would
    // then put the unfinished record back.
    let now = start();
    let (mut model, _) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    model.cancel(id(2), now);
    model.cancel(id(1), now);
    model.cancellation_stored(id(1));
    let finals = store_all(&mut model, now);
    assert_eq!(finals, [(id(1), JobState::Cancelled)]);
    assert_eq!(state_of(&model, 2), None, "its record is being stored");
    model.cancellation_stored(id(2));
    assert_eq!(store_all(&mut model, now), [(id(2), JobState::Cancelled)]);
}

#[test]
fn jobs_after_one_that_was_done_before_its_cancellation_go_on() {
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    model.plan(now);
    end_tasks(&mut model, &machine, 2, now);
    // Its last task is done before the cancellation arrives.
    assert!(model.jobs()[&id(1)].is_complete());
    store_all(&mut model, now);
    model.cancel(id(1), now);
    assert_eq!(state_of(&model, 2), Some(JobState::Queued));
    model.plan(now);
    assert_eq!(model.jobs()[&id(2)].place_count, 1);
}

#[test]
fn a_new_leader_gives_no_status_and_starts_nothing_before_dependencies_are_resolved() {
    let now = start();
    let (mut model, _) = model_with_machine(now);
    model.add_job(job_awaiting(2, &[1]), now);
    model.add_job(job_awaiting(3, &[2]), now);
    model.plan(now);
    assert_eq!(model.jobs()[&id(2)].place_count, 0);
    assert_eq!((state_of(&model, 2), state_of(&model, 3)), (None, None));
    assert_eq!(
        model.dependencies().unresolved().iter().collect::<Vec<_>>(),
        [&id(1)]
    );
    model.resolve_dependency(id(1), DependencyOutcome::Cancelled);
    assert_eq!(state_of(&model, 3), Some(JobState::Cancelled));
    assert!(model.dependencies().unresolved().is_empty());
}

/// Tasks of a job that waits, which a version without dependencies has started,
/// are stopped once the job is cancelled with one that it needs.
#[test]
fn what_an_earlier_version_started_too_early_is_stopped_with_what_it_needs() {
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    let attempt = model.new_attempt();
    let task = TaskId { job: id(2), index: 0 };
    model.place(&machine, task, attempt, false, now);
    let mut message = heartbeat(&machine, "large", "north", false, 7, 2);
    message.token = (7 << 20) + 1000;
    message.tasks = reported_running(&model, &machine);
    model.apply_heartbeat(&message, now);
    model.cancel(id(1), now);
    model.cancellation_stored(id(1));
    store_all(&mut model, now);
    assert!(model.machines()[&machine].slots[&task].stop_grace.is_some());
    assert!(
        model.jobs().contains_key(&id(2)),
        "not complete before its task has left the machine"
    );
}
