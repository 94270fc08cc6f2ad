//! Commands, their fencing tokens, and what may still arrive after them.

use bitternfold::wire::*;

use crate::support::*;

#[test]
fn a_heartbeat_older_than_the_last_start_reconciles_nothing() {
    // A start with no answer may still arrive: only a token at least as high
    // as the start's, in the worker's own words, shows that it can't.
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    m.add_job(record(job(1, 1, 4.0)), now);
    m.plan(now);
    let w = m.take_due_writes(now);
    assert!(!w.is_empty());
    assert!(
        m.next_command(&id, now)
            .is_none_or(|c| c.batch.commands.is_empty()),
        "not before it is stored"
    );
    m.command_finished(&id, None, now);
    w.iter().for_each(|w| m.write_finished(w, true, now));
    let c = m.next_command(&id, now + secs(1)).expect("the start").batch;
    assert!(matches!(c.commands[..], [Command::Start { .. }]));
    m.command_finished(&id, None, now + secs(2));
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 2), now + secs(2));
    assert_eq!(
        m.machines()[&id].slots.len(),
        1,
        "unanswered is unknown, not failed"
    );
    let mut later = heartbeat("i-1", "small", "north", false, 7, 3);
    later.token = c.token;
    m.apply_heartbeat(&later, now + secs(3));
    assert!(m.machines()[&id].slots.is_empty());
}

#[test]
fn a_heartbeat_response_never_carries_the_token_of_a_command_in_transit() {
    // Else the worker would report that token though the command, and the
    // start in it, is still to come, and is accepted with an equal token.
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    m.set_up().machines.get_mut(&id).expect("known").needs_probe = true;
    let c = m.next_command(&id, now).expect("a command").batch;
    assert!(m.heartbeat_response(&id, 7 << 20, now).expect("a token").token < c.token);
    m.set_up().machines.get_mut(&id).expect("known").seen_token = 3 << 20;
    let response = m.heartbeat_response(&id, 3 << 20, now).expect("a token");
    assert!(
        response.token > c.token,
        "a worker of an earlier term gets one that no command carries"
    );
    assert!(response.commands.is_empty());
    assert_eq!(
        m.heartbeat_response(&id, 8 << 20, now),
        None,
        "a later leader has spoken: no answer"
    );
}

#[test]
fn a_delayed_start_is_refused_for_good_once_its_job_is_cancelled() {
    // Commands to the machine get no answers, its reports arrive. While they are
    // answered its session lives, and the start would be taken whenever it comes.
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    let rec = record(job(1, 1, 4.0));
    let job = rec.spec.id;
    m.add_job(rec, now);
    m.plan(now);
    m.take_due_writes(now)
        .iter()
        .for_each(|w| m.write_finished(w, true, now));
    let c = m.next_command(&id, now).expect("the start").batch;
    m.command_finished(&id, None, now + secs(1));
    m.cancel(job, now + secs(1));
    let mut r = heartbeat("i-1", "small", "north", false, 7, 2);
    let soon = m
        .heartbeat_response(&id, r.token, now + secs(2))
        .expect("an answer");
    assert!(soon.token < c.token, "its stop may yet get through");
    let token = m
        .heartbeat_response(&id, r.token, now + secs(9))
        .expect("an answer")
        .token;
    assert!(token > c.token, "the start is refused from now on");
    (r.token, r.sequence) = (token, 3);
    m.apply_heartbeat(&r, now + secs(9));
    assert!(m.machines()[&id].slots.is_empty(), "and that settles its place");
    // A task that is there is stopped by the answer itself.
    r.tasks = vec![ReportedTask {
        task: TaskId { job, index: 0 },
        attempt: 5,
        state: TaskState::Running,
        exit_reason: None,
        saved: None,
    }];
    assert!(matches!(
        m.stops_for_cancelled(&r)[..],
        [Command::Stop { attempt: 5, .. }]
    ));
}

#[test]
fn an_outcome_is_stored_before_the_worker_forgets_it() {
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    m.add_job(record(job(1, 2, 4.0)), now);
    m.plan(now);
    let w = m.take_due_writes(now);
    w.iter().for_each(|w| m.write_finished(w, true, now));
    let c = m.next_command(&id, now).expect("starts").batch;
    let mut r = heartbeat("i-1", "small", "north", false, 7, 2);
    r.token = c.token;
    r.tasks = ended(&m, &id, 1);
    m.command_finished(&id, Some(&r), now);
    let w = m.take_due_writes(now + secs(1));
    let response = m.heartbeat_response(&id, r.token, now).expect("an answer");
    assert!(response.commands.is_empty(), "nothing to say yet");
    w.iter().for_each(|w| m.write_finished(w, true, now));
    let response = m.heartbeat_response(&id, r.token, now).expect("an answer");
    assert!(matches!(response.commands[..], [Command::Acknowledge { .. }]));
    assert!(
        response.token > c.token,
        "late copies of the start are refused from now on"
    );
    // No report comes: it is said by a command.
    assert!(m.next_command(&id, now + secs(2)).is_none());
    let c = m.next_command(&id, now + secs(9)).expect("a command").batch;
    assert!(matches!(c.commands[..], [Command::Acknowledge { .. }]));
}

#[test]
fn a_leader_whose_commands_reach_too_few_workers_finds_itself_partitioned() {
    // Their reports come by way of others and renew their leases, so without
    // this the stops of a cancelled job would never arrive.
    let now = start();
    let mut m = model(7);
    let ids: Vec<MachineId> = (0..4).map(|i| format!("i-{i}").as_str().into()).collect();
    for id in &ids {
        m.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 1), now);
        m.command_finished(id, None, now);
    }
    assert!(!m.is_partitioned_from_workers(now + secs(1)), "too soon to tell");
    for id in &ids {
        m.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 2), now + secs(7));
    }
    assert!(m.is_partitioned_from_workers(now + secs(7)));
    let answer = heartbeat(&ids[0], "small", "north", false, 7, 3);
    m.command_finished(&ids[0], Some(&answer), now + secs(7));
    m.command_finished(
        &ids[1],
        Some(&heartbeat(&ids[1], "small", "north", false, 7, 3)),
        now + secs(7),
    );
    assert!(
        !m.is_partitioned_from_workers(now + secs(7)),
        "half of them answer"
    );
    // Those that were sent nothing of late don't count as answering.
    m.command_finished(&ids[0], None, now + secs(8));
    for id in &ids {
        m.apply_heartbeat(&heartbeat(id, "small", "north", false, 7, 4), now + secs(14));
    }
    assert!(m.is_partitioned_from_workers(now + secs(14)));
}
