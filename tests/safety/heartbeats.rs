//! Heartbeats that arrive late, or that list tasks unknown to the leader.

use bitternfold::core::evidence::heartbeats::HeartbeatOutcome;
use bitternfold::core::state::machine::MessageOrder;
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;

use crate::support::*;

#[test]
fn a_heartbeat_older_than_the_newest_is_ignored() {
    // A heartbeat that the network delayed or duplicated may arrive after newer ones. The
    // tasks that it lists may have ended since. The last of these is a copy of the newest.
    let now = start();
    let mut model = model(7);
    let mut message = heartbeat("i-1", "small", "north", false, 7, 5);
    message.incarnation = 2;
    model.apply_heartbeat(&message, now);
    let id = MachineId::from("i-1");
    for (incarnation, sequence) in [(1, 9), (2, 4), (2, 5)] {
        let mut outdated = heartbeat("i-1", "small", "north", false, 7, sequence);
        outdated.incarnation = incarnation;
        outdated.tasks = vec![ReportedTask {
            task: "job-000001/0".parse().expect("a task"),
            attempt: 1,
            state: TaskState::Running,
            exit_reason: None,
            saved: None,
        }];
        assert_eq!(model.apply_heartbeat(&outdated, now), HeartbeatOutcome::Outdated);
        assert!(model.machines()[&id].slots.is_empty());
        assert_eq!(
            model.machines()[&id].newest_message,
            MessageOrder {
                incarnation: 2,
                sequence: 5
            }
        );
    }
}

#[test]
fn a_heartbeat_without_a_token_of_this_term_creates_no_slot() {
    // The first heartbeats that a new leader receives may be late copies. The tasks that
    // they list may no longer run there, and a slot for one would keep it from being
    // started elsewhere.
    let now = start();
    let mut model = model(9);
    model.add_job(job_record(job(1, 1, 4.0)), now);
    let mut late = heartbeat("i-1", "small", "north", false, 8, 400);
    late.tasks = vec![ReportedTask {
        task: "job-000001/0".parse().expect("a task"),
        attempt: (8 << 20) + 1,
        state: TaskState::Running,
        exit_reason: None,
        saved: None,
    }];
    model.apply_heartbeat(&late, now);
    let id = MachineId::from("i-1");
    assert!(model.machines()[&id].slots.is_empty());
    assert_eq!(model.jobs().values().next().expect("the job").waiting.count(), 1);
    // A heartbeat with a token of this term creates the slot.
    late.token = 9 << 20;
    late.sequence += 1;
    model.apply_heartbeat(&late, now);
    assert_eq!(model.machines()[&id].slots.len(), 1);
    assert_eq!(model.jobs().values().next().expect("the job").waiting.count(), 0);
}

#[test]
fn a_released_machine_stays_released_in_the_next_term() {
    // Late copies of its heartbeats must not add it to the fleet again.
    let now = start();
    let mut model = model(7);
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    model.remove_released_machine(&MachineId::from("i-1"), now);
    let mut next = crate::support::model(8);
    for write in model.take_due_writes(now) {
        if let PendingWrite::Append(append) = write {
            for (number, value) in append.segments {
                assert!(next.load_log_segment(number, value.expect("written")));
            }
        }
    }
    next.replay_log(now);
    let outcome = next.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 9), now);
    assert_eq!(outcome, HeartbeatOutcome::MachineReleased);
    assert!(next.machines().is_empty());
}

#[test]
fn a_reported_task_without_its_slot_or_job_is_unknown() {
    let now = start();
    let mut model = model(7);
    let id = MachineId::from("i-1");
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    let job_record = job_record(job(1, 1, 4.0));
    let task = TaskId {
        job: job_record.spec.id,
        index: 0,
    };
    model.add_job(job_record, now);
    model.run_scheduling_round(now);
    let mut message = heartbeat("i-1", "small", "north", false, 7, 2);
    message.tasks = reported_running(&model, &id);
    assert_eq!(model.unknown_tasks(&message).count(), 0);
    // Not the attempt that was placed.
    message.tasks[0].attempt += 1;
    assert_eq!(model.unknown_tasks(&message).count(), 1);
    message.tasks[0].attempt -= 1;
    // First without its slot, then without its job.
    let slot = model
        .set_up()
        .machines
        .get_mut(&id)
        .and_then(|machine| machine.slots.remove(&task))
        .expect("placed");
    assert_eq!(model.unknown_tasks(&message).count(), 1);
    model
        .set_up()
        .machines
        .get_mut(&id)
        .expect("there")
        .slots
        .insert(task, slot);
    model.remove_job(task.job);
    assert_eq!(model.unknown_tasks(&message).count(), 1);
    // Tasks that have ended don't count, and no task counts until the machine has
    // reported a token of this term.
    message.tasks[0].state = TaskState::Ended;
    assert_eq!(model.unknown_tasks(&message).count(), 0);
    message.tasks[0].state = TaskState::Running;
    *model.set_up().term = 8;
    assert_eq!(model.unknown_tasks(&message).count(), 0);
}
