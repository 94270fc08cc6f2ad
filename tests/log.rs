//! The write-ahead log under generated crashes and lost answers: its replay
//! names all that may be on a machine, and its size stays bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bitternfold::core::storage::wal::{LogAppend, LogEntry, WriteAheadLog};
use bitternfold::store::rate_limiter::RateLimiter;
use bitternfold::store::writer::URGENT_RESERVE;
use bitternfold::wire::{JobId, MachineId, TaskId};
use proptest::prelude::*;
use serde_json::Value;

const VALUE: usize = 1024;

#[derive(Debug, Clone)]
enum Op {
    /// Tasks of a job are placed on a machine.
    Start(u8, u8, u8),
    /// The first task on a machine ends, done or not.
    End(u8, bool),
    /// A machine is gone.
    Gone(u8),
    /// All of a job is over.
    Over(u8),
    /// An append is sent; it is stored (and answered or not), or never is.
    Send { stored: bool, answered: bool },
    /// A new leader reads what is stored.
    Elect,
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (any::<u8>(), any::<u8>(), 1..8u8).prop_map(|(m, j, n)| Op::Start(m, j, n)),
        6 => (any::<u8>(), any::<bool>()).prop_map(|(m, d)| Op::End(m, d)),
        1 => any::<u8>().prop_map(Op::Gone),
        1 => any::<u8>().prop_map(Op::Over),
        6 => any::<(bool, bool)>().prop_map(|(stored, answered)| Op::Send { stored, answered }),
        1 => Just(Op::Elect),
    ]
}

fn machine(m: u64) -> MachineId {
    format!("i-{m:06}").as_str().into()
}

fn job(j: u64) -> JobId {
    format!("job-{j:06}").parse().expect("an id")
}

/// What is true, and what a leader may rely on.
#[derive(Default)]
struct World {
    stored: BTreeMap<u64, Value>,
    /// Slots by machine, with their attempts and marks.
    slots: BTreeMap<MachineId, BTreeMap<TaskId, (u64, u64)>>,
    done: BTreeMap<TaskId, u64>,
    open: BTreeSet<JobId>,
    next: u64,
    generation: u64,
}

impl World {
    fn apply(&mut self, a: &LogAppend) {
        for (n, v) in &a.segments {
            match v {
                Some(v) => {
                    assert!(v.to_string().len() <= VALUE, "a segment fits a value");
                    self.stored.insert(*n, v.clone());
                }
                None => drop(self.stored.remove(n)),
            }
        }
    }

    fn take(&self, log: &mut WriteAheadLog) -> Option<LogAppend> {
        let live_bytes = self.slots.len() * 60 + self.slots.values().map(BTreeMap::len).sum::<usize>() * 50;
        log.take_append(6, live_bytes + self.done.len() * 6, |e| match e {
            LogEntry::Machine(id, ..) => self.slots.contains_key(id).then(|| e.clone()),
            LogEntry::Released(_) => None,
            LogEntry::Start(id, job, attempt, tasks) => {
                let on = self.slots.get(id)?;
                let live = |i: &u32| {
                    on.get(&TaskId { job: *job, index: *i })
                        .is_some_and(|s| s.0 == *attempt)
                };
                let left: Vec<u32> = tasks.iter().copied().filter(live).collect();
                (!left.is_empty()).then(|| LogEntry::Start(id.clone(), *job, *attempt, left))
            }
            LogEntry::Done(job, _) => self.open.contains(job).then(|| e.clone()),
            LogEntry::Unknown(_) => Some(e.clone()),
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_replay_names_all_that_may_be_there(ops in proptest::collection::vec(any_op(), 50..600)) {
        let mut w = World::default();
        let mut log = WriteAheadLog::new(VALUE);
        let (mut highest, mut most_live) = (0, 0);
        for op in ops {
            match op {
                Op::Start(m, j, n) => {
                    let id = machine(u64::from(m % 8) + w.generation * 8);
                    let job = job(u64::from(j % 10));
                    w.open.insert(job);
                    w.next += 1;
                    if !w.slots.contains_key(&id) {
                        log.push(LogEntry::Machine(id.clone(), "127.0.0.1:9".into(), "small".into(), "north".into(), false));
                    }
                    for i in 0..u32::from(n) {
                        let task = TaskId { job, index: w.next as u32 * 8 + i };
                        let mark = log.push(LogEntry::Start(id.clone(), job, w.next, vec![task.index]));
                        w.slots.entry(id.clone()).or_default().insert(task, (w.next, mark));
                    }
                }
                Op::End(m, done) => {
                    let id = machine(u64::from(m % 8) + w.generation * 8);
                    let first = w.slots.get_mut(&id).and_then(|on| on.pop_first());
                    if let Some((task, _)) = first.filter(|_| done) {
                        let mark = log.push(LogEntry::Done(task.job, vec![task.index]));
                        w.done.insert(task, mark);
                    }
                }
                Op::Gone(m) => {
                    let id = machine(u64::from(m % 8) + w.generation * 8);
                    if w.slots.remove(&id).is_some() {
                        log.push(LogEntry::Released(id));
                        // Names are never used again.
                        w.generation += 1;
                    }
                }
                Op::Over(j) => {
                    let job = job(u64::from(j % 10));
                    let busy = w.slots.values().flat_map(|on| on.keys()).any(|t| t.job == job);
                    if !busy && w.open.remove(&job) {
                        w.done.retain(|t, _| t.job != job);
                    }
                }
                Op::Send { stored, answered } => {
                    if let Some(a) = w.take(&mut log) {
                        if stored {
                            for (n, v) in &a.segments {
                                if v.is_some() && !w.stored.contains_key(n) {
                                    prop_assert!(*n > highest, "number {} is used again", n);
                                    highest = *n;
                                }
                            }
                            w.apply(&a);
                        }
                        if stored && answered {
                            log.appended(&a);
                            // What it was told to wait for may be relied upon: a
                            // new leader must find every stored start and outcome.
                            let mut fresh = WriteAheadLog::new(VALUE);
                            for (n, v) in &w.stored {
                                prop_assert!(fresh.load(*n, v.clone()));
                            }
                            let r = fresh.replay();
                            for (id, on) in &w.slots {
                                for (task, (attempt, mark)) in on {
                                    if log.is_stored(*mark) {
                                        let named = r.starts.get(id).and_then(|s| s.get(task));
                                        prop_assert_eq!(named, Some(attempt), "{} on {}", task, id);
                                        prop_assert!(r.machines.contains_key(id));
                                    }
                                }
                            }
                            for (task, mark) in &w.done {
                                if log.is_stored(*mark) {
                                    prop_assert!(r.done.get(&task.job).is_some_and(|d| d.contains(&task.index)));
                                }
                            }
                            let live = w.slots.len() * 60
                                + w.slots.values().map(BTreeMap::len).sum::<usize>() * 50
                                + w.done.len() * 6;
                            most_live = most_live.max(live);
                            // Each append drops one segment at the most, and may
                            // add some when much is pending.
                            let bound = 4 + 2 * most_live.div_ceil(VALUE - 256) + 12;
                            prop_assert!(w.stored.len() <= bound, "{} segments, {} live bytes", w.stored.len(), live);
                        } else {
                            // The term ends with the answer unknown.
                            (log, w) = elect(w);
                        }
                    }
                }
                Op::Elect => (log, w) = elect(w),
            }
        }
    }
}

/// A new leader: it knows only what is stored.
fn elect(mut w: World) -> (WriteAheadLog, World) {
    let mut log = WriteAheadLog::new(VALUE);
    for (n, v) in &w.stored {
        assert!(log.load(*n, v.clone()));
    }
    let r = log.replay();
    w.slots = r.machines.keys().map(|m| (m.clone(), BTreeMap::new())).collect();
    for (id, on) in r.starts {
        let slots = on.into_iter().map(|(t, a)| (t, (a, 0))).collect();
        w.slots.insert(id, slots);
    }
    w.done = r
        .done
        .into_iter()
        .filter(|(j, _)| w.open.contains(j))
        .flat_map(|(j, l)| l.into_iter().map(move |i| (TaskId { job: j, index: i }, 0)))
        .collect();
    w.generation += 1;
    (log, w)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// The log takes all it is given of the budget of changes; acceptances and
    /// cancellations, a few a second, still go at once, and the log goes on.
    #[test]
    fn a_full_budget_starves_neither_users_nor_the_log(
        rate in 8u32..80,
        sizes in proptest::collection::vec(1u32..16, 50..200),
        users in proptest::collection::vec(0u32..3, 50..200),
    ) {
        let rate = f64::from(rate);
        let pace = RateLimiter::new(rate, rate);
        let mut now = Instant::now() + Duration::from_secs(10);
        let (mut taken, mut log) = (0.0, 0.0);
        let began = now;
        for (size, n) in sizes.iter().zip(&users) {
            // The log wants as much as there is, all the time.
            let size = f64::from(*size).min(rate);
            let mut tries = 0;
            loop {
                let wait = pace.take_above_reserve(size, URGENT_RESERVE, now);
                if wait.is_zero() { break; }
                tries += 1;
                prop_assert!(tries < 10, "the log never goes");
                now += wait;
            }
            log += size;
            taken += size;
            // Few beside the budget, as users are.
            if f64::from(*n) <= rate * URGENT_RESERVE && size <= rate * (1.0 - URGENT_RESERVE) {
                for _ in 0..*n {
                    let wait = pace.take_above_reserve(1.0, 0.0, now);
                    prop_assert!(wait.is_zero(), "a user waits {:?} behind the log", wait);
                    taken += 1.0;
                }
            }
        }
        let most = rate + rate * now.duration_since(began).as_secs_f64();
        prop_assert!(taken <= most + 1e-6, "{} taken of {}", taken, most);
        prop_assert!(log > 0.0);
    }
}

#[test]
fn a_huge_array_that_ends_task_by_task_keeps_its_log_small() {
    // Its ends come between those of another job, so that no two follow on each
    // other: an entry for each would be five times as long as what it says.
    const TASKS: u32 = 50_000;
    let mut log = WriteAheadLog::new(4096);
    let mut stored: BTreeMap<u64, usize> = BTreeMap::new();
    let ids = [1, 2].map(job);
    let mut written = 0;
    for i in 0..TASKS {
        for id in ids {
            log.push(LogEntry::Done(id, vec![i]));
        }
        if i % 20 == 19 {
            let live_bytes = 2 * (i as usize + 1) * 6;
            let Some(a) = log.take_append(10, live_bytes, |e| Some(e.clone())) else {
                continue;
            };
            log.appended(&a);
            for (n, v) in &a.segments {
                written += 1;
                match v {
                    Some(v) => stored.insert(*n, v.to_string().len()),
                    None => stored.remove(n),
                };
            }
        }
    }
    let bytes: usize = stored.values().sum();
    assert!(bytes < TASKS as usize * 2 * 6 * 2 + 5 * 4096, "{bytes} bytes");
    assert!(written < TASKS / 20 * 4, "{written} segments written");
    let done = log.replay().done;
    assert!(ids
        .iter()
        .all(|id| done[id].len() == TASKS as usize - TASKS as usize % 20));
}
