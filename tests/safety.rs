//! Election and evidence under lost, late, repeated and reordered messages:
//! no task is in two places, no limit is passed, no state goes back, nothing
//! of a cancelled job is started, nor of one whose dependencies aren't done, and
//! what is told of a job agrees with what is stored of the jobs that it needs.
//! Leaders come and go; what an earlier one has sent still arrives.

#[path = "support/cluster.rs"]
mod cluster;
mod support;
#[path = "support/worker.rs"]
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;
use cluster::{Op, World};
use proptest::prelude::*;
use support::*;

/// Half of all jobs wait for none, the others for up to three.
fn any_submission() -> impl Strategy<Value = Op> {
    let awaits = prop_oneof![Just(Vec::new()), proptest::collection::vec(any::<usize>(), 1..4)];
    (1..5u32, 1..9u32, any::<bool>(), awaits).prop_map(|(tasks, cpus, red, awaits)| Op::Submit {
        tasks,
        cpus,
        red,
        awaits,
    })
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => any_submission(),
        1 => any::<usize>().prop_map(Op::Cancel),
        2 => any::<usize>().prop_map(Op::Resolve),
        6 => any::<usize>().prop_map(Op::Heartbeat),
        20 => any::<usize>().prop_map(Op::Deliver),
        2 => any::<usize>().prop_map(Op::Repeat),
        2 => any::<usize>().prop_map(Op::Lose),
        4 => (any::<usize>(), any::<u8>()).prop_map(|(i, h)| Op::Run(i, h)),
        1 => any::<usize>().prop_map(Op::Expire),
        1 => any::<usize>().prop_map(Op::Release),
        1 => any::<usize>().prop_map(Op::Die),
        1 => (0..4usize, any::<bool>()).prop_map(|(m, d)| Op::Unreachable(m, d)),
        1 => (0..4usize, any::<bool>()).prop_map(|(m, d)| Op::HearsNoCommands(m, d)),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(i, r)| Op::Reboot(i, r)),
        1 => (0..4usize, any::<bool>()).prop_map(|(m, d)| Op::Mute(m, d)),
        1 => any::<usize>().prop_map(Op::CancelAtEnd),
        1 => (2..11u8).prop_map(Op::Chain),
        1 => Just(Op::Away),
        3 => Just(Op::Fail),
        2 => any::<usize>().prop_map(Op::Copy),
        2 => any::<usize>().prop_map(Op::Late),
        2 => any::<usize>().prop_map(Op::OldReport),
        1 => Just(Op::Elect),
        3 => (1..2000u64).prop_map(Op::Wait),
        1 => (1..60u64).prop_map(Op::Freeze),
    ]
}

/// A world in which all that was done, and whose messages arrive again.
fn after_trouble(ops: Vec<Op>) -> World {
    let mut w = World::new();
    for op in ops {
        if !matches!(op, Op::Die(_)) {
            w.step(op);
        }
    }
    w.step(Op::Unreachable(usize::MAX - 1, false));
    w.mute.clear();
    for x in &mut w.workers {
        x.unreachable = false;
        x.hears_no_commands = false;
    }
    w
}

/// Trouble is over: all gets done, and nobody waits for long beside room.
fn quiet_ending(w: &mut World) -> Result<(), TestCaseError> {
    let mut since = BTreeMap::new();
    for i in 0..9600usize {
        // Tasks run for long, so that work waits and every machine is needed.
        let ends = if i / 8 % 60 < 8 { 0 } else { 4 };
        let op = match i % 8 {
            0 => Op::Heartbeat(i / 8),
            1 => Op::Run(i / 8, ends),
            7 => Op::Wait(400),
            6 => Op::Resolve(0),
            _ => Op::Deliver(0),
        };
        // What the fleet does with silent machines.
        let alive = |id: &MachineId| w.workers.iter().any(|x| x.alive && x.id == *id);
        let dead: Vec<MachineId> = w.model.machines.keys().filter(|id| !alive(id)).cloned().collect();
        for id in dead {
            w.model.released(&id, w.now);
        }
        w.step(op);
        let waiting = w.waiting_beside_room();
        since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let t = *since.entry(id).or_insert(w.now);
            prop_assert!(
                w.now - t <= secs(90),
                "{id} waits for {:?} beside room",
                w.now - t
            );
        }
    }
    let open: BTreeSet<_> = w.jobs.keys().collect();
    prop_assert!(open.is_empty(), "left over: {:?}, mail {}", open, w.mail.len());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, max_shrink_iters: 300, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn no_failure_puts_a_task_in_two_places(ops in proptest::collection::vec(any_op(), 50..400)) {
        let mut w = World::new();
        for op in ops {
            w.step(op);
        }
    }

    /// Once the trouble ends, every job that isn't cancelled gets done, and none
    /// waits for long while a machine that fits has room.
    #[test]
    fn all_work_is_done_in_the_end(ops in proptest::collection::vec(any_op(), 20..200)) {
        let mut w = after_trouble(ops);
        quiet_ending(&mut w)?;
    }

    /// The same after all that runs has failed everywhere, six times in a row.
    #[test]
    fn nobody_waits_beside_room_after_failing_everywhere(ops in proptest::collection::vec(any_op(), 20..200)) {
        let mut w = after_failing_everywhere(ops);
        quiet_ending(&mut w)?;
    }
}

/// The world after some trouble, the last of which is that all that runs
/// fails, six times.
fn after_failing_everywhere(ops: Vec<Op>) -> World {
    let mut w = after_trouble(ops);
    for i in 0..240usize {
        let op = match (i % 40, i % 8) {
            (39, _) => Op::Fail,
            (_, 0) => Op::Heartbeat(i / 8),
            (_, 7) => Op::Wait(400),
            _ => Op::Deliver(0),
        };
        w.step(op);
    }
    w
}

#[test]
fn a_job_that_failed_everywhere_is_back_at_full_width_in_time() {
    // A generated sequence after which tasks waited for 90.4 s beside room:
    // pauses of 32 s, then one task at a time, while machines stayed cordoned.
    let submit = |tasks, cpus, red| Op::Submit {
        tasks,
        cpus,
        red,
        awaits: Vec::new(),
    };
    let deliver = Op::Deliver;
    let ops = vec![
        submit(4, 8, false),
        deliver(8392230948040143242),
        deliver(16564175535304606279),
        Op::Away,
        Op::Heartbeat(9103296329697265438),
        Op::Elect,
        Op::Heartbeat(4200274648089707579),
        submit(2, 3, true),
        Op::Lose(16004930154143770109),
        deliver(17343191845699540759),
        Op::Lose(4468235302978096618),
        deliver(1425582355381907534),
        deliver(13532930482197435665),
        submit(3, 2, false),
        submit(4, 8, true),
        deliver(14900104632600383177),
        deliver(9102860268548386656),
        Op::Unreachable(3, true),
        deliver(8569058169103209391),
        Op::Cancel(12789475987345334307),
        deliver(4598935939551699462),
        Op::Cancel(11118938990765730372),
        Op::Chain(7),
        Op::CancelAtEnd(13691221138265307172),
        deliver(6658439204812937593),
        Op::Release(2914089572435201884),
        Op::Lose(14365060187647711373),
        Op::Heartbeat(17289338726488251579),
        deliver(2993201230049916690),
        Op::Wait(1597),
        deliver(9587532462849967997),
        deliver(9131733887317759306),
        deliver(9369583810463035282),
        Op::Elect,
        submit(1, 6, true),
        deliver(9037973649855983994),
        deliver(11834334059939642239),
        deliver(5766986400068430867),
    ];
    let mut w = after_failing_everywhere(ops);
    quiet_ending(&mut w).expect("nobody waits for long");
}

#[test]
fn a_report_older_than_the_last_start_settles_nothing() {
    // A start with no answer may still arrive: only a token at least as high
    // as the start's, in the worker's own words, shows that it can't.
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    m.add_job(record(job(1, 1, 4.0)), now);
    m.plan(now);
    let w = m.take_writes(now);
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
        m.machines[&id].slots.len(),
        1,
        "unanswered is unknown, not failed"
    );
    let mut later = heartbeat("i-1", "small", "north", false, 7, 3);
    later.token = c.token;
    m.apply_heartbeat(&later, now + secs(3));
    assert!(m.machines[&id].slots.is_empty());
}

#[test]
fn a_reply_never_carries_the_token_of_a_command_on_its_way() {
    // Else the worker would report that token though the command, and the
    // start in it, is still to come, and is accepted with an equal token.
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    m.machines.get_mut(&id).expect("known").needs_probe = true;
    let c = m.next_command(&id, now).expect("a command").batch;
    assert!(m.heartbeat_response(&id, 7 << 20, now).expect("a token").token < c.token);
    m.machines.get_mut(&id).expect("known").seen_token = 3 << 20;
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
fn a_start_that_strayed_is_refused_for_good_once_its_job_is_cancelled() {
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
    m.take_writes(now)
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
    assert!(m.machines[&id].slots.is_empty(), "and that settles its place");
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
    let w = m.take_writes(now);
    w.iter().for_each(|w| m.write_finished(w, true, now));
    let c = m.next_command(&id, now).expect("starts").batch;
    let mut r = heartbeat("i-1", "small", "north", false, 7, 2);
    r.token = c.token;
    r.tasks = ended(&m, &id, 1);
    m.command_finished(&id, Some(&r), now);
    let w = m.take_writes(now + secs(1));
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
fn an_older_message_changes_nothing() {
    // Reports held back by the network arrive after newer ones; their tasks
    // are as old as they are.
    let now = start();
    let mut m = model(7);
    let mut r = heartbeat("i-1", "small", "north", false, 7, 5);
    r.incarnation = 2;
    m.apply_heartbeat(&r, now);
    let id = MachineId::from("i-1");
    for (incarnation, sequence) in [(1, 9), (2, 4), (2, 5)] {
        let mut old = heartbeat("i-1", "small", "north", false, 7, sequence);
        old.incarnation = incarnation;
        old.tasks = vec![ReportedTask {
            task: "job-000001/0".parse().expect("a task"),
            attempt: 1,
            state: TaskState::Running,
            exit_reason: None,
            saved: None,
        }];
        assert_eq!(
            m.apply_heartbeat(&old, now),
            bitternfold::core::evidence::heartbeats::HeartbeatOutcome::Outdated
        );
        assert!(m.machines[&id].slots.is_empty());
        assert_eq!(m.machines[&id].newest_message, (2, 5));
    }
}

#[test]
fn a_leader_that_only_the_workers_cant_hear_notices() {
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

#[test]
fn words_older_than_the_fence_make_no_places() {
    // A new leader may hear late copies first: what they list is not there any
    // more, and a place made for it would keep its task from starting elsewhere.
    let now = start();
    let mut m = model(9);
    m.add_job(record(job(1, 1, 4.0)), now);
    let mut late = heartbeat("i-1", "small", "north", false, 8, 400);
    late.tasks = vec![ReportedTask {
        task: "job-000001/0".parse().expect("a task"),
        attempt: (8 << 20) + 1,
        state: TaskState::Running,
        exit_reason: None,
        saved: None,
    }];
    m.apply_heartbeat(&late, now);
    let id = MachineId::from("i-1");
    assert!(m.machines[&id].slots.is_empty());
    assert_eq!(m.jobs.values().next().expect("the job").waiting.count(), 1);
    // In its own words, after the fence, it counts.
    late.token = 9 << 20;
    late.sequence += 1;
    m.apply_heartbeat(&late, now);
    assert_eq!(m.machines[&id].slots.len(), 1);
    assert_eq!(m.jobs.values().next().expect("the job").waiting.count(), 0);
}

#[test]
fn a_gone_machine_stays_gone_in_the_next_term() {
    // Late copies of its reports must not bring it back into the fleet.
    let now = start();
    let mut m = model(7);
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    m.released(&MachineId::from("i-1"), now);
    let mut next = model(8);
    for w in m.take_writes(now) {
        if let PendingWrite::WriteAheadLog(a) = w {
            for (n, v) in a.segments {
                assert!(next.log.load(n, v.expect("written")));
            }
        }
    }
    next.load_log(now);
    let last_heartbeat = next.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 9), now);
    assert_eq!(
        last_heartbeat,
        bitternfold::core::evidence::heartbeats::HeartbeatOutcome::MachineReleased
    );
    assert!(next.machines.is_empty());
}

#[test]
fn a_task_that_is_not_known_is_noticed() {
    let now = start();
    let mut m = model(7);
    let id = MachineId::from("i-1");
    m.apply_heartbeat(&heartbeat("i-1", "small", "north", false, 7, 1), now);
    let rec = record(job(1, 1, 4.0));
    let task = TaskId {
        job: rec.spec.id,
        index: 0,
    };
    m.add_job(rec, now);
    m.plan(now);
    let mut r = heartbeat("i-1", "small", "north", false, 7, 2);
    r.tasks = running(&m, &id);
    assert_eq!(m.unknown_tasks(&r).count(), 0);
    // Another attempt than the one that was placed.
    r.tasks[0].attempt += 1;
    assert_eq!(m.unknown_tasks(&r).count(), 1);
    r.tasks[0].attempt -= 1;
    // Its place is gone, or its job.
    let slot = m
        .machines
        .get_mut(&id)
        .and_then(|x| x.slots.remove(&task))
        .expect("placed");
    assert_eq!(m.unknown_tasks(&r).count(), 1);
    m.machines.get_mut(&id).expect("there").slots.insert(task, slot);
    m.remove_job(task.job);
    assert_eq!(m.unknown_tasks(&r).count(), 1);
    // What has ended is no matter, nor what a machine says before it obeys.
    r.tasks[0].state = TaskState::Exited;
    assert_eq!(m.unknown_tasks(&r).count(), 0);
    r.tasks[0].state = TaskState::Running;
    m.term = 8;
    assert_eq!(m.unknown_tasks(&r).count(), 0);
}
