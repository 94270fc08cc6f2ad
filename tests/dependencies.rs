//! The dependency graph against a plain model of it, and what the cluster model
//! makes of it: what is placed, started, ranked, counted and told.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bitternfold::core::state::dependencies::{Dependencies, DependencyOutcome, DependentJob, Urgency};
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::storage::record::JobRecord;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use proptest::prelude::*;
use support::*;

fn id(n: usize) -> JobId {
    format!("job-{n:06}").parse().expect("an id")
}

fn urgency(priority: Priority, due: Option<Instant>) -> Urgency {
    Urgency {
        priority,
        due,
        latest_due: due,
    }
}

// ---- the graph against a plain model -------------------------------------

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Done,
    Cancelled,
}

#[derive(Debug, Clone)]
enum Op {
    /// A job that names earlier ones; its priority, due time and run time.
    Add(Vec<usize>, u8, Option<u16>, u8),
    /// An open job that waits for none is done.
    Done(usize),
    Cancel(usize),
    /// A cancellation is asked for, its answer is not there yet.
    AskToCancel(usize),
    /// A new leader knows the open jobs, and looks up the others as it likes.
    Elect,
    Resolve(usize),
}

fn any_op() -> impl Strategy<Value = Op> {
    let due = proptest::option::of(any::<u16>());
    let named = proptest::collection::vec(any::<usize>(), 0..4);
    prop_oneof![
        6 => (named, 0..4u8, due, any::<u8>()).prop_map(|(n, p, d, r)| Op::Add(n, p, d, r)),
        3 => any::<usize>().prop_map(Op::Done),
        1 => any::<usize>().prop_map(Op::Cancel),
        1 => any::<usize>().prop_map(Op::AskToCancel),
        1 => Just(Op::Elect),
        2 => any::<usize>().prop_map(Op::Resolve),
    ]
}

struct PlainJob {
    awaits: Vec<JobId>,
    state: State,
    /// Its cancellation is asked for.
    asked: bool,
    own: Urgency,
    run_time: Duration,
}

struct World {
    graph: Dependencies,
    jobs: BTreeMap<JobId, PlainJob>,
    start: Instant,
}

impl World {
    fn new() -> Self {
        Self {
            graph: Dependencies::default(),
            jobs: BTreeMap::new(),
            start: start(),
        }
    }

    fn nth(&self, which: usize) -> Option<JobId> {
        let open = self.jobs.iter().filter(|(_, j)| j.state == State::Open);
        let ids: Vec<JobId> = open.map(|(id, _)| *id).collect();
        ids.get(which % ids.len().max(1)).copied()
    }

    fn is_open(&self, id: JobId) -> bool {
        self.jobs[&id].state == State::Open
    }

    fn is_ready(&self, id: JobId) -> bool {
        let done = |n: &JobId| self.jobs[n].state == State::Done;
        self.jobs[&id].awaits.iter().all(done)
    }

    /// By the plain rule: cancelled itself, or one that it names is.
    fn is_cancelled(&self, id: JobId) -> bool {
        let job = &self.jobs[&id];
        job.state == State::Cancelled
            || job.state == State::Open && job.awaits.iter().any(|n| self.is_cancelled(*n))
    }

    /// By the plain rule: of all open jobs that name it.
    fn inherited(&self, id: JobId) -> Option<(Priority, Option<Instant>)> {
        let after = self
            .jobs
            .iter()
            .filter(|(_, j)| j.state == State::Open && j.awaits.contains(&id));
        let urgencies = after.map(|(d, j)| {
            let beyond = self.inherited(*d);
            let priority = beyond.map_or(j.own.priority, |b| b.0.max(j.own.priority));
            let due = [j.own.due, beyond.and_then(|b| b.1)].into_iter().flatten().min();
            (priority, due.map(|d| d - j.run_time))
        });
        urgencies.reduce(|a, b| (a.0.max(b.0), [a.1, b.1].into_iter().flatten().min()))
    }

    /// By the plain rule: an open job needs another, directly or through open ones.
    fn needs(&self, id: JobId, other: JobId) -> bool {
        let job = &self.jobs[&id];
        job.state == State::Open && job.awaits.iter().any(|n| *n == other || self.needs(*n, other))
    }

    fn add_to_graph(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        let dependent = DependentJob {
            id,
            awaits: &job.awaits,
            urgency: job.own,
            run_time: job.run_time,
        };
        let jobs = &self.jobs;
        self.graph.add(&dependent, |n| jobs[&n].state == State::Open);
    }

    fn cancel(&mut self, id: JobId) {
        let open: Vec<JobId> = self.jobs.keys().copied().filter(|j| self.is_open(*j)).collect();
        let after = |j: &JobId| *j != id && self.needs(*j, id);
        let expected: BTreeSet<JobId> = open.into_iter().filter(after).collect();
        self.end(id, State::Cancelled);
        let got: BTreeSet<JobId> = self.graph.cancelled(id).into_iter().collect();
        assert_eq!(got, expected, "cancelled with {id}");
        self.graph.forget(id);
        for dependent in got {
            self.end(dependent, State::Cancelled);
            self.graph.forget(dependent);
        }
    }

    fn end(&mut self, id: JobId, state: State) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = state;
        }
    }

    fn resolve(&mut self, id: JobId) {
        match self.jobs[&id].state {
            State::Open => {}
            State::Done => self.graph.done(id, None),
            State::Cancelled => {
                for dependent in self.graph.cancelled(id) {
                    self.end(dependent, State::Cancelled);
                    self.graph.forget(dependent);
                }
            }
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Add(named, priority, due, run) => {
                let new = id(self.jobs.len());
                let all = self.jobs.len();
                let named = named.into_iter().filter(|_| all > 0).map(|n| id(n % all));
                let priority = [
                    Priority::Low,
                    Priority::Normal,
                    Priority::High,
                    Priority::Production,
                ][usize::from(priority)];
                let due = due.map(|d| self.start + Duration::from_secs(u64::from(d)));
                let job = PlainJob {
                    awaits: named.collect(),
                    state: State::Open,
                    asked: false,
                    own: urgency(priority, due),
                    run_time: Duration::from_secs(u64::from(run)),
                };
                self.jobs.insert(new, job);
                self.add_to_graph(new);
            }
            Op::Done(which) => {
                let ready = |w: &World, j: &JobId| w.is_ready(*j) && !w.jobs[j].asked;
                if let Some(ended) = self.nth(which).filter(|j| ready(self, j)) {
                    self.end(ended, State::Done);
                    self.graph.done(ended, Some(self.start));
                    self.graph.forget(ended);
                }
            }
            Op::Cancel(which) => {
                if let Some(id) = self.nth(which) {
                    self.cancel(id);
                }
            }
            Op::AskToCancel(which) => {
                if let Some(id) = self.nth(which) {
                    self.graph.cancelling(id);
                    self.jobs.get_mut(&id).expect("open").asked = true;
                }
            }
            Op::Elect => {
                self.graph = Dependencies::default();
                let open: Vec<JobId> = self.jobs.keys().copied().filter(|j| self.is_open(*j)).collect();
                for id in open.into_iter().rev() {
                    self.jobs.get_mut(&id).expect("open").asked = false;
                    self.add_to_graph(id);
                }
            }
            Op::Resolve(which) => {
                let unresolved: Vec<JobId> = self.graph.unresolved().iter().copied().collect();
                if let Some(id) = unresolved.get(which % unresolved.len().max(1)) {
                    self.resolve(*id);
                }
            }
        }
    }

    fn check(&self, resolved: bool) -> Result<(), TestCaseError> {
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.state == State::Open) {
            if self.graph.is_ready(*id) {
                prop_assert!(self.is_ready(*id), "{id} is called ready too early");
            }
            if !self.graph.in_doubt(*id) {
                let asked = |n: &JobId| self.jobs[n].asked && self.is_open(*n);
                prop_assert!(!job.awaits.iter().any(asked), "{id} is in doubt");
                prop_assert!(!self.is_cancelled(*id), "{id} is cancelled unknown to the graph");
            }
            if resolved {
                prop_assert_eq!(self.graph.is_ready(*id), self.is_ready(*id), "{} is ready", id);
                let got = self.graph.inherited(*id).map(|u| (u.priority, u.due));
                prop_assert_eq!(got, self.inherited(*id), "what {} inherits", id);
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_graph_agrees_with_the_plain_rule(ops in proptest::collection::vec(any_op(), 1..120)) {
        let mut world = World::new();
        for op in ops {
            world.step(op);
            let resolved = world.graph.unresolved().is_empty();
            world.check(resolved)?;
        }
        while let Some(id) = world.graph.unresolved().first().copied() {
            world.resolve(id);
        }
        world.check(true)?;
    }
}

// ---- the cluster model ----------------------------------------------------

/// A job that waits for others.
fn chained(n: u32, awaits: &[u32]) -> JobRecord {
    let mut spec = job(n, 1, 1.0);
    spec.awaits = awaits.iter().map(|a| id(*a as usize)).collect();
    record(spec)
}

/// A model with an idle machine that obeys it.
fn with_machine(now: Instant) -> (ClusterModel, MachineId) {
    let mut m = model(7);
    m.apply_heartbeat(&heartbeat("i-1", "large", "north", false, 7, 1), now);
    (m, "i-1".into())
}

/// Writes whatever is due, and says that it is stored. The final states among it.
fn store_all(m: &mut ClusterModel, now: Instant) -> Vec<(JobId, JobState)> {
    let mut finals = Vec::new();
    for write in m.take_writes(now) {
        m.write_finished(&write, true, now);
        if let PendingWrite::Final { id, record, .. } = write {
            finals.push((id, record.state));
        }
    }
    finals
}

/// Lets the tasks on a machine end.
fn end_tasks(m: &mut ClusterModel, machine: &MachineId, sequence: u64, now: Instant) {
    let mut r = heartbeat(machine, "large", "north", false, 7, sequence);
    r.token = m.machines[machine].seen_token.max((7 << 20) + 1000);
    r.tasks = ended(m, machine, usize::MAX);
    m.apply_heartbeat(&r, now);
}

#[test]
fn a_job_starts_only_once_all_that_it_needs_are_stored_as_done() {
    let now = start();
    let (mut m, machine) = with_machine(now);
    m.add_job(chained(1, &[]), now);
    m.add_job(chained(2, &[1]), now);
    m.plan(now);
    let placed = |m: &ClusterModel, n: usize| m.jobs.get(&id(n)).map_or(0, |j| j.placed);
    assert_eq!((placed(&m, 1), placed(&m, 2)), (1, 0));
    end_tasks(&mut m, &machine, 2, now);
    // All tasks are done, which isn't stored yet.
    m.plan(now);
    assert_eq!(placed(&m, 2), 0, "done, but not stored");
    let ended = now + secs(1);
    assert_eq!(store_all(&mut m, ended), [(id(1), JobState::Done)]);
    m.plan(ended);
    assert_eq!(placed(&m, 2), 1);
    assert_eq!(m.ready_since(&m.jobs[&id(2)]), ended);
}

#[test]
fn the_end_of_a_job_that_others_wait_for_is_stored_before_other_ends() {
    let now = start();
    let (mut m, machine) = with_machine(now);
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![])] {
        m.add_job(chained(n, &awaits), now);
    }
    m.plan(now);
    end_tasks(&mut m, &machine, 2, now);
    let writes = m.take_writes(now);
    let finals = writes.iter().filter_map(|w| match w {
        PendingWrite::Final { id, .. } => Some((*id, w.unit().urgent)),
        _ => None,
    });
    assert_eq!(finals.collect::<Vec<_>>(), [(id(1), true), (id(3), false)]);
}

#[test]
fn no_start_is_sent_for_a_job_that_waits_whatever_led_to_its_placement() {
    // The last guard before a worker hears of it.
    let now = start();
    let (mut m, machine) = with_machine(now);
    m.add_job(chained(1, &[]), now);
    m.add_job(chained(2, &[1]), now);
    for n in [1, 2] {
        let task = TaskId { job: id(n), index: 0 };
        let attempt = m.new_attempt();
        m.place(&machine, task, attempt, false, now);
    }
    store_all(&mut m, now);
    let commands = m.commands(now, 9);
    let started: Vec<JobId> = commands
        .iter()
        .flat_map(|(_, _, c)| &c.commands)
        .filter_map(|c| match c {
            Command::Start { task, .. } => Some(task.job),
            _ => None,
        })
        .collect();
    assert_eq!(started, [id(1)]);
}

#[test]
fn a_job_that_waits_holds_nothing_and_ages_from_when_it_is_ready() {
    let now = start();
    let (mut m, _) = with_machine(now);
    // Red's guarantee is 16 CPUs: the first job of 12 leaves no room for another.
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![])] {
        let mut record = chained(n, &awaits);
        (record.spec.team, record.spec.cpus) = ("red".into(), if n == 3 { 4.0 } else { 12.0 });
        m.add_job(record, now - secs(300) + secs(u64::from(n)));
    }
    let ranks = m.ranks(now);
    assert!(!ranks.contains_key(&id(2)), "it has no place in the queue");
    let wanted: Vec<JobId> = m.jobs_waiting_for_capacity().map(|j| j.spec.id).collect();
    assert_eq!(wanted, [id(1), id(3)]);
    use bitternfold::core::scheduling::ranking::Tier;
    assert_eq!(ranks[&id(3)].1, Tier::Starved, "it waits since it arrived");
    m.jobs.get_mut(&id(3)).expect("known").done.insert(0);
    assert_eq!(
        m.ranks(now)[&id(3)].1,
        Tier::Guaranteed,
        "the one that waits takes no part"
    );
    m.resolve_dependency(id(1), DependencyOutcome::Done(Some(now - secs(5))));
    assert_eq!(m.ready_since(&m.jobs[&id(2)]), now - secs(5));
    assert_ne!(
        m.ranks(now)[&id(2)].1,
        Tier::Starved,
        "it waits for 5 s, not for 300"
    );
}

#[test]
fn a_job_that_waits_rents_nothing() {
    let now = start();
    let mut m = model(7);
    m.add_job(chained(1, &[9]), now);
    assert!(
        m.plan_fleet(now).is_empty(),
        "nothing is rented for a job that waits"
    );
    m.resolve_dependency(id(9), DependencyOutcome::Done(None));
    assert!(!m.plan_fleet(now).is_empty(), "it is once the job is ready");
}

#[test]
fn a_pipeline_is_ranked_by_its_last_job() {
    let now = start();
    let (mut m, _) = with_machine(now);
    let mut first = chained(1, &[]);
    first.spec.priority = Priority::Low;
    m.add_job(first, now);
    m.add_job(chained(2, &[]), now);
    let before = m.ranks(now);
    assert!(before[&id(2)] < before[&id(1)]);
    let mut last = chained(3, &[1]);
    (last.spec.priority, last.spec.deadline_s) = (Priority::High, Some(100.0));
    m.add_job(last, now);
    let after = m.ranks(now);
    assert!(
        after[&id(1)] < after[&id(2)],
        "it comes first for the sake of the last"
    );
    // The last one's own run is left out of the time that the first has.
    let inherited = m.dependencies.inherited(id(1)).expect("it is needed");
    assert_eq!(inherited.due, Some(now + secs(40)));
    assert_eq!(m.priority(&m.jobs[&id(1)]), Priority::High);
}

fn standing(m: &ClusterModel, n: usize) -> Option<JobState> {
    m.status(id(n)).map(|v| v.state)
}

#[test]
fn a_stored_cancellation_holds_for_all_jobs_after_it_at_once() {
    let now = start();
    let (mut m, _) = with_machine(now);
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![2]), (4, vec![])] {
        m.add_job(chained(n, &awaits), now);
    }
    m.cancel(id(1), now);
    // It may be stored by now though no answer says so.
    assert_eq!((standing(&m, 1), standing(&m, 3)), (None, None));
    assert_eq!(standing(&m, 4), Some(JobState::Queued));
    m.cancel_stored(id(1));
    for n in [1, 2, 3] {
        assert_eq!(standing(&m, n), Some(JobState::Cancelled));
    }
    // One that names a cancelled job, also through others, is accepted and cancelled.
    m.add_job(chained(5, &[3, 4]), now);
    assert_eq!(standing(&m, 5), Some(JobState::Cancelled));
    // While their final states are on their way they are called nothing else.
    let writes = m.take_writes(now);
    let finals = writes
        .iter()
        .filter(|w| matches!(w, PendingWrite::Final { .. }))
        .count();
    assert_eq!(finals, 4);
    assert_eq!(standing(&m, 5), Some(JobState::Cancelled));
}

#[test]
fn a_job_that_its_own_user_cancels_meanwhile_has_its_own_record() {
    // Else its final state could be stored before its cancellation, which would
    // then put the unfinished record back.
    let now = start();
    let (mut m, _) = with_machine(now);
    m.add_job(chained(1, &[]), now);
    m.add_job(chained(2, &[1]), now);
    m.cancel(id(2), now);
    m.cancel(id(1), now);
    m.cancel_stored(id(1));
    let finals = store_all(&mut m, now);
    assert_eq!(finals, [(id(1), JobState::Cancelled)]);
    assert_eq!(standing(&m, 2), None, "its record is on its way");
    m.cancel_stored(id(2));
    assert_eq!(store_all(&mut m, now), [(id(2), JobState::Cancelled)]);
}

#[test]
fn jobs_after_one_whose_cancellation_is_answered_with_done_go_on() {
    let now = start();
    let (mut m, machine) = with_machine(now);
    m.add_job(chained(1, &[]), now);
    m.add_job(chained(2, &[1]), now);
    m.plan(now);
    end_tasks(&mut m, &machine, 2, now);
    // Its last task is done before the cancellation arrives.
    assert!(m.jobs[&id(1)].is_complete());
    store_all(&mut m, now);
    m.cancel(id(1), now);
    assert_eq!(standing(&m, 2), Some(JobState::Queued));
    m.plan(now);
    assert_eq!(m.jobs[&id(2)].placed, 1);
}

#[test]
fn a_new_leader_tells_and_starts_nothing_before_it_knows_how_the_others_ended() {
    let now = start();
    let (mut m, _) = with_machine(now);
    m.add_job(chained(2, &[1]), now);
    m.add_job(chained(3, &[2]), now);
    m.plan(now);
    assert_eq!(m.jobs[&id(2)].placed, 0);
    assert_eq!((standing(&m, 2), standing(&m, 3)), (None, None));
    assert_eq!(m.dependencies.unresolved().iter().collect::<Vec<_>>(), [&id(1)]);
    m.resolve_dependency(id(1), DependencyOutcome::Cancelled);
    assert_eq!(standing(&m, 3), Some(JobState::Cancelled));
    assert!(m.dependencies.unresolved().is_empty());
}

/// Tasks of a job that waits, which a version without dependencies has started,
/// are stopped once the job is cancelled with one that it needs.
#[test]
fn what_an_earlier_version_started_too_early_is_stopped_with_what_it_needs() {
    let now = start();
    let (mut m, machine) = with_machine(now);
    m.add_job(chained(1, &[]), now);
    m.add_job(chained(2, &[1]), now);
    let attempt = m.new_attempt();
    let task = TaskId { job: id(2), index: 0 };
    m.place(&machine, task, attempt, false, now);
    let mut r = heartbeat(&machine, "large", "north", false, 7, 2);
    r.token = (7 << 20) + 1000;
    r.tasks = running(&m, &machine);
    m.apply_heartbeat(&r, now);
    m.cancel(id(1), now);
    m.cancel_stored(id(1));
    store_all(&mut m, now);
    assert!(m.machines[&machine].slots[&task].stop.is_some());
    assert!(m.jobs.contains_key(&id(2)), "not over before its task is gone");
}

/// Shapes of 10,000 jobs: the first is cancelled, or all are done in turn.
fn shapes() -> Vec<(&'static str, Vec<JobRecord>)> {
    const JOBS: u32 = 10_000;
    let chain = (1..JOBS).map(|n| chained(n, &[n - 1]));
    let fan = (1..JOBS).map(|n| chained(n, &[0]));
    // Each layer of a hundred waits for three of the layer before.
    let layers = (1..JOBS).map(|n| {
        let before = |k: u32| n.saturating_sub(100 + k * 7);
        chained(n, &[before(0), before(1), before(2)])
    });
    let first = || std::iter::once(chained(0, &[]));
    vec![
        ("chain", first().chain(chain).collect()),
        ("fan", first().chain(fan).collect()),
        ("layers", first().chain(layers).collect()),
    ]
}

#[test]
fn ten_thousand_jobs_are_cancelled_with_the_first_and_stored_in_bounded_batches() {
    for (shape, records) in shapes() {
        let now = start();
        let mut m = model(7);
        // In the order in which a new leader may read them.
        for record in records.iter().rev() {
            m.add_job(record.clone(), now);
        }
        assert!(m.dependencies.unresolved().is_empty(), "{shape}");
        m.cancel(id(0), now);
        m.cancel_stored(id(0));
        let cancelled = |n: &usize| standing(&m, *n) == Some(JobState::Cancelled);
        assert_eq!(
            (0..records.len()).filter(cancelled).count(),
            records.len(),
            "{shape}"
        );
        let mut stored = BTreeSet::new();
        while stored.len() < records.len() {
            let finals = store_all(&mut m, now);
            assert!(
                !finals.is_empty(),
                "{shape}: {} are left",
                records.len() - stored.len()
            );
            assert!(
                finals.len() <= m.config.txn_ops,
                "{shape}: {} at once",
                finals.len()
            );
            assert!(finals.iter().all(|f| f.1 == JobState::Cancelled), "{shape}");
            stored.extend(finals.into_iter().map(|f| f.0));
        }
        assert!(m.jobs.is_empty(), "{shape}");
    }
}

#[test]
fn ten_thousand_jobs_become_ready_in_their_turn() {
    for (shape, records) in shapes() {
        let now = start();
        let mut m = model(7);
        for record in &records {
            m.add_job(record.clone(), now);
        }
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        let mut next: Vec<JobId> = vec![id(0)];
        let mut after: BTreeMap<JobId, Vec<JobId>> = BTreeMap::new();
        for record in &records {
            for named in &record.spec.awaits {
                after.entry(*named).or_default().push(record.spec.id);
            }
        }
        while let Some(ended) = next.pop() {
            assert!(m.dependencies.is_ready(ended), "{shape}: {ended} is ready");
            m.resolve_dependency(ended, DependencyOutcome::Done(Some(now)));
            m.remove_job(ended);
            done.insert(ended);
            for dependent in after.get(&ended).into_iter().flatten() {
                let all = m.jobs[dependent].spec.awaits.iter().all(|n| done.contains(n));
                assert_eq!(m.dependencies.is_ready(*dependent), all, "{shape}: {dependent}");
                if all && !done.contains(dependent) && !next.contains(dependent) {
                    next.push(*dependent);
                }
            }
        }
        assert_eq!(done.len(), records.len(), "{shape}");
    }
}
