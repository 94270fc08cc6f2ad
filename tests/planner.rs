//! PV-EASY: its invariants under generated clusters, and its steps one by one.

mod support;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bitternfold::core::scheduling::admission::{admissible, type_allowed, AdmissionError};
use bitternfold::core::scheduling::probation::FailureHistory;
use bitternfold::core::scheduling::ranking::Tier;
use bitternfold::core::state::job::Job;
use bitternfold::core::state::slot::SlotState;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use proptest::prelude::*;
use support::*;

/// Adds a machine that may be placed on.
fn add(m: &mut ClusterModel, id: &str, kind: &str, zone: &str, spot: bool, now: Instant) {
    m.apply_heartbeat(&heartbeat(id, kind, zone, spot, m.term, 1), now);
}

fn tasks_on(m: &ClusterModel, id: &str) -> Vec<String> {
    m.machines[&MachineId::from(id)]
        .slots
        .keys()
        .map(|t| t.to_string())
        .collect()
}

/// Marks all that is placed as running since `now`.
fn run_all(m: &mut ClusterModel, now: Instant) {
    for s in m.machines.values_mut().flat_map(|m| m.slots.values_mut()) {
        if s.state == SlotState::Placed {
            s.state = SlotState::Running;
            s.running_since = Some(now);
            s.start_token = m.term << 20;
        }
    }
}

fn check_placements(m: &ClusterModel) -> Result<(), TestCaseError> {
    let mut cpus: HashMap<String, f64> = HashMap::new();
    let mut places: HashMap<TaskId, u32> = HashMap::new();
    for mac in m.machines.values() {
        let kind = m
            .types
            .iter()
            .find(|t| t.name == mac.machine_type)
            .expect("a type");
        let (mut c, mut mem) = (0.0, 0.0);
        for (task, s) in mac.slots.iter().filter(|(_, s)| s.takes_room()) {
            let spec = s.spec.as_ref().expect("a job");
            *places.entry(*task).or_default() += 1;
            *cpus.entry(spec.team.clone()).or_default() += spec.cpus;
            if s.stop.is_none() {
                c += spec.cpus;
                mem += spec.memory_gb;
            }
            prop_assert!(type_allowed(spec, kind), "forbidden type");
            prop_assert!(spec.spot || !mac.spot, "forbidden kind");
            prop_assert!(
                spec.zone.as_ref().is_none_or(|z| *z == mac.zone),
                "forbidden zone"
            );
        }
        prop_assert!(
            c <= kind.cpus + 1e-6 && mem <= kind.memory_gb + 1e-6,
            "machine overfull"
        );
    }
    prop_assert!(places.values().all(|n| *n == 1), "a task in two places");
    prop_assert!(
        cpus.get("red").copied().unwrap_or(0.0) <= 40.0 + 1e-6,
        "above the team's limit"
    );
    for (id, job) in &m.jobs {
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for mac in job.places.values().flatten() {
            *zones.entry(m.machines[mac].zone.as_str()).or_default() += 1;
        }
        if job.spec.one_zone {
            prop_assert!(zones.len() <= 1, "{id} in two zones");
        }
        if job.spec.spread {
            prop_assert!(
                zones.values().all(|n| *n <= job.spec.tasks.div_ceil(2)),
                "{id} not spread"
            );
        }
        if job.spec.kind == JobKind::Gang {
            let placed = job.places.len() as u32;
            prop_assert!(placed == 0 || placed == job.spec.tasks, "{id} is placed in part");
        }
    }
    Ok(())
}

fn any_job(n: u32) -> impl Strategy<Value = JobSpec> {
    (
        1..9u32,
        1..20u32,
        0..3u8,
        0..4u8,
        any::<[bool; 5]>(),
        0..4u8,
        1..200u32,
    )
        .prop_map(move |(tasks, cpus, kind, prio, b, place, est)| {
            let mut j = job(n, tasks, f64::from(cpus) / 2.0);
            j.kind = [JobKind::Array, JobKind::Service, JobKind::Gang][kind as usize];
            j.priority = [
                Priority::Low,
                Priority::Normal,
                Priority::High,
                Priority::Production,
            ][prio as usize];
            j.spot = b[0];
            j.one_zone = b[1] && b[2];
            j.spread = b[1] && !b[2] && b[4];
            j.team = if b[3] { "red" } else { "blue" }.into();
            j.zone = (place == 1).then(|| "south".into());
            j.types = (place == 2).then(|| vec!["large".into()]);
            j.estimate_s = f64::from(est);
            j
        })
}

fn any_jobs() -> impl Strategy<Value = Vec<JobSpec>> {
    (1..12u32).prop_flat_map(|n| (0..n).map(any_job).collect::<Vec<_>>())
}

/// A second passes on four machines: tasks that have run for `run` seconds are
/// done, what fits is placed.
fn turn(m: &mut ClusterModel, s: u64, t: Instant, run: u64) {
    for i in 0..4 {
        let mut r = heartbeat(&format!("i-{i}"), "small", "north", false, 5, s + 10);
        r.token = (5 << 20) + 900;
        let id = MachineId::from(format!("i-{i}").as_str());
        r.tasks = m.machines[&id]
            .slots
            .iter()
            .filter(|(_, x)| x.takes_room())
            .map(|(task, x)| {
                let over = t >= x.placed_at + secs(run);
                ReportedTask {
                    task: *task,
                    attempt: x.attempt,
                    state: if over {
                        TaskState::Exited
                    } else {
                        TaskState::Running
                    },
                    exit_reason: over.then_some(ExitReason::Done),
                    saved: None,
                }
            })
            .collect();
        m.apply_heartbeat(&r, t);
    }
    m.plan(t);
    for x in m.machines.values_mut().flat_map(|x| x.slots.values_mut()) {
        x.start_token = 5 << 20;
    }
}

#[test]
fn an_overload_leaves_no_class_team_or_size_unserved() {
    // Ten minutes of nearly twice what the machines can do: all that has waited
    // for four minutes has begun by then, whatever its priority, team or size, and
    // once it ends all is done, the widest, too.
    let now = start();
    let mut m = model(5);
    for i in 0..4 {
        add(&mut m, &format!("i-{i}"), "small", "north", false, now);
    }
    let mut arrived: HashMap<JobId, (u64, u32)> = HashMap::new();
    let mut n = 0;
    let mut s = 0;
    while s < 600 || m.jobs.values().any(|j| !j.is_complete()) {
        let t = now + secs(s);
        let mut come = |m: &mut ClusterModel, every: u64, tasks: u32, priority: Priority| {
            if s < 600 && s % every == 0 {
                n += 1;
                let mut j = job(n, tasks, 4.0);
                j.priority = priority;
                j.team = if n % 2 == 0 { "red" } else { "blue" }.into();
                j.class = format!("{priority:?}");
                j.estimate_s = 20.0;
                j.deadline_s = (n % 3 > 0).then_some(60.0);
                arrived.insert(j.id, (s, tasks));
                m.add_job(record(j), t);
            }
        };
        come(&mut m, 10, 3, Priority::High);
        come(&mut m, 40, 8, Priority::Normal);
        come(&mut m, 120, 24, Priority::Low);
        turn(&mut m, s, t, 20);
        for j in m.jobs.values().filter(|j| !j.has_started()) {
            let waited = s - arrived[&j.spec.id].0;
            assert!(
                waited < 220,
                "{} of {:?} has waited {waited} s",
                j.spec.id,
                j.spec.priority
            );
        }
        s += 1;
        assert!(s < 1800, "work is left over");
    }
    assert!(s > 900, "it was an overload: {s} s");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Never above a limit, never a forbidden place; only shadow and young
    /// borrowed load is preempted, and only for a job that outranks it.
    #[test]
    fn rounds_keep_the_rules(
        first in any_jobs(),
        second in any_jobs(),
        machines in proptest::collection::vec(any::<[bool; 3]>(), 1..7),
    ) {
        let now = start();
        let mut m = model(5);
        for (i, [large, south, spot]) in machines.iter().enumerate() {
            let (kind, zone) = (if *large { "large" } else { "small" }, if *south { "south" } else { "north" });
            add(&mut m, &format!("i-{i}"), kind, zone, *spot, now);
        }
        for j in first { m.add_job(record(j), now); }
        m.plan(now);
        check_placements(&m)?;
        run_all(&mut m, now);
        let later = now + secs(2);
        for mut j in second {
            j.id = format!("{}9", j.id).parse().expect("an id");
            m.add_job(record(j), later);
        }
        let shadow_before: HashMap<TaskId, bool> = m.machines.values()
            .flat_map(|x| x.slots.iter().map(|(t, s)| (*t, s.backfilled))).collect();
        let waiting: HashMap<JobId, u32> = m.jobs.iter().map(|(id, j)| (*id, j.waiting.count())).collect();
        m.plan(later);
        check_placements(&m)?;
        let ranks = m.ranks(later);
        for (task, s) in m.machines.values().flat_map(|x| &x.slots) {
            if s.stop.is_none() { continue; }
            if m.jobs[&task.job].broken_gang() { continue; }
            let own = ranks[&task.job];
            let gained = |j: &Job| j.waiting.count() < waiting[&j.spec.id];
            let for_better = m.jobs.values().any(|j| ranks[&j.spec.id] < own && gained(j));
            prop_assert!(for_better, "{task} is stopped for nobody above it");
            if shadow_before[task] { continue; }
            // Sunny, so it can only have been borrowed load.
            let of = &m.jobs[&task.job];
            let for_higher = m.jobs.values()
                .any(|j| j.spec.priority > of.spec.priority && ranks[&j.spec.id].1 <= Tier::InTime && gained(j));
            prop_assert!(for_higher, "{task} is stopped for no higher priority");
            prop_assert!(of.spec.kind == JobKind::Array && of.spec.deadline_s.is_none(), "{task} was promised");
            prop_assert!(own.1 != Tier::Guaranteed, "{task} was within its team's guarantee");
            let young = m.predict(&of.spec) / 4;
            prop_assert!(s.running_since.is_some_and(|t| later - t < young), "{task} is not young");
            let kept = m.machines.values().flat_map(|x| &x.slots)
                .filter(|(t, s)| t.job == task.job && s.stop.is_none()).count();
            prop_assert!(kept >= 2, "{task} is stopped though its job has hardly begun");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Placing a job's tasks together is a matter of speed: it decides as
    /// placing them one by one does.
    #[test]
    fn rounds_decide_as_the_plain_rule_does(
        first in any_jobs(),
        second in any_jobs(),
        machines in proptest::collection::vec(any::<[bool; 3]>(), 1..9),
    ) {
        let now = start();
        let build = || {
            let mut m = model(5);
            for (i, [large, south, spot]) in machines.iter().enumerate() {
                let (kind, zone) = (if *large { "large" } else { "small" }, if *south { "south" } else { "north" });
                add(&mut m, &format!("i-{i}"), kind, zone, *spot, now);
            }
            m
        };
        let places = |m: &ClusterModel| -> Vec<(MachineId, TaskId, bool, bool)> {
            m.machines.values()
                .flat_map(|x| x.slots.iter().map(|(t, s)| (x.id.clone(), *t, s.backfilled, s.stop.is_some())))
                .collect()
        };
        let (mut a, mut b) = (build(), build());
        for m in [&mut a, &mut b] {
            for j in &first { m.add_job(record(j.clone()), now); }
        }
        prop_assert_eq!(a.plan(now), b.plan_one_by_one(now));
        prop_assert_eq!(places(&a), places(&b));
        let later = now + secs(2);
        for m in [&mut a, &mut b] {
            run_all(m, now);
            for j in &second {
                let mut j = j.clone();
                j.id = format!("{}9", j.id).parse().expect("an id");
                m.add_job(record(j), later);
            }
        }
        prop_assert_eq!(a.plan(later), b.plan_one_by_one(later));
        prop_assert_eq!(places(&a), places(&b));
    }

    /// However much better-placed work keeps coming, the widest arrays of every
    /// class and team begin well within four minutes, and go on to be done.
    #[test]
    fn no_overload_keeps_a_job_from_beginning(
        wide in 8..60u32,
        due in proptest::option::of(10..90u32),
        flood in 1..4u32,
        run in 10..40u64,
    ) {
        let now = start();
        let mut m = model(5);
        for i in 0..4 {
            add(&mut m, &format!("i-{i}"), "small", "north", false, now);
        }
        let mut low = Vec::new();
        for (n, team) in ["red", "blue"].into_iter().enumerate() {
            for prio in [Priority::Low, Priority::Normal] {
                let mut j = job(low.len() as u32 + 900, wide, 4.0);
                j.team = team.into();
                j.class = format!("wide-{n}");
                j.priority = prio;
                j.deadline_s = due.map(f64::from);
                low.push(j.id);
                m.add_job(record(j), now);
            }
        }
        let mut begun: HashMap<JobId, u64> = HashMap::new();
        for s in 0..240u64 {
            let t = now + secs(s);
            // More high-priority work than the machines can ever do.
            for k in 0..flood {
                let mut j = job(10_000 + (s as u32) * 8 + k, 4, 4.0);
                j.priority = Priority::High;
                m.add_job(record(j), t);
            }
            turn(&mut m, s, t, run);
            for id in &low {
                if m.jobs.get(id).is_none_or(|j| j.has_started()) {
                    begun.entry(*id).or_insert(s);
                }
            }
        }
        for id in &low {
            let at = begun.get(id).copied();
            prop_assert!(at.is_some_and(|s| s < 220), "{} began at {:?}", id, at);
        }
    }
}

#[test]
fn jobs_start_by_priority_then_arrival() {
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "small", "north", false, now);
    let mut low = job(1, 1, 8.0);
    low.priority = Priority::Low;
    m.add_job(record(low), now);
    m.add_job(record(job(2, 1, 8.0)), now + secs(1));
    m.add_job(record(job(3, 1, 8.0)), now);
    m.plan(now + secs(1));
    assert_eq!(tasks_on(&m, "i-1"), ["job-000003/0"]);
}

#[test]
fn a_job_at_its_teams_limit_is_skipped_not_the_head() {
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "large", "north", false, now);
    add(&mut m, "i-2", "large", "north", false, now);
    let mut big = job(1, 8, 8.0);
    big.team = "red".into();
    m.add_job(record(big), now);
    m.add_job(record(job(2, 3, 8.0)), now);
    let r = m.plan(now);
    assert_eq!(
        (r.in_order, r.backfilled),
        (8, 0),
        "5 of red's (limit 40), then 3 of blue's"
    );
}

/// One large machine: 24 CPUs sunny until 60 s, 8 free; the head wants 16.
fn blocked() -> (ClusterModel, std::time::Instant) {
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "large", "north", false, now);
    m.add_job(record(job(1, 3, 8.0)), now);
    m.plan(now);
    run_all(&mut m, now);
    m.add_job(record(job(2, 1, 16.0)), now + secs(1));
    (m, now + secs(1))
}

#[test]
fn backfilling_goes_by_predicted_finish_within_the_reservation_first() {
    let (mut m, now) = blocked();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    m.add_job(record(long), now);
    let mut short = job(4, 1, 8.0);
    short.estimate_s = 20.0;
    m.add_job(record(short), now + secs(1));
    let r = m.plan(now + secs(1));
    assert_eq!((r.in_order, r.backfilled, r.preempted), (0, 1, 0));
    assert!(
        tasks_on(&m, "i-1").contains(&"job-000004/0".into()),
        "the short one, though it came later"
    );
}

#[test]
fn leftover_room_goes_by_priority_whatever_the_prediction() {
    let (mut m, now) = blocked();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    m.add_job(record(long), now);
    let r = m.plan(now);
    assert_eq!(r.backfilled, 1);
    assert!(m.machines[&MachineId::from("i-1")]
        .slots
        .values()
        .any(|s| s.backfilled));
}

#[test]
fn shadow_is_killed_when_that_starts_the_head_at_once_and_only_then() {
    let (mut m, now) = blocked();
    let mut long = job(3, 1, 8.0);
    long.estimate_s = 500.0;
    m.add_job(record(long), now);
    m.plan(now);
    run_all(&mut m, now);
    // Killing the shadow gives 8 CPUs: not enough for the head's 16.
    assert_eq!(m.plan(now + secs(1)).preempted, 0);
    // A sunny task ends: now the shadow's 8 and the free 8 start the head.
    let id = MachineId::from("i-1");
    let task = "job-000001/0".parse().expect("a task");
    let attempt = m.machines[&id].slots[&task].attempt;
    let mut r = heartbeat("i-1", "large", "north", false, 1, 2);
    for (t, s) in &m.machines[&id].slots {
        r.tasks.push(ReportedTask {
            task: *t,
            attempt: s.attempt,
            state: if s.attempt == attempt && *t == task {
                TaskState::Exited
            } else {
                TaskState::Running
            },
            exit_reason: (*t == task).then_some(ExitReason::Done),
            saved: None,
        });
    }
    m.apply_heartbeat(&r, now + secs(2));
    let round = m.plan(now + secs(2));
    assert_eq!((round.preempted, round.in_order), (1, 1));
    // The stop goes out before the start, in one command.
    let w = m.take_writes(now + secs(2));
    w.iter().for_each(|w| m.write_finished(w, true, now + secs(2)));
    let (_, c) = m.command(&id, now + secs(2)).expect("a command");
    let stop = c
        .commands
        .iter()
        .position(|c| matches!(c, Command::Stop { .. }))
        .expect("a stop");
    let start = c
        .commands
        .iter()
        .position(|c| matches!(c, Command::Start { .. }))
        .expect("a start");
    assert!(stop < start);
}

#[test]
fn the_last_model_multiplies_the_estimate_and_is_capped_by_it() {
    let mut m = model(1);
    let j = job(1, 1, 1.0);
    assert_eq!(m.predict(&j), secs(60), "no finished job of the team yet");
    m.ratios.insert("blue".into(), 0.5);
    assert_eq!(m.predict(&j), secs(30));
    m.ratios.insert("blue".into(), 3.0);
    assert_eq!(m.predict(&j), secs(60));
}

#[test]
fn the_last_model_learns_from_done_only() {
    // An instantly failing job must not make its team's long jobs look short.
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "small", "north", false, now);
    m.add_job(record(job(1, 1, 1.0)), now);
    m.plan(now);
    let id = MachineId::from("i-1");
    let mut sequence = 2;
    run_all(&mut m, now);
    for (reason, ran, expect) in [
        (ExitReason::Failed, 0, None),
        (ExitReason::Done, 30, Some(33.0 / 60.0)),
    ] {
        let (task, slot) = m.machines[&id]
            .slots
            .iter()
            .next()
            .map(|(t, s)| (*t, s.attempt))
            .expect("placed");
        let mut r = heartbeat("i-1", "small", "north", false, 1, sequence);
        let base = now + secs(sequence);
        r.tasks = vec![ReportedTask {
            task,
            attempt: slot,
            state: TaskState::Running,
            exit_reason: None,
            saved: None,
        }];
        m.apply_heartbeat(&r, base);
        r.sequence += 1;
        r.tasks[0].state = TaskState::Exited;
        r.tasks[0].exit_reason = Some(reason);
        m.apply_heartbeat(&r, base + secs(ran));
        r.sequence += 1;
        r.tasks.clear();
        r.token = (1 << 20) + 900;
        m.apply_heartbeat(&r, base + secs(ran));
        sequence = r.sequence + 1;
        let w = m.take_writes(base + secs(ran));
        w.iter().for_each(|w| m.write_finished(w, true, base));
        assert_eq!(m.ratios.get("blue").copied(), expect);
        m.plan(base + secs(ran));
        run_all(&mut m, base + secs(ran));
    }
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "small", "north", false, now);
    let mut g = job(1, 3, 4.0);
    g.kind = JobKind::Gang;
    m.add_job(record(g), now);
    m.plan(now);
    assert!(tasks_on(&m, "i-1").is_empty(), "two of three would fit");
    add(&mut m, "i-2", "small", "south", false, now);
    m.plan(now);
    let attempts: std::collections::BTreeSet<u64> = m
        .machines
        .values()
        .flat_map(|x| x.slots.values().map(|s| s.attempt))
        .collect();
    assert_eq!(m.jobs.values().next().expect("the job").places.len(), 3);
    assert_eq!(attempts.len(), 1, "a gang's tasks share their attempt");
}

#[test]
fn what_can_never_run_is_told_so() {
    let m = model(1);
    let teams = &m.config.teams;
    let mut j = job(1, 6, 8.0);
    assert_eq!(admissible(&j, teams, &m.types), Ok(()));
    j.team = "red".into();
    assert_eq!(
        admissible(&j, teams, &m.types),
        Ok(()),
        "an array only needs room for one task"
    );
    j.kind = JobKind::Service;
    assert_eq!(
        admissible(&j, teams, &m.types),
        Err(AdmissionError::ExceedsTeamLimit),
        "48 of 40 CPUs at once"
    );
    j.team = "green".into();
    assert_eq!(admissible(&j, teams, &m.types), Err(AdmissionError::UnknownTeam));
    let mut big = job(2, 1, 8.0);
    big.memory_gb = 64.5;
    assert_eq!(
        admissible(&big, teams, &m.types),
        Err(AdmissionError::FitsNoMachineType)
    );
}

/// Tells the model that all tasks on a machine ended so.
fn all_ended(m: &mut ClusterModel, machine: &str, reason: ExitReason, sequence: u64, now: Instant) {
    let id = MachineId::from(machine);
    run_all(m, now);
    let mut r = heartbeat(machine, "small", "north", false, 1, sequence);
    r.tasks = running(m, &id);
    for t in &mut r.tasks {
        (t.state, t.exit_reason) = (TaskState::Exited, Some(reason));
    }
    m.apply_heartbeat(&r, now);
    // Forgotten by the worker, too.
    let mut r = heartbeat(machine, "small", "north", false, 1, sequence + 1);
    r.token = (1 << 20) + 500_000;
    m.apply_heartbeat(&r, now);
}

#[test]
fn a_machine_that_fails_the_tasks_of_several_jobs_is_cordoned() {
    // Jobs that are fine elsewhere, or more than are likely to be bad at once.
    for (jobs, fine) in [(2, true), (3, false)] {
        let now = start();
        let mut m = model(1);
        add(&mut m, "i-1", "small", "north", false, now);
        for n in 1..=jobs {
            m.add_job(record(job(n, 2, 1.0)), now);
        }
        if fine {
            let first = m.jobs.values_mut().next().expect("a job");
            first.waiting.remove(1);
            first.done.insert(1);
        }
        m.plan(now);
        let id = MachineId::from("i-1");
        all_ended(&mut m, "i-1", ExitReason::Failed, 2, now + secs(1));
        assert!(m.machines[&id].cordoned_since.is_some(), "{jobs} jobs");
        add(&mut m, "i-2", "small", "north", false, now + secs(1));
        m.plan(now + secs(1));
        assert!(!tasks_on(&m, "i-2").is_empty() && tasks_on(&m, "i-1").is_empty());
    }
}

#[test]
fn jobs_that_fail_everywhere_cordon_no_machine_and_take_little() {
    // Submitted with a mistake: two such jobs fail wherever they are tried,
    // beside a job that is fine. Only their pauses grow, and not for long.
    let mut now = start();
    let mut m = model(1);
    let ids: Vec<String> = (1..=8).map(|i| format!("i-{i}")).collect();
    ids.iter()
        .for_each(|id| add(&mut m, id, "small", "north", false, now));
    for n in [1, 2] {
        m.add_job(record(job(n, 16, 4.0)), now);
    }
    let bad: Vec<JobId> = m.jobs.keys().copied().collect();
    let mut tries = 0;
    for i in 0..300u64 {
        now += secs(1);
        m.plan(now);
        for id in &ids {
            tries += tasks_on(&m, id).len();
            all_ended(&mut m, id, ExitReason::Failed, 10 + i * 2, now);
        }
    }
    assert!(m.machines.values().all(|x| x.cordoned_since.is_none()));
    assert!((18..80).contains(&tries), "{tries} tries in 300 s");
    let longest = m
        .jobs
        .values()
        .filter_map(|j| j.pause_until)
        .max()
        .expect("a pause");
    assert!(longest <= now + secs(20));
    // One was only unlucky: it is tried again in time, and then runs in full.
    let job = m.jobs.get_mut(&bad[0]).expect("known");
    job.done.insert(0);
    job.waiting.remove(0);
    job.failures.clear();
    job.pause_until = None;
    m.plan(now + secs(1));
    assert_eq!(
        m.jobs[&bad[0]].waiting.count(),
        0,
        "15 tasks on 8 machines of 8 CPUs"
    );
}

#[test]
fn a_job_whose_other_tasks_run_on_is_not_blamed_for_its_failures() {
    // Three sick machines among good ones, and no task is done for long: tried
    // on one at a time, its other tasks would wait beside free machines.
    let now = start();
    let mut m = model(1);
    let ids: Vec<String> = (1..=4).map(|i| format!("i-{i}")).collect();
    ids.iter()
        .for_each(|id| add(&mut m, id, "small", "north", false, now));
    m.add_job(record(job(1, 4, 8.0)), now);
    m.plan(now);
    let mut r = heartbeat("i-1", "small", "north", false, 1, 2);
    r.tasks = running(&m, &"i-1".into());
    m.apply_heartbeat(&r, now + secs(1));
    for id in &ids[1..] {
        all_ended(&mut m, id, ExitReason::Failed, 2, now + secs(2));
    }
    let only = m.jobs.values().next().expect("the job");
    assert_eq!(
        m.admitted(only, now + secs(3)),
        1,
        "so far it may fail everywhere"
    );
    assert!(
        m.admitted(only, now + secs(60)) >= 4,
        "one task runs on and on: all are admitted"
    );
    add(&mut m, "i-5", "small", "north", false, now + secs(60));
    add(&mut m, "i-6", "small", "north", false, now + secs(60));
    m.plan(now + secs(60));
    assert_eq!(tasks_on(&m, "i-5").len() + tasks_on(&m, "i-6").len(), 2);
}

#[test]
fn a_cordon_ends_whether_or_not_the_machine_runs_something() {
    // An empty machine goes back to the cloud, but the cloud may refuse that for
    // long. One with long tasks stays, and its room with it. What ailed either
    // may be over.
    for busy in [false, true] {
        let now = start();
        let mut m = model(1);
        add(&mut m, "i-1", "small", "north", false, now);
        if busy {
            m.add_job(record(job(1, 1, 4.0)), now);
            m.plan(now);
        }
        let id = MachineId::from("i-1");
        m.machines.get_mut(&id).expect("known").cordoned_since = Some(now);
        m.add_job(record(job(2, 1, 4.0)), now);
        m.plan(now + secs(30));
        assert_eq!(tasks_on(&m, "i-1").len(), usize::from(busy), "still cordoned");
        let mut r = heartbeat("i-1", "small", "north", false, 1, 9);
        r.tasks = running(&m, &id);
        m.apply_heartbeat(&r, now + secs(60));
        m.plan(now + secs(60));
        assert_eq!(tasks_on(&m, "i-1").len(), 1 + usize::from(busy));
    }
}

/// Machines full of a job of low priority that was started in order and has
/// run for `run`, and a job of ordinary priority that then finds no room. What
/// is stopped for it in the next round.
fn stopped_for_urgent_work(
    low: impl Fn(&mut JobSpec),
    urgent: impl Fn(&mut JobSpec),
    run: Duration,
) -> (ClusterModel, usize) {
    let now = start();
    let mut m = model(5);
    for i in 0..4 {
        add(&mut m, &format!("i-{i}"), "small", "north", false, now);
    }
    let mut spec = job(1, 8, 4.0);
    spec.priority = Priority::Low;
    spec.estimate_s = 300.0;
    low(&mut spec);
    m.add_job(record(spec), now);
    m.plan(now);
    run_all(&mut m, now);
    let later = now + run;
    for i in 0..4 {
        let id = format!("i-{i}");
        let mut r = heartbeat(&id, "small", "north", false, 5, 2);
        r.tasks = running(&m, &id.as_str().into());
        m.apply_heartbeat(&r, later);
    }
    let mut spec = job(2, 3, 4.0);
    spec.deadline_s = Some(120.0);
    urgent(&mut spec);
    m.add_job(record(spec), later);
    m.plan(later);
    let slots = m.machines.values().flat_map(|x| x.slots.values());
    let stopped = slots.filter(|s| s.stop.is_some()).count();
    (m, stopped)
}

#[test]
fn young_borrowed_tasks_make_room_for_urgent_work() {
    // A guest without a guarantee filled all machines in order, so that none of
    // its tasks was shadow load, right before work with a deadline arrived.
    let as_is = |_: &mut JobSpec| {};
    let (m, stopped) = stopped_for_urgent_work(as_is, as_is, secs(20));
    assert_eq!(stopped, 3);
    let ids: Vec<JobId> = m.jobs.keys().copied().collect();
    assert_eq!(m.jobs[&ids[1]].waiting.count(), 0, "they are placed at once");
    assert!(
        m.jobs[&ids[0]].pause_until.is_some(),
        "the guest's refills no gaps"
    );
    // More is asked for than may be stopped: two of the guest's go on.
    let (_, stopped) = stopped_for_urgent_work(as_is, |s| s.tasks = 20, secs(20));
    assert_eq!(stopped, 6);
    // Much work would be lost.
    let (_, stopped) = stopped_for_urgent_work(as_is, as_is, secs(80));
    assert_eq!(stopped, 0, "no longer young");
    // Its user was told a time.
    let (_, stopped) = stopped_for_urgent_work(|s| s.deadline_s = Some(900.0), as_is, secs(20));
    assert_eq!(stopped, 0, "promised");
    // It belongs to its team: red has 16 CPUs for itself.
    let reds = |s: &mut JobSpec| (s.team, s.tasks) = ("red".into(), 4);
    let (_, stopped) = stopped_for_urgent_work(reds, |s| s.tasks = 8, secs(20));
    assert_eq!(stopped, 0, "guaranteed");
    let (_, stopped) = stopped_for_urgent_work(as_is, |s| s.priority = Priority::Low, secs(20));
    assert_eq!(stopped, 0, "not of higher priority");
    let (_, stopped) = stopped_for_urgent_work(as_is, |s| s.deadline_s = Some(10.0), secs(20));
    assert_eq!(stopped, 0, "too late anyhow");
}

#[test]
fn stops_of_borrowed_tasks_pause_their_job_for_a_bounded_time() {
    // A pause that each stop prolonged would let other tasks wait beside room
    // that the blocked head can't use, for as long as stops go on.
    let as_is = |_: &mut JobSpec| {};
    let (mut m, stopped) = stopped_for_urgent_work(as_is, as_is, secs(20));
    assert_eq!(stopped, 3);
    let guest = *m.jobs.keys().next().expect("the guest's job");
    let end = m.jobs[&guest].pause_until.expect("a pause");
    let mut again = job(3, 1, 4.0);
    again.deadline_s = Some(120.0);
    let at = end - secs(1);
    for i in 0..4 {
        let id = format!("i-{i}");
        let mut r = heartbeat(&id, "small", "north", false, 5, 3);
        r.tasks = running(&m, &id.as_str().into());
        m.apply_heartbeat(&r, at);
    }
    m.add_job(record(again), at);
    m.plan(at);
    let slots = m.machines.values().flat_map(|x| x.slots.values());
    assert_eq!(
        slots.filter(|s| s.stop.is_some()).count(),
        4,
        "one more is stopped"
    );
    assert_eq!(m.jobs[&guest].pause_until, Some(end));
}

/// A job of so many tasks that failed on three machines at `now`, each time
/// after it had run for `run`, and eight more machines with room.
fn failed_on_three_machines(tasks: u32, run: Duration, now: Instant) -> ClusterModel {
    let mut m = model(1);
    m.add_job(record(job(1, tasks, 4.0)), now);
    let only = m.jobs.values_mut().next().expect("the job");
    fail_on_three_machines(only, run, now);
    only.pause_until = Some(now + only.failures.pause());
    for i in 1..=8 {
        add(&mut m, &format!("i-{i}"), "small", "north", false, now);
    }
    m
}

/// Keeps the machines reporting and plans once a second for so long; how many
/// tasks are placed after each second.
fn placed_each_second(m: &mut ClusterModel, now: Instant, seconds: u64, runs: bool) -> Vec<u32> {
    let mut placed = Vec::new();
    for i in 1..=seconds {
        let at = now + secs(i);
        for n in 1..=8 {
            let id = format!("i-{n}");
            let mut r = heartbeat(&id, "small", "north", false, 1, 1 + i);
            let here = id.as_str().into();
            r.tasks = if runs {
                running(m, &here)
            } else {
                fetching(m, &here)
            };
            m.apply_heartbeat(&r, at);
        }
        m.plan(at);
        placed.push(m.jobs.values().next().expect("the job").placed);
    }
    placed
}

#[test]
fn more_tasks_of_a_job_on_probation_are_tried_after_each_one_that_survives() {
    // However late its tasks failed: a trial is no longer than its bound.
    for run in [secs(0), secs(1), secs(300)] {
        let now = start();
        let mut m = failed_on_three_machines(16, run, now);
        let placed = placed_each_second(&mut m, now, 45, true);
        assert_eq!(placed[0], 0, "it pauses");
        let single = placed.iter().filter(|p| **p == 1).count();
        assert!((5..=12).contains(&single), "one task is tried for {single} s");
        assert!(placed.contains(&4), "then four: {placed:?}");
        assert_eq!(placed[44], 16, "then all: {placed:?}");
    }
}

#[test]
fn probation_ends_even_if_no_trial_ever_runs() {
    // The one task that is tried waits for its image for ever; the others would
    // wait with it beside free machines.
    let now = start();
    let mut m = failed_on_three_machines(16, secs(300), now);
    let placed = placed_each_second(&mut m, now, 65, false);
    assert_eq!(placed[50], 1, "{placed:?}");
    assert_eq!(placed[64], 16, "{placed:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// A job that goes on failing is paused no longer and its trials are no
    /// longer than their bounds, whatever came before.
    #[test]
    fn pauses_and_trials_are_bounded(runs in proptest::collection::vec(0..100_000u64, 1..60)) {
        let now = start();
        let mut failures = FailureHistory::default();
        for (i, run) in runs.iter().enumerate() {
            let machine = format!("i-{i}");
            failures.record(&machine.as_str().into(), secs(*run), now);
            prop_assert!(failures.pause() <= secs(20));
            prop_assert!(failures.trial() <= secs(10));
            prop_assert!(failures.pause() >= secs(2), "a failure is followed by a pause");
        }
        prop_assert_eq!(failures.on_probation(now), runs.len() >= 3);
        prop_assert!(!failures.on_probation(now + secs(60)), "nobody is held back for longer");
    }
}

#[test]
fn under_load_those_come_first_who_can_still_be_served_as_told() {
    // One machine, room for one: by arrival the lost job would come first, and
    // all others would be late in turn.
    let now = start();
    let with = |n: u32, due: Option<f64>, age: u64, team: &str| {
        let mut j = job(n, 1, 8.0);
        j.deadline_s = due;
        j.team = team.into();
        (record(j), now - secs(age))
    };
    let lost = with(1, Some(50.0), 100, "blue");
    let in_time = with(2, Some(100.0), 20, "blue");
    let later = with(3, None, 10, "blue");
    let guaranteed = with(4, None, 5, "red");
    let forgotten = with(5, Some(50.0), 1000, "blue");
    let order = [forgotten, lost, in_time, later, guaranteed];
    let mut m = model(1);
    order.iter().for_each(|(r, at)| m.add_job(r.clone(), *at));
    let ranks = m.ranks(now);
    let mut ids: Vec<JobId> = ranks.keys().copied().collect();
    ids.sort_by_key(|id| ranks[id]);
    let ids: Vec<String> = ids.iter().map(ToString::to_string).collect();
    // The forgotten one has waited long enough; red's is within its guarantee;
    // the one that is due can wait 20 s yet.
    let expected = [5, 4, 3, 2, 1].map(|n| format!("job-{n:06}"));
    assert_eq!(ids, expected);
}

#[test]
fn under_load_the_least_work_goes_first_among_what_is_due() {
    // By arrival or by latest start, a large job would make ten small ones late.
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "small", "north", false, now);
    for (n, tasks) in [(1, 40), (2, 5), (3, 1)] {
        let mut j = job(n, tasks, 8.0);
        j.deadline_s = Some(200.0);
        m.add_job(record(j), now + secs(u64::from(n)));
    }
    m.plan(now + secs(4));
    assert_eq!(tasks_on(&m, "i-1"), ["job-000003/0"]);
}

#[test]
fn a_guarantee_covers_a_teams_earliest_jobs_only() {
    let now = start();
    let mut m = model(1);
    for n in 1..4 {
        let mut j = job(n, 1, 8.0);
        j.team = "red".into();
        m.add_job(record(j), now + secs(u64::from(n)));
    }
    let ranks = m.ranks(now + secs(9));
    let tiers: Vec<Tier> = ranks.values().map(|r| r.1).collect();
    assert_eq!(
        tiers,
        [Tier::Guaranteed, Tier::Guaranteed, Tier::InTime],
        "16 CPUs are guaranteed"
    );
}
