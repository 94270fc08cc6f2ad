//! The write-ahead log under generated changes of the leader and lost responses: a replay
//! lists all tasks that may be on a machine, and the size of the log stays bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bitternfold::core::storage::wal::{LogAppend, LogEntry, WriteAheadLog};
use bitternfold::store::rate_limiter::RateLimiter;
use bitternfold::store::writer::URGENT_RESERVE;
use bitternfold::wire::{JobId, MachineId, TaskId};
use proptest::prelude::*;
use serde_json::Value;

/// Limit on a value in the state service, in bytes.
const VALUE_BYTES: usize = 1024;

#[derive(Debug, Clone)]
enum Operation {
    /// Tasks of a job are placed on a machine.
    Start { machine: u8, job: u8, tasks: u8 },
    /// The first task on a machine ends, as done or not.
    End { machine: u8, done: bool },
    /// A machine is released.
    Release(u8),
    /// A job becomes complete, unless one of its tasks is on a machine.
    CompleteJob(u8),
    /// An append is sent. It is stored or lost; if it is stored, the confirmation arrives or
    /// is lost.
    Append { stored: bool, confirmed: bool },
    /// A new leader loads what is stored.
    Elect,
}

fn any_operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (any::<u8>(), any::<u8>(), 1..8u8).prop_map(|(machine, job, tasks)| Operation::Start { machine, job, tasks }),
        6 => (any::<u8>(), any::<bool>()).prop_map(|(machine, done)| Operation::End { machine, done }),
        1 => any::<u8>().prop_map(Operation::Release),
        1 => any::<u8>().prop_map(Operation::CompleteJob),
        6 => any::<(bool, bool)>().prop_map(|(stored, confirmed)| Operation::Append { stored, confirmed }),
        1 => Just(Operation::Elect),
    ]
}

fn machine_id(number: u64) -> MachineId {
    format!("i-{number:06}").as_str().into()
}

fn job_id(number: u64) -> JobId {
    format!("job-{number:06}").parse().expect("an id")
}

/// Approximate number of bytes that the log needs for these machines and slots and this
/// number of done tasks.
fn live_bytes(slots: &BTreeMap<MachineId, BTreeMap<TaskId, Slot>>, done: usize) -> usize {
    slots.len() * 60 + slots.values().map(BTreeMap::len).sum::<usize>() * 50 + done * 6
}

/// An attempt on a machine, and the log's mark of its start.
#[derive(Debug, Clone, Copy)]
struct Slot {
    attempt: u64,
    mark: u64,
}

/// The log under test, with a simple model of the cluster and the state service.
struct LoggedCluster {
    log: WriteAheadLog,
    /// Segments in the state service, by number.
    stored: BTreeMap<u64, Value>,
    slots: BTreeMap<MachineId, BTreeMap<TaskId, Slot>>,
    /// Done tasks of open jobs, with the log's marks of their ends.
    done: BTreeMap<TaskId, u64>,
    open_jobs: BTreeSet<JobId>,
    last_attempt: u64,
    /// Incremented by each release and election, so that ids of machines are never reused.
    generation: u64,
    highest_segment: u64,
    max_live_bytes: usize,
}

impl LoggedCluster {
    fn new() -> Self {
        Self {
            log: WriteAheadLog::new(VALUE_BYTES),
            stored: BTreeMap::new(),
            slots: BTreeMap::new(),
            done: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            last_attempt: 0,
            generation: 0,
            highest_segment: 0,
            max_live_bytes: 0,
        }
    }

    fn step(&mut self, operation: Operation) -> Result<(), TestCaseError> {
        match operation {
            Operation::Start { machine, job, tasks } => self.start(machine, job, tasks),
            Operation::End { machine, done } => self.end(machine, done),
            Operation::Release(machine) => self.release(machine),
            Operation::CompleteJob(job) => self.complete_job(job),
            Operation::Append { stored, confirmed } => self.append(stored, confirmed)?,
            Operation::Elect => self.elect(),
        }
        Ok(())
    }

    fn machine(&self, machine: u8) -> MachineId {
        machine_id(u64::from(machine % 8) + self.generation * 8)
    }

    fn start(&mut self, machine: u8, job: u8, tasks: u8) {
        let id = self.machine(machine);
        let job = job_id(u64::from(job % 10));
        self.open_jobs.insert(job);
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        if !self.slots.contains_key(&id) {
            self.log.push(LogEntry::Machine(
                id.clone(),
                "127.0.0.1:9".into(),
                "small".into(),
                "north".into(),
                false,
            ));
        }
        for i in 0..u32::from(tasks) {
            let task = TaskId {
                job,
                index: attempt as u32 * 8 + i,
            };
            let entry = LogEntry::Start(id.clone(), job, attempt, vec![task.index]);
            let mark = self.log.push(entry);
            let slots = self.slots.entry(id.clone()).or_default();
            slots.insert(task, Slot { attempt, mark });
        }
    }

    fn end(&mut self, machine: u8, done: bool) {
        let id = self.machine(machine);
        let first = self.slots.get_mut(&id).and_then(BTreeMap::pop_first);
        if let Some((task, _)) = first.filter(|_| done) {
            let mark = self.log.push(LogEntry::Done(task.job, vec![task.index]));
            self.done.insert(task, mark);
        }
    }

    fn release(&mut self, machine: u8) {
        let id = self.machine(machine);
        if self.slots.remove(&id).is_some() {
            self.log.push(LogEntry::Released(id));
            self.generation += 1;
        }
    }

    fn complete_job(&mut self, job: u8) {
        let job = job_id(u64::from(job % 10));
        let has_tasks_on_machines = self.slots.values().flat_map(BTreeMap::keys).any(|t| t.job == job);
        if !has_tasks_on_machines && self.open_jobs.remove(&job) {
            self.done.retain(|task, _| task.job != job);
        }
    }

    /// Sends the log's next append, if there is one. A new leader is elected unless the append
    /// is stored and confirmed.
    fn append(&mut self, stored: bool, confirmed: bool) -> Result<(), TestCaseError> {
        let Some(append) = self.take_append() else {
            return Ok(());
        };
        if stored {
            for (number, value) in &append.segments {
                if value.is_some() && !self.stored.contains_key(number) {
                    prop_assert!(
                        *number > self.highest_segment,
                        "segment number {} is reused",
                        number
                    );
                    self.highest_segment = *number;
                }
            }
            self.apply(&append);
        }
        if stored && confirmed {
            self.log.append_stored(&append);
            self.check_replay()?;
            self.check_size()?;
        } else {
            // Without a confirmation the term ends.
            self.elect();
        }
        Ok(())
    }

    fn take_append(&mut self) -> Option<LogAppend> {
        let Self {
            log,
            slots,
            done,
            open_jobs,
            ..
        } = self;
        log.take_append(6, live_bytes(slots, done.len()), |e| match e {
            LogEntry::Machine(id, ..) => slots.contains_key(id).then(|| e.clone()),
            LogEntry::Released(_) => None,
            LogEntry::Start(id, job, attempt, tasks) => {
                let on_machine = slots.get(id)?;
                let is_live = |i: &u32| {
                    on_machine
                        .get(&TaskId { job: *job, index: *i })
                        .is_some_and(|slot| slot.attempt == *attempt)
                };
                let live: Vec<u32> = tasks.iter().copied().filter(is_live).collect();
                (!live.is_empty()).then(|| LogEntry::Start(id.clone(), *job, *attempt, live))
            }
            LogEntry::Done(job, _) => open_jobs.contains(job).then(|| e.clone()),
            LogEntry::Unknown(_) => Some(e.clone()),
        })
    }

    fn apply(&mut self, append: &LogAppend) {
        for (number, value) in &append.segments {
            match value {
                Some(value) => {
                    assert!(
                        value.to_string().len() <= VALUE_BYTES,
                        "a segment exceeds the limit on values"
                    );
                    self.stored.insert(*number, value.clone());
                }
                None => drop(self.stored.remove(number)),
            }
        }
    }

    /// Checks that a new leader would find every start and every done task that the log
    /// reports as stored, as the leader relies on them.
    fn check_replay(&self) -> Result<(), TestCaseError> {
        let mut reader = WriteAheadLog::new(VALUE_BYTES);
        for (number, value) in &self.stored {
            prop_assert!(reader.load_segment(*number, value.clone()));
        }
        let replay = reader.replay();
        for (id, on_machine) in &self.slots {
            for (task, slot) in on_machine {
                if self.log.is_stored(slot.mark) {
                    let replayed_attempt = replay.starts.get(id).and_then(|s| s.get(task));
                    prop_assert_eq!(replayed_attempt, Some(&slot.attempt), "{} on {}", task, id);
                    prop_assert!(replay.machines.contains_key(id));
                }
            }
        }
        for (task, mark) in &self.done {
            if self.log.is_stored(*mark) {
                prop_assert!(replay
                    .done
                    .get(&task.job)
                    .is_some_and(|d| d.contains(&task.index)));
            }
        }
        Ok(())
    }

    /// Checks the number of segments. The bound has an allowance: an append deletes one
    /// segment at most, but may add several if many entries are pending.
    fn check_size(&mut self) -> Result<(), TestCaseError> {
        let live = live_bytes(&self.slots, self.done.len());
        self.max_live_bytes = self.max_live_bytes.max(live);
        let bound = 4 + 2 * self.max_live_bytes.div_ceil(VALUE_BYTES - 256) + 12;
        prop_assert!(
            self.stored.len() <= bound,
            "{} segments, {} live bytes",
            self.stored.len(),
            live
        );
        Ok(())
    }

    /// Replaces the leader by a new one, which knows only what is stored.
    fn elect(&mut self) {
        self.log = WriteAheadLog::new(VALUE_BYTES);
        for (number, value) in &self.stored {
            assert!(self.log.load_segment(*number, value.clone()));
        }
        let replay = self.log.replay();
        self.slots = replay
            .machines
            .keys()
            .map(|id| (id.clone(), BTreeMap::new()))
            .collect();
        for (id, starts) in replay.starts {
            let slots = starts
                .into_iter()
                .map(|(task, attempt)| (task, Slot { attempt, mark: 0 }));
            self.slots.insert(id, slots.collect());
        }
        self.done = replay
            .done
            .into_iter()
            .filter(|(job, _)| self.open_jobs.contains(job))
            .flat_map(|(job, tasks)| tasks.into_iter().map(move |index| (TaskId { job, index }, 0)))
            .collect();
        self.generation += 1;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_replay_lists_every_stored_start_and_done_task(operations in proptest::collection::vec(any_operation(), 50..600)) {
        let mut cluster = LoggedCluster::new();
        for operation in operations {
            cluster.step(operation)?;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// The log takes as much of the change budget as it gets. Submissions and cancellations, a few
    /// per second, are still sent at once, and the log makes progress.
    #[test]
    fn an_exhausted_change_budget_starves_neither_users_nor_the_log(
        rate in 8u32..80,
        sizes in proptest::collection::vec(1u32..16, 50..200),
        users in proptest::collection::vec(0u32..3, 50..200),
    ) {
        let rate = f64::from(rate);
        let limiter = RateLimiter::new(rate, rate);
        let mut now = Instant::now() + Duration::from_secs(10);
        let (mut taken, mut taken_by_log) = (0.0, 0.0);
        let started_at = now;
        for (size, requests) in sizes.iter().zip(&users) {
            // The log always has more to write than the budget allows.
            let size = f64::from(*size).min(rate);
            let mut waits = 0;
            loop {
                let wait = limiter.take_above_reserve(size, URGENT_RESERVE, now);
                if wait.is_zero() { break; }
                waits += 1;
                prop_assert!(waits < 10, "the log makes no progress");
                now += wait;
            }
            taken_by_log += size;
            taken += size;
            // Requests of users are few compared with the budget.
            if f64::from(*requests) <= rate * URGENT_RESERVE && size <= rate * (1.0 - URGENT_RESERVE) {
                for _ in 0..*requests {
                    let wait = limiter.take_above_reserve(1.0, 0.0, now);
                    prop_assert!(wait.is_zero(), "a user waits {:?} behind the log", wait);
                    taken += 1.0;
                }
            }
        }
        let max_taken = rate + rate * now.duration_since(started_at).as_secs_f64();
        prop_assert!(taken <= max_taken + 1e-6, "{} tokens taken, at most {} available", taken, max_taken);
        prop_assert!(taken_by_log > 0.0);
    }
}

#[test]
fn the_log_stays_small_while_the_tasks_of_two_huge_jobs_end_in_turn() {
    // The tasks of two jobs end alternately, so no two consecutive entries are of the same
    // job. With one entry for each task, the log would be five times as long as its content.
    const TASKS: u32 = 50_000;
    let mut log = WriteAheadLog::new(4096);
    let mut stored: BTreeMap<u64, usize> = BTreeMap::new();
    let ids = [1, 2].map(job_id);
    let mut written_segments = 0;
    for i in 0..TASKS {
        for id in ids {
            log.push(LogEntry::Done(id, vec![i]));
        }
        if i % 20 == 19 {
            let live_bytes = 2 * (i as usize + 1) * 6;
            let Some(append) = log.take_append(10, live_bytes, |e| Some(e.clone())) else {
                continue;
            };
            log.append_stored(&append);
            for (number, value) in &append.segments {
                written_segments += 1;
                match value {
                    Some(value) => stored.insert(*number, value.to_string().len()),
                    None => stored.remove(number),
                };
            }
        }
    }
    let bytes: usize = stored.values().sum();
    assert!(bytes < TASKS as usize * 2 * 6 * 2 + 5 * 4096, "{bytes} bytes");
    assert!(
        written_segments < TASKS / 20 * 4,
        "{written_segments} segments written"
    );
    let done = log.replay().done;
    assert!(ids
        .iter()
        .all(|id| done[id].len() == TASKS as usize - TASKS as usize % 20));
}
