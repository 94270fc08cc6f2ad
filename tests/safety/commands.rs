//! Commands, their fencing tokens, and delayed commands that arrive later.

use bitternfold::wire::*;

use crate::support::*;

#[test]
fn a_heartbeat_older_than_the_last_start_reconciles_nothing() {
    // A start without a response may still arrive: only a heartbeat with a token at
    // least as high as the start's shows that it can't.
    let now = start();
    let mut model = model(7);
    let id = MachineId::from("i-1");
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    model.add_job(record(job(1, 1, 4.0)), now);
    model.plan(now);
    let writes = model.take_due_writes(now);
    assert!(!writes.is_empty());
    assert!(
        model
            .next_command(&id, now)
            .is_none_or(|c| c.batch.commands.is_empty()),
        "not before it is stored"
    );
    model.command_finished(&id, None, now);
    writes
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    let batch = model.next_command(&id, now + secs(1)).expect("the start").batch;
    assert!(matches!(batch.commands[..], [Command::Start { .. }]));
    model.command_finished(&id, None, now + secs(2));
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 2), now + secs(2));
    assert_eq!(
        model.machines()[&id].slots.len(),
        1,
        "without a response its outcome is unknown, not failed"
    );
    let mut later = heartbeat("i-1", "small", "north", false, 7, 3);
    later.token = batch.token;
    model.apply_heartbeat(&later, now + secs(3));
    assert!(model.machines()[&id].slots.is_empty());
}

#[test]
fn a_heartbeat_response_never_carries_the_token_of_a_command_in_transit() {
    // Else the worker would send that token in its heartbeats though the command, and
    // the start in it, is still in transit, and is accepted with an equal token.
    let now = start();
    let mut model = model(7);
    let id = MachineId::from("i-1");
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    model.set_up().machines.get_mut(&id).expect("known").needs_probe = true;
    let batch = model.next_command(&id, now).expect("a command").batch;
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
        "a worker of an earlier term gets one that no command carries"
    );
    assert!(response.commands.is_empty());
    assert_eq!(
        model.heartbeat_response(&id, 8 << 20, now),
        None,
        "it has seen a later leader's token: no response"
    );
}

#[test]
fn a_delayed_start_is_refused_for_good_once_its_job_is_cancelled() {
    // Commands to the machine get no response, its heartbeats arrive. While they get
    // responses its lease is renewed, and the start would be accepted whenever it arrives.
    let now = start();
    let mut model = model(7);
    let id = MachineId::from("i-1");
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    let job_record = record(job(1, 1, 4.0));
    let job = job_record.spec.id;
    model.add_job(job_record, now);
    model.plan(now);
    model
        .take_due_writes(now)
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    let batch = model.next_command(&id, now).expect("the start").batch;
    model.command_finished(&id, None, now + secs(1));
    model.cancel(job, now + secs(1));
    let mut message = heartbeat("i-1", "small", "north", false, 7, 2);
    let soon = model
        .heartbeat_response(&id, message.token, now + secs(2))
        .expect("a response");
    assert!(soon.token < batch.token, "its stop may yet get through");
    let token = model
        .heartbeat_response(&id, message.token, now + secs(9))
        .expect("a response")
        .token;
    assert!(token > batch.token, "the start is refused from now on");
    (message.token, message.sequence) = (token, 3);
    model.apply_heartbeat(&message, now + secs(9));
    assert!(
        model.machines()[&id].slots.is_empty(),
        "and its slot is reconciled"
    );
    // A task that runs there is stopped by the heartbeat response itself.
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
fn an_outcome_is_stored_before_the_worker_forgets_it() {
    let now = start();
    let mut model = model(7);
    let id = MachineId::from("i-1");
    model.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    model.add_job(record(job(1, 2, 4.0)), now);
    model.plan(now);
    let writes = model.take_due_writes(now);
    writes
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    let batch = model.next_command(&id, now).expect("starts").batch;
    let mut message = heartbeat("i-1", "small", "north", false, 7, 2);
    message.token = batch.token;
    message.tasks = ended(&model, &id, 1);
    model.command_finished(&id, Some(&message), now);
    let writes = model.take_due_writes(now + secs(1));
    let response = model
        .heartbeat_response(&id, message.token, now)
        .expect("a response");
    assert!(response.commands.is_empty(), "the outcome is not stored yet");
    writes
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    let response = model
        .heartbeat_response(&id, message.token, now)
        .expect("a response");
    assert!(matches!(response.commands[..], [Command::Acknowledge { .. }]));
    assert!(
        response.token > batch.token,
        "late copies of the start are refused from now on"
    );
    // No heartbeat arrives: a command carries the acknowledgement.
    assert!(model.next_command(&id, now + secs(2)).is_none());
    let batch = model.next_command(&id, now + secs(9)).expect("a command").batch;
    assert!(matches!(batch.commands[..], [Command::Acknowledge { .. }]));
}

#[test]
fn a_leader_whose_commands_reach_too_few_workers_finds_itself_partitioned() {
    // Their heartbeats come by way of others and renew their leases, so without
    // this the stops of a cancelled job would never arrive.
    let now = start();
    let mut model = model(7);
    let ids: Vec<MachineId> = (0..4).map(|i| format!("i-{i}").as_str().into()).collect();
    for id in &ids {
        model.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 1), now);
        model.command_finished(id, None, now);
    }
    assert!(
        !model.is_partitioned_from_workers(now + secs(1)),
        "too soon to tell"
    );
    for id in &ids {
        model.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 2), now + secs(7));
    }
    assert!(model.is_partitioned_from_workers(now + secs(7)));
    let response = heartbeat(&ids[0], "small", "north", false, 7, 3);
    model.command_finished(&ids[0], Some(&response), now + secs(7));
    model.command_finished(
        &ids[1],
        Some(&heartbeat(&ids[1], "small", "north", false, 7, 3)),
        now + secs(7),
    );
    assert!(
        !model.is_partitioned_from_workers(now + secs(7)),
        "half of them respond"
    );
    // Workers that were sent nothing recently don't count as responding.
    model.command_finished(&ids[0], None, now + secs(8));
    for id in &ids {
        model.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 4), now + secs(14));
    }
    assert!(model.is_partitioned_from_workers(now + secs(14)));
}
