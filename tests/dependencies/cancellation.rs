//! The cancellation of a job cancels the jobs that depend on it.

use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn a_stored_cancellation_cancels_all_dependents_at_once() {
    let now = start();
    let (mut model, _) = model_with_machine(now);
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![2]), (4, vec![])] {
        model.add_job(job_awaiting(n, &awaits), now);
    }
    model.cancel(job_id(1), now);
    // The cancellation may be stored already, although no response has confirmed it.
    assert_eq!((state_of(&model, 1), state_of(&model, 3)), (None, None));
    assert_eq!(state_of(&model, 4), Some(JobState::Queued));
    model.cancellation_stored(job_id(1));
    for n in [1, 2, 3] {
        assert_eq!(state_of(&model, n), Some(JobState::Cancelled));
    }
    // A new job that depends on a cancelled one, directly or indirectly, is accepted and
    // cancelled.
    model.add_job(job_awaiting(5, &[3, 4]), now);
    assert_eq!(state_of(&model, 5), Some(JobState::Cancelled));
    // While the final states are being stored, users are told no other state.
    let writes = model.take_due_writes(now);
    let finals = writes
        .iter()
        .filter(|w| matches!(w, PendingWrite::Final { .. }))
        .count();
    assert_eq!(finals, 4);
    assert_eq!(state_of(&model, 5), Some(JobState::Cancelled));
}

#[test]
fn a_dependent_that_its_user_cancelled_waits_for_its_own_cancellation_record() {
    // If the dependent didn't wait, its final state could be stored first, and its cancellation
    // would then write the record of the unfinished job again.
    let now = start();
    let (mut model, _) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    model.cancel(job_id(2), now);
    model.cancel(job_id(1), now);
    model.cancellation_stored(job_id(1));
    let finals = store_due_writes(&mut model, now);
    assert_eq!(finals, [(job_id(1), JobState::Cancelled)]);
    assert_eq!(state_of(&model, 2), None, "its own cancellation is being stored");
    model.cancellation_stored(job_id(2));
    assert_eq!(
        store_due_writes(&mut model, now),
        [(job_id(2), JobState::Cancelled)]
    );
}

#[test]
fn dependents_start_if_a_job_was_done_before_its_cancellation() {
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    model.run_scheduling_round(now);
    finish_tasks(&mut model, &machine, 2, now);
    // The last task of job 1 is done before the cancellation arrives.
    assert!(model.jobs()[&job_id(1)].is_complete());
    store_due_writes(&mut model, now);
    model.cancel(job_id(1), now);
    assert_eq!(state_of(&model, 2), Some(JobState::Queued));
    model.run_scheduling_round(now);
    assert_eq!(model.jobs()[&job_id(2)].place_count, 1);
}

#[test]
fn a_new_leader_gives_no_status_and_starts_nothing_before_dependencies_are_resolved() {
    let now = start();
    let (mut model, _) = model_with_machine(now);
    model.add_job(job_awaiting(2, &[1]), now);
    model.add_job(job_awaiting(3, &[2]), now);
    model.run_scheduling_round(now);
    assert_eq!(model.jobs()[&job_id(2)].place_count, 0);
    assert_eq!((state_of(&model, 2), state_of(&model, 3)), (None, None));
    assert_eq!(
        model.dependencies().unresolved().iter().collect::<Vec<_>>(),
        [&job_id(1)]
    );
    model.resolve_dependency(job_id(1), DependencyOutcome::Cancelled);
    assert_eq!(state_of(&model, 3), Some(JobState::Cancelled));
    assert!(model.dependencies().unresolved().is_empty());
}

/// A version that doesn't know of dependencies may have started tasks of a job that still has
/// to wait. They are stopped once the job is cancelled with its dependency.
#[test]
fn tasks_that_an_earlier_version_started_too_early_are_stopped_when_a_dependency_is_cancelled() {
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    let attempt = model.new_attempt();
    let task = TaskId {
        job: job_id(2),
        index: 0,
    };
    model.place(&machine, task, attempt, false, now);
    let mut message = heartbeat(&machine, "large", "north", false, 7, 2);
    message.token = (7 << 20) + 1000;
    message.tasks = reported_running(&model, &machine);
    model.apply_heartbeat(&message, now);
    model.cancel(job_id(1), now);
    model.cancellation_stored(job_id(1));
    store_due_writes(&mut model, now);
    assert!(model.machines()[&machine].slots[&task].stop_grace.is_some());
    assert!(
        model.jobs().contains_key(&job_id(2)),
        "the job stays until its task has left the machine"
    );
}
