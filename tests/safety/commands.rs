//! Commands, their fencing tokens, and commands that are still in flight.

use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::support::*;

#[test]
fn a_heartbeat_with_a_token_up_to_that_of_the_last_start_removes_no_slot() {
    // A start that was not answered may still arrive. If the worker has seen its token, it was
    // carried out, but a late copy of it would be carried out as well. Only a heartbeat with a
    // higher token shows that it can't take effect any more.
    let now = start();
    let mut model = model(7);
    let id = MachineId::from("i-1");
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    model.add_job(job_record(job(1, 1, 4.0)), now);
    model.run_scheduling_round(now);
    let writes = model.take_due_writes(now);
    assert!(!writes.is_empty());
    assert!(
        model
            .next_command_batch(&id, now)
            .is_none_or(|c| c.batch.commands.is_empty()),
        "a start is sent before its log entry is stored"
    );
    model.batch_finished(&id, None, now);
    writes
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    let batch = model
        .next_command_batch(&id, now + secs(1))
        .expect("the start")
        .batch;
    assert!(matches!(batch.commands[..], [Command::Start { .. }]));
    model.batch_finished(&id, None, now + secs(2));
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 2), now + secs(2));
    assert_eq!(
        model.machines()[&id].slots.len(),
        1,
        "without an answer the outcome of a start is unknown, not failed"
    );
    let mut newer = heartbeat("i-1", "small", "north", false, 7, 3);
    newer.token = batch.token;
    model.apply_heartbeat(&newer, now + secs(3));
    assert_eq!(
        model.machines()[&id].slots.len(),
        1,
        "a late copy of the start may still take effect"
    );
    let probe = model
        .next_command_batch(&id, now + secs(4))
        .expect("a probe")
        .batch;
    assert!(probe.token > batch.token);
    assert!(probe.commands.is_empty(), "the start is repeated with the probe");
    (newer.token, newer.sequence) = (probe.token, 4);
    model.batch_finished(&id, Some(&newer), now + secs(4));
    assert!(model.machines()[&id].slots.is_empty());
}

#[test]
fn a_heartbeat_response_never_carries_the_token_of_a_command_in_flight() {
    // Otherwise the worker would report that token while the command, with a start in it,
    // is still in flight. The worker would then accept the start, as the tokens are equal.
    let now = start();
    let mut model = model(7);
    let id = MachineId::from("i-1");
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    model.set_up().machines.get_mut(&id).expect("known").needs_probe = true;
    let batch = model.next_command_batch(&id, now).expect("a command").batch;
    assert!(
        model
            .heartbeat_response(&id, 7 << 20, now)
            .expect("a token")
            .token
            < batch.token
    );
    model.set_up().machines.get_mut(&id).expect("known").seen_token = 3 << 20;
    let response = model.heartbeat_response(&id, 3 << 20, now).expect("a token");
    assert!(
        response.token > batch.token,
        "a worker that has seen no token of this term gets one that no command carries"
    );
    assert!(response.commands.is_empty());
    assert_eq!(
        model.heartbeat_response(&id, 8 << 20, now),
        None,
        "a worker that has seen a newer leader's token gets no response"
    );
}

#[test]
fn a_start_still_in_flight_is_refused_after_its_job_is_cancelled() {
    // Commands to the machine are not answered, but its heartbeats arrive. The responses
    // to them renew its lease, so it would accept the start whenever that arrives. Once the
    // stop has had time to arrive, a response with a higher token makes the worker refuse the
    // start for good.
    let now = start();
    let id = MachineId::from("i-1");
    let mut model = model_with_placed_task(now);
    let job = *model.jobs().keys().next().expect("the job");
    let batch = model.next_command_batch(&id, now).expect("the start").batch;
    model.batch_finished(&id, None, now + secs(1));
    model.cancel(job, now + secs(1));
    let mut message = heartbeat("i-1", "small", "north", false, 7, 2);
    let early_response = model
        .heartbeat_response(&id, message.token, now + secs(2))
        .expect("a response");
    assert!(early_response.token < batch.token, "the stop may still arrive");
    let token = model
        .heartbeat_response(&id, message.token, now + secs(9))
        .expect("a response")
        .token;
    assert!(
        token > batch.token,
        "the worker does not refuse the start from now on"
    );
    (message.token, message.sequence) = (token, 3);
    model.apply_heartbeat(&message, now + secs(9));
    assert!(
        model.machines()[&id].slots.is_empty(),
        "the slot of the refused start is kept"
    );
    // If the task runs there all the same, the heartbeat response itself stops it.
    message.tasks = vec![ReportedTask {
        task: TaskId { job, index: 0 },
        attempt: 5,
        state: TaskState::Running,
        exit_reason: None,
        saved: None,
    }];
    assert!(matches!(
        model.stops_for_cancelled(&message)[..],
        [Command::Stop { attempt: 5, .. }]
    ));
}

#[test]
fn an_outcome_is_stored_before_it_is_acknowledged() {
    let now = start();
    let mut model = model(7);
    let id = MachineId::from("i-1");
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    model.add_job(job_record(job(1, 2, 4.0)), now);
    model.run_scheduling_round(now);
    let writes = model.take_due_writes(now);
    writes
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    let batch = model.next_command_batch(&id, now).expect("starts").batch;
    let mut message = heartbeat("i-1", "small", "north", false, 7, 2);
    message.token = batch.token;
    message.tasks = reported_ended(&model, &id, 1);
    model.batch_finished(&id, Some(&message), now);
    let writes = model.take_due_writes(now + secs(1));
    let response = model
        .heartbeat_response(&id, message.token, now)
        .expect("a response");
    assert!(
        response.commands.is_empty(),
        "an outcome is acknowledged before it is stored"
    );
    writes
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    let response = model
        .heartbeat_response(&id, message.token, now)
        .expect("a response");
    assert!(matches!(response.commands[..], [Command::Acknowledge { .. }]));
    assert!(
        response.token > batch.token,
        "late copies of the start are not refused"
    );
    // If no heartbeat arrives, a command carries the acknowledgement.
    assert!(model.next_command_batch(&id, now + secs(2)).is_none());
    let batch = model
        .next_command_batch(&id, now + secs(9))
        .expect("a command")
        .batch;
    assert!(matches!(batch.commands[..], [Command::Acknowledge { .. }]));
}

#[test]
fn a_leader_is_partitioned_if_too_few_workers_answer_its_commands() {
    // The workers' heartbeats arrive through other controllers and renew their leases, so
    // such a leader has to end its term: its stops of a cancelled job would never arrive.
    let now = start();
    let mut model = model(7);
    let ids: Vec<MachineId> = (0..4).map(|i| format!("i-{i}").as_str().into()).collect();
    for id in &ids {
        model.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 1), now);
        model.batch_finished(id, None, now);
    }
    assert!(
        !model.is_partitioned_from_workers(now + secs(1)),
        "commands have been unanswered for too short a time"
    );
    for id in &ids {
        model.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 2), now + secs(7));
    }
    assert!(model.is_partitioned_from_workers(now + secs(7)));
    let response = heartbeat(&ids[0], "small", "north", false, 7, 3);
    model.batch_finished(&ids[0], Some(&response), now + secs(7));
    model.batch_finished(
        &ids[1],
        Some(&heartbeat(&ids[1], "small", "north", false, 7, 3)),
        now + secs(7),
    );
    assert!(
        !model.is_partitioned_from_workers(now + secs(7)),
        "half of the workers answer"
    );
    // Workers that were sent no commands recently don't count as answering.
    model.batch_finished(&ids[0], None, now + secs(8));
    for id in &ids {
        model.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 4), now + secs(14));
    }
    assert!(model.is_partitioned_from_workers(now + secs(14)));
}

/// A model whose machine `i-1` is fenced, with a job of one task that is placed on it; the
/// placement is stored.
fn model_with_placed_task(now: std::time::Instant) -> ClusterModel {
    let mut model = model(7);
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    model.add_job(job_record(job(1, 1, 4.0)), now);
    model.run_scheduling_round(now);
    model
        .take_due_writes(now)
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    model
}

// Guards against a start that is held back for good, as if it had been carried out and lost,
// because of a heartbeat from before the worker saw any token.
#[test]
fn a_heartbeat_without_a_token_does_not_hold_back_a_start() {
    let now = start();
    let mut model = model_with_placed_task(now);
    let mut message = heartbeat("i-1", "small", "north", false, 7, 2);
    message.token = 0;
    model.apply_heartbeat(&message, now);
    let batch = model
        .next_command_batch(&"i-1".into(), now)
        .expect("the start")
        .batch;
    assert!(matches!(batch.commands[..], [Command::Start { .. }]));
}

// Guards against ends that are recorded while a copy of the start may take effect, and against
// responses that go on fencing the worker in place of the acknowledgement.
#[test]
fn a_failed_attempt_is_fenced_then_recorded_and_acknowledged() {
    let now = start();
    let id = MachineId::from("i-1");
    let mut model = model_with_placed_task(now);
    let batch = model.next_command_batch(&id, now).expect("the start").batch;
    let mut message = heartbeat("i-1", "small", "north", false, 7, 2);
    message.token = batch.token;
    message.tasks = reported_running(&model, &id);
    message.tasks[0].state = TaskState::Ended;
    message.tasks[0].exit_reason = Some(ExitReason::Failed);
    model.batch_finished(&id, Some(&message), now);
    let is_placed = |model: &ClusterModel| model.machines()[&id].used_resources().cpus > 0.0;
    assert!(
        is_placed(&model),
        "the end counts although the attempt may start again"
    );
    let fence = model
        .heartbeat_response(&id, message.token, now)
        .expect("a response");
    assert!(fence.token > batch.token && fence.commands.is_empty());
    (message.token, message.sequence) = (fence.token, 3);
    model.apply_heartbeat(&message, now);
    assert!(!is_placed(&model), "the end of a fenced attempt doesn't count");
    let response = model
        .heartbeat_response(&id, message.token, now)
        .expect("a response");
    assert!(matches!(response.commands[..], [Command::Acknowledge { .. }]));
}
