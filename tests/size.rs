//! Work in proportion to what changed, with a fleet of 6,600 machines, where the service
//! is run with 4,000. Work is counted in allocations, not timed.

mod support;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::time::Instant;

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use support::*;

/// Counts the allocations of each thread.
struct CountingAllocator;

thread_local! {
    static COUNT: Cell<u64> = const { Cell::new(0) };
}

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = COUNT.try_with(|c| c.set(c.get() + 1));
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        System.dealloc(ptr, layout);
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The allocations that an operation makes on this thread, and its result.
fn count_allocations<T>(operation: impl FnOnce() -> T) -> (u64, T) {
    let before = COUNT.with(Cell::get);
    let result = operation();
    (COUNT.with(Cell::get) - before, result)
}

/// Machines of a small fleet.
const SMALL: usize = 660;
/// Machines of a large fleet.
const LARGE: usize = 6600;

fn id(i: usize) -> MachineId {
    format!("i-{i:06}").as_str().into()
}

/// Takes all writes that fall due within 400 s as stored; returns the log segments in them.
fn store_all_writes(model: &mut ClusterModel, now: Instant) -> Vec<(u64, Option<serde_json::Value>)> {
    let mut segments = Vec::new();
    for second in 0..400 {
        for write in model.take_due_writes(now + secs(second)) {
            if let PendingWrite::Append(append) = &write {
                segments.extend(append.segments.iter().cloned());
            }
            model.write_finished(&write, true, now);
        }
    }
    segments
}

/// A model with full machines and thousands of waiting tasks, and the log segments that
/// it has stored.
fn full_cluster(machines: usize, now: Instant) -> (ClusterModel, Vec<(u64, Option<serde_json::Value>)>) {
    let mut model = model(7);
    for i in 0..machines {
        model.apply_heartbeat(&heartbeat(&id(i), "small", "north", false, 7, 1), now);
    }
    for number in 0..machines / 20 {
        // 40 tasks of 4 CPUs: as many as fit on 20 machines of 8 CPUs.
        model.add_job(job_record(job(number as u32, 40, 4.0)), now);
    }
    model.plan(now);
    for number in 0..30 {
        model.add_job(job_record(job(100_000 + number, 100, 4.0)), now);
    }
    let segments = store_all_writes(&mut model, now);
    for due in model.take_due_commands(now, usize::MAX) {
        let mut message = heartbeat(&due.machine, "small", "north", false, 7, 2);
        message.token = due.batch.token;
        message.tasks = reported_running(&model, &due.machine);
        model.command_finished(&due.machine, Some(&message), now);
    }
    let running: usize = model.jobs().values().map(|j| j.running.len()).sum();
    assert_eq!(running, machines * 2, "all machines are full");
    (model, segments)
}

/// A heartbeat of a machine in which its first task has ended.
fn heartbeat_with_one_task_ended(model: &ClusterModel, machine: usize, sequence: u64) -> Heartbeat {
    let mut message = heartbeat(&id(machine), "small", "north", false, 7, sequence);
    message.token = model.machines()[&id(machine)].seen_token;
    message.tasks = reported_ended(model, &id(machine), 1);
    message
}

/// The allocations of each step from a heartbeat to the next start.
struct Costs {
    heartbeat: u64,
    append: u64,
    commands: u64,
    round: u64,
}

#[test]
fn a_heartbeat_a_start_and_an_append_cost_the_same_in_a_large_fleet() {
    let now = start();
    let costs = [SMALL, LARGE].map(|machines| {
        let (mut model, _) = full_cluster(machines, now);
        let message = heartbeat_with_one_task_ended(&model, machines / 2, 3);
        let at = now + secs(1000);
        let (heartbeat_cost, _) = count_allocations(|| {
            model.apply_heartbeat(&message, at);
            model.heartbeat_response(&message.machine, message.token, at)
        });
        let (append, writes) = count_allocations(|| model.take_due_writes(at));
        let bytes: usize = writes
            .iter()
            .filter_map(|w| match w {
                PendingWrite::Append(append) => Some(
                    append
                        .segments
                        .iter()
                        .map(|s| s.1.as_ref().map_or(0, |v| v.to_string().len())),
                ),
                _ => None,
            })
            .flatten()
            .sum();
        assert!(bytes > 0 && bytes <= 2 * 4096, "an append of {bytes} bytes");
        writes
            .iter()
            .for_each(|write| model.write_finished(write, true, at));
        let (round, done) = count_allocations(|| model.plan(at));
        assert_eq!(
            done.started_in_order + done.backfilled,
            1,
            "the free place is taken"
        );
        let writes = model.take_due_writes(at + secs(1));
        writes
            .iter()
            .for_each(|write| model.write_finished(write, true, at));
        let (commands, due) = count_allocations(|| model.take_due_commands(at, 64));
        assert_eq!(due.len(), 1, "one machine has a command due");
        Costs {
            heartbeat: heartbeat_cost,
            append,
            commands,
            round,
        }
    });
    let [small, large] = costs;
    // The open segment is written again as a whole, whatever the fleet.
    assert!(
        large.heartbeat <= small.heartbeat + 8,
        "a heartbeat: {} for {}",
        large.heartbeat,
        small.heartbeat
    );
    assert!(
        large.append <= small.append * 2 + 600,
        "an append: {} for {}",
        large.append,
        small.append
    );
    assert!(
        large.commands <= small.commands + 8,
        "commands: {} for {}",
        large.commands,
        small.commands
    );
    // A round looks at each machine once, at no pair of them.
    assert!(
        large.round <= small.round * 12,
        "a round: {} for {}",
        large.round,
        small.round
    );
}

#[test]
fn a_round_without_waiting_work_costs_the_same_in_a_large_fleet() {
    let now = start();
    let [small, large] = [SMALL, LARGE].map(|machines| {
        let (mut model, _) = full_cluster(machines, now);
        let waiting: Vec<JobId> = model
            .jobs()
            .values()
            .filter(|j| j.waiting.count() > 0)
            .map(|j| j.spec.id)
            .collect();
        waiting.into_iter().for_each(|id| model.remove_job(id));
        count_allocations(|| model.plan(now)).0
    });
    assert!(large <= small + 8, "{large} for {small}");
}

#[test]
fn a_takeover_costs_in_proportion_to_what_is_live() {
    let now = start();
    let [small, large] = [SMALL, LARGE].map(|machines| {
        let (old, segments) = full_cluster(machines, now);
        // Later copies of a segment replace earlier ones.
        let stored: std::collections::BTreeMap<_, _> = segments.into_iter().collect();
        let mut next = support::model(8);
        let (cost, ()) = count_allocations(|| {
            for old_job in old.jobs().values() {
                next.add_job(old_job.record(), now);
            }
            for (number, value) in stored.iter().filter_map(|(n, v)| Some((n, v.clone()?))) {
                assert!(next.load_log_segment(*number, value));
            }
            next.replay_log(now);
        });
        assert_eq!(next.machines().len(), machines);
        let places: usize = next.jobs().values().map(|j| j.place_count as usize).sum();
        assert_eq!(places, machines * 2, "every place is known");
        cost
    });
    assert!(large <= small * 13, "{large} for {small}");
}

#[test]
fn a_new_leader_asks_in_bounded_numbers_and_starts_first() {
    // Thousands of machines must be asked for their tasks. Not all at once: the renewal of
    // the lease must not wait behind them, nor starts on a machine whose heartbeat with
    // this term's token has arrived already.
    let now = start();
    let (old, segments) = full_cluster(LARGE, now);
    let mut model = model(8);
    for old_job in old.jobs().values() {
        model.add_job(old_job.record(), now);
    }
    let stored: std::collections::BTreeMap<_, _> = segments.into_iter().collect();
    for (number, value) in stored {
        assert!(model.load_log_segment(number, value.expect("written")));
    }
    model.replay_log(now);
    assert!(!model.all_machines_fenced());
    let first = model.take_due_commands(now, 64);
    assert_eq!(first.len(), 64);
    assert!(model.take_due_commands(now, 0).is_empty(), "no socket is free");
    // By its heartbeat, the last machine has seen this term's token and has lost its tasks.
    let last = id(LARGE - 1);
    let mut message = heartbeat(&last, "small", "north", false, 8, 90);
    message.token += 5;
    model.apply_heartbeat(&message, now);
    let round = model.plan(now);
    assert!(round.started_in_order + round.backfilled > 0);
    for write in model.take_due_writes(now) {
        model.write_finished(&write, true, now);
    }
    let next = model.take_due_commands(now, 64);
    let starts = |batch: &CommandBatch| batch.commands.iter().any(|c| matches!(c, Command::Start { .. }));
    assert!(next.iter().any(|due| due.machine == last && starts(&due.batch)));
    assert!(next.len() <= 65);
    // Probed in turn, all are reached.
    let mut probed = first.len() + next.len() - 1;
    while probed < LARGE - 1 {
        let more = model.take_due_commands(now, 64).len();
        assert!(more > 0 && more <= 64);
        probed += more;
    }
}

#[test]
fn a_list_of_the_whole_fleet_is_taken_in() {
    // Read by a leader that knows none of the machines, then by one that knows them all.
    let now = start();
    let listed: Vec<ListedMachine> = (0..LARGE)
        .map(|i| ListedMachine {
            id: id(i),
            addr: format!("10.1.{}.{}:9000", i / 250, i % 250),
            machine_type: "small".into(),
            zone: "north".into(),
            spot: false,
            state: CloudMachineState::Running,
            age_s: 60.0,
        })
        .collect();
    let mut model = model(7);
    model.apply_machine_list(&listed, now);
    assert_eq!(model.machines().len(), LARGE);
    let segments = store_all_writes(&mut model, now);
    let mut next = support::model(8);
    for (number, value) in segments.into_iter().collect::<std::collections::BTreeMap<_, _>>() {
        assert!(next.load_log_segment(number, value.expect("written")));
    }
    next.replay_log(now);
    assert_eq!(next.machines().len(), LARGE, "the log names them all");
    let (again, ()) = count_allocations(|| next.apply_machine_list(&listed, now));
    assert_eq!(next.machines().len(), LARGE);
    assert!(
        again <= LARGE as u64 / 2,
        "{again} allocations for a list without a new machine"
    );
}

#[test]
fn the_log_stays_in_proportion_over_a_long_run() {
    // Hours of work on the same machines: segments come and go.
    let now = start();
    let mut model = model(7);
    for i in 0..40 {
        model.apply_heartbeat(&heartbeat(&id(i), "small", "north", false, 7, 1), now);
    }
    let mut stored = std::collections::BTreeMap::new();
    for turn in 0..400u32 {
        let at = now + secs(u64::from(turn) * 2);
        model.add_job(job_record(job(turn, 80, 4.0)), at);
        for i in 0..40 {
            // The worker has removed the tasks that ended in the previous turn.
            let mut message = heartbeat(&id(i), "small", "north", false, 7, 2 + u64::from(turn) * 2);
            message.token = model.machines()[&id(i)].seen_token;
            model.apply_heartbeat(&message, at);
        }
        model.plan(at);
        for write in model.take_due_writes(at) {
            if let PendingWrite::Append(append) = &write {
                for (number, value) in &append.segments {
                    match value {
                        Some(value) => stored.insert(*number, value.to_string().len()),
                        None => stored.remove(number),
                    };
                }
            }
            model.write_finished(&write, true, at);
        }
        // Its tasks are started, run and end.
        for due in model.take_due_commands(at, 64) {
            let mut message = heartbeat(&due.machine, "small", "north", false, 7, 3 + u64::from(turn) * 2);
            message.token = due.batch.token;
            message.tasks = reported_ended(&model, &due.machine, usize::MAX);
            model.command_finished(&due.machine, Some(&message), at);
        }
        model.set_up().jobs.retain(|_, j| !j.is_complete());
    }
    let bytes: usize = stored.values().sum();
    assert!(
        stored.len() <= 16 && bytes <= 16 * 4096,
        "{} segments, {bytes} bytes",
        stored.len()
    );
}

#[test]
fn waiting_tasks_cost_nothing_while_there_is_no_room() {
    // Twenty arrays of as many tasks as a job may have, and of as many as there is
    // room for: a round that finds no room costs the same.
    let now = start();
    let [few, many] = [70, MAX_TASKS_PER_JOB].map(|tasks| {
        let mut model = model(7);
        for i in 0..40 {
            model.apply_heartbeat(&heartbeat(&id(i), "large", "north", true, 7, 1), now);
        }
        for n in 0..20 {
            model.add_job(job_record(job(n, tasks, 1.0)), now);
        }
        let round = model.plan(now);
        assert_eq!(round.started_in_order + round.backfilled, 40 * 32);
        count_allocations(|| model.plan(now + std::time::Duration::from_millis(1))).0
    });
    assert!(many <= few + 64, "{many} for {few}");
}
