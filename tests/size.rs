//! The cost of each step depends on what changed, not on all that there is: tested with 6,600
//! machines, where the service is run with 4,000. The cost is counted in allocations, not timed.

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

/// Runs an operation. Returns the number of allocations that it made on this thread, and its
/// result.
fn count_allocations<T>(operation: impl FnOnce() -> T) -> (u64, T) {
    let before = COUNT.with(Cell::get);
    let result = operation();
    (COUNT.with(Cell::get) - before, result)
}

/// Number of machines in the small fleet.
const SMALL_FLEET: usize = 660;
/// Number of machines in the large fleet.
const LARGE_FLEET: usize = 6600;

fn machine_id(i: usize) -> MachineId {
    format!("i-{i:06}").as_str().into()
}

/// Takes all writes that become due within 400 s and reports them as stored. Returns the log
/// segments among them.
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
        model.apply_heartbeat(&heartbeat(&machine_id(i), "small", "north", false, 7, 1), now);
    }
    for number in 0..machines / 20 {
        // 40 tasks of 4 CPUs: as many as fit on 20 machines of 8 CPUs.
        model.add_job(job_record(job(number as u32, 40, 4.0)), now);
    }
    model.run_scheduling_round(now);
    for number in 0..30 {
        model.add_job(job_record(job(100_000 + number, 100, 4.0)), now);
    }
    let segments = store_all_writes(&mut model, now);
    for due in model.take_due_batches(now, usize::MAX) {
        let mut message = heartbeat(&due.machine, "small", "north", false, 7, 2);
        message.token = due.batch.token;
        message.tasks = reported_running(&model, &due.machine);
        model.batch_finished(&due.machine, Some(&message), now);
    }
    let running: usize = model.jobs().values().map(|j| j.running.len()).sum();
    assert_eq!(running, machines * 2, "all machines are full");
    (model, segments)
}

/// A heartbeat of a machine in which its first task has ended.
fn heartbeat_with_one_task_ended(model: &ClusterModel, machine: usize, sequence: u64) -> Heartbeat {
    let mut message = heartbeat(&machine_id(machine), "small", "north", false, 7, sequence);
    message.token = model.machines()[&machine_id(machine)].seen_token;
    message.tasks = reported_ended(model, &machine_id(machine), 1);
    message
}

/// Allocations of each step from a heartbeat to the next start.
struct Costs {
    heartbeat: u64,
    append: u64,
    commands: u64,
    round: u64,
}

#[test]
fn each_step_from_a_heartbeat_to_the_next_start_has_a_bounded_cost_in_a_large_fleet() {
    let now = start();
    let costs = [SMALL_FLEET, LARGE_FLEET].map(|machines| {
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
        let (round, done) = count_allocations(|| model.run_scheduling_round(at));
        assert_eq!(
            done.placed_in_order + done.backfilled,
            1,
            "the freed capacity is used"
        );
        let writes = model.take_due_writes(at + secs(1));
        writes
            .iter()
            .for_each(|write| model.write_finished(write, true, at));
        let (commands, due) = count_allocations(|| model.take_due_batches(at, 64));
        assert_eq!(due.len(), 1, "one machine has a command due");
        Costs {
            heartbeat: heartbeat_cost,
            append,
            commands,
            round,
        }
    });
    let [small, large] = costs;
    assert!(
        large.heartbeat <= small.heartbeat + 8,
        "allocations for a heartbeat: {} in the large fleet, {} in the small one",
        large.heartbeat,
        small.heartbeat
    );
    // An append writes the open segment again as a whole, whatever the size of the fleet.
    assert!(
        large.append <= small.append * 2 + 600,
        "allocations for an append: {} in the large fleet, {} in the small one",
        large.append,
        small.append
    );
    assert!(
        large.commands <= small.commands + 8,
        "allocations for commands: {} in the large fleet, {} in the small one",
        large.commands,
        small.commands
    );
    // A round visits each machine once, but no pairs of machines.
    assert!(
        large.round <= small.round * 12,
        "allocations for a round: {} in the large fleet, {} in the small one",
        large.round,
        small.round
    );
}

#[test]
fn a_round_without_waiting_tasks_costs_the_same_in_a_large_fleet() {
    let now = start();
    let [small, large] = [SMALL_FLEET, LARGE_FLEET].map(|machines| {
        let (mut model, _) = full_cluster(machines, now);
        let waiting: Vec<JobId> = model
            .jobs()
            .values()
            .filter(|j| j.waiting.count() > 0)
            .map(|j| j.spec.id)
            .collect();
        waiting.into_iter().for_each(|id| model.remove_job(id));
        count_allocations(|| model.run_scheduling_round(now)).0
    });
    assert!(
        large <= small + 8,
        "{large} allocations in the large fleet, {small} in the small one"
    );
}

#[test]
fn the_cost_of_a_takeover_is_proportional_to_live_jobs_and_machines() {
    let now = start();
    let [small, large] = [SMALL_FLEET, LARGE_FLEET].map(|machines| {
        let (old_model, segments) = full_cluster(machines, now);
        // A later version of a segment replaces earlier ones.
        let stored: std::collections::BTreeMap<_, _> = segments.into_iter().collect();
        let mut new_model = support::model(8);
        let (cost, ()) = count_allocations(|| {
            for old_job in old_model.jobs().values() {
                new_model.add_job(old_job.to_record(), now);
            }
            for (number, value) in stored.iter().filter_map(|(n, v)| Some((n, v.clone()?))) {
                assert!(new_model.load_log_segment(*number, value));
            }
            new_model.replay_log(now);
        });
        assert_eq!(new_model.machines().len(), machines);
        let places: usize = new_model.jobs().values().map(|j| j.place_count as usize).sum();
        assert_eq!(places, machines * 2, "every place is known");
        cost
    });
    assert!(
        large <= small * 13,
        "{large} allocations in the large fleet, {small} in the small one"
    );
}

#[test]
fn a_new_leader_limits_its_probes_and_starts_do_not_wait_for_them() {
    // A new leader has to probe thousands of machines for their tasks, but not all at once.
    // Neither the renewal of its lease may queue behind the probes, nor the starts for machines
    // that have reported a token of this term already.
    let now = start();
    let (old_model, segments) = full_cluster(LARGE_FLEET, now);
    let mut model = model(8);
    for old_job in old_model.jobs().values() {
        model.add_job(old_job.to_record(), now);
    }
    let stored: std::collections::BTreeMap<_, _> = segments.into_iter().collect();
    for (number, value) in stored {
        assert!(model.load_log_segment(number, value.expect("written")));
    }
    model.replay_log(now);
    assert!(!model.all_machines_fenced());
    let first = model.take_due_batches(now, 64);
    assert_eq!(first.len(), 64);
    assert!(model.take_due_batches(now, 0).is_empty(), "no probe is allowed");
    // By its heartbeat, the last machine has seen a token of this term and its tasks are gone.
    let last = machine_id(LARGE_FLEET - 1);
    let mut message = heartbeat(&last, "small", "north", false, 8, 90);
    message.token += 5;
    model.apply_heartbeat(&message, now);
    let round = model.run_scheduling_round(now);
    assert!(round.placed_in_order + round.backfilled > 0);
    for write in model.take_due_writes(now) {
        model.write_finished(&write, true, now);
    }
    let second = model.take_due_batches(now, 64);
    let starts = |batch: &CommandBatch| batch.commands.iter().any(|c| matches!(c, Command::Start { .. }));
    assert!(second.iter().any(|due| due.machine == last && starts(&due.batch)));
    assert!(second.len() <= 65);
    // All machines are probed in turn.
    let mut probed = first.len() + second.len() - 1;
    while probed < LARGE_FLEET - 1 {
        let more = model.take_due_batches(now, 64).len();
        assert!(more > 0 && more <= 64);
        probed += more;
    }
}

#[test]
fn a_machine_list_adds_the_whole_fleet_and_costs_little_when_repeated() {
    // The list is applied by a leader that knows none of the machines, then by one that knows
    // them all.
    let now = start();
    let listed: Vec<ListedMachine> = (0..LARGE_FLEET)
        .map(|i| ListedMachine {
            id: machine_id(i),
            address: format!("10.1.{}.{}:9000", i / 250, i % 250),
            machine_type: "small".into(),
            zone: "north".into(),
            spot: false,
            state: CloudMachineState::Running,
            age_s: 60.0,
        })
        .collect();
    let mut model = model(7);
    model.apply_machine_list(&listed, now);
    assert_eq!(model.machines().len(), LARGE_FLEET);
    let segments = store_all_writes(&mut model, now);
    let mut new_model = support::model(8);
    for (number, value) in segments.into_iter().collect::<std::collections::BTreeMap<_, _>>() {
        assert!(new_model.load_log_segment(number, value.expect("written")));
    }
    new_model.replay_log(now);
    assert_eq!(new_model.machines().len(), LARGE_FLEET, "the log names them all");
    let (repeated, ()) = count_allocations(|| new_model.apply_machine_list(&listed, now));
    assert_eq!(new_model.machines().len(), LARGE_FLEET);
    assert!(
        repeated <= LARGE_FLEET as u64 / 2,
        "{repeated} allocations for a list without a new machine"
    );
}

#[test]
fn the_log_stays_short_over_a_long_run() {
    // 400 jobs run on the same machines one after the other, over 800 s: segments are written
    // and deleted.
    let now = start();
    let mut model = model(7);
    for i in 0..40 {
        model.apply_heartbeat(&heartbeat(&machine_id(i), "small", "north", false, 7, 1), now);
    }
    let mut stored = std::collections::BTreeMap::new();
    for turn in 0..400u32 {
        let at = now + secs(u64::from(turn) * 2);
        model.add_job(job_record(job(turn, 80, 4.0)), at);
        for i in 0..40 {
            // The worker has forgotten the tasks that ended in the previous turn.
            let mut message = heartbeat(
                &machine_id(i),
                "small",
                "north",
                false,
                7,
                2 + u64::from(turn) * 2,
            );
            message.token = model.machines()[&machine_id(i)].seen_token;
            model.apply_heartbeat(&message, at);
        }
        model.run_scheduling_round(at);
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
        // The job's tasks are started, run and are done.
        for due in model.take_due_batches(at, 64) {
            let mut message = heartbeat(&due.machine, "small", "north", false, 7, 3 + u64::from(turn) * 2);
            message.token = due.batch.token;
            message.tasks = reported_ended(&model, &due.machine, usize::MAX);
            model.batch_finished(&due.machine, Some(&message), at);
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
fn a_round_without_free_capacity_costs_the_same_however_many_tasks_wait() {
    // Twenty arrays of 70 tasks, just more than there is capacity for, or of as many tasks as a
    // job may have: a round that finds no free capacity costs the same.
    let now = start();
    let [few, many] = [70, MAX_TASKS_PER_JOB].map(|tasks| {
        let mut model = model(7);
        for i in 0..40 {
            model.apply_heartbeat(&heartbeat(&machine_id(i), "large", "north", true, 7, 1), now);
        }
        for n in 0..20 {
            model.add_job(job_record(job(n, tasks, 1.0)), now);
        }
        let round = model.run_scheduling_round(now);
        assert_eq!(round.placed_in_order + round.backfilled, 40 * 32);
        count_allocations(|| model.run_scheduling_round(now + std::time::Duration::from_millis(1))).0
    });
    assert!(
        many <= few + 64,
        "{many} allocations with many waiting tasks, {few} with few"
    );
}
