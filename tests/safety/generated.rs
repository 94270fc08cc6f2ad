//! Generated troubles: nothing is done twice or too early meanwhile, and all work is done
//! once they are over.

use std::collections::{BTreeMap, BTreeSet};

use bitternfold::wire::*;
use proptest::prelude::*;

use crate::cluster::{Op, World};
use crate::support::*;

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
        let dead: Vec<MachineId> = w
            .model
            .machines()
            .keys()
            .filter(|id| !alive(id))
            .cloned()
            .collect();
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
