//! The plain model: a reference for the dependency graph that evaluates each query by walking
//! all jobs anew. It applies each operation to itself and to the graph under test.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use bitternfold::core::state::dependencies::{Dependencies, DependentJob, Urgency};
use bitternfold::wire::*;
use proptest::prelude::*;

use crate::fixtures::*;
use crate::support::*;

pub fn urgency(priority: Priority, due: Option<Instant>) -> Urgency {
    Urgency {
        priority,
        due,
        latest_due: due,
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Unfinished,
    Done,
    Cancelled,
}

#[derive(Debug, Clone)]
pub enum Operation {
    /// Adds a job that depends on earlier ones, with its priority, its due time and its run
    /// time; both in seconds, the due time after the start of the test.
    Add {
        awaits: Vec<usize>,
        priority: u8,
        due_s: Option<u16>,
        run_s: u8,
    },
    /// An unfinished job is done, if all its dependencies are and its cancellation is not
    /// requested.
    Done(usize),
    /// The cancellation of an unfinished job is stored.
    Cancel(usize),
    /// A cancellation is requested and not yet confirmed as stored.
    RequestCancellation(usize),
    /// A new leader knows the unfinished jobs, and the outcomes of the others only once they
    /// are resolved.
    Elect,
    /// The same, but it reads the jobs in an order that this number determines.
    ElectInOrder(u32),
    /// The outcome of an unresolved dependency is read.
    Resolve(usize),
}

/// A key by which jobs are sorted into an order that differs from seed to seed.
fn shuffle_key(id: JobId, seed: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (id, seed).hash(&mut hasher);
    hasher.finish()
}

pub struct PlainJob {
    awaits: Vec<JobId>,
    state: State,
    /// Its cancellation is requested and not yet confirmed as stored.
    cancellation_requested: bool,
    own_urgency: Urgency,
    run_time: Duration,
}

pub struct PlainModel {
    pub graph: Dependencies,
    jobs: BTreeMap<JobId, PlainJob>,
    start: Instant,
}

impl PlainModel {
    pub fn new() -> Self {
        Self {
            graph: Dependencies::default(),
            jobs: BTreeMap::new(),
            start: start(),
        }
    }

    /// The unfinished job that a generated number selects.
    fn select_unfinished(&self, which: usize) -> Option<JobId> {
        let unfinished = self.jobs.iter().filter(|(_, j)| j.state == State::Unfinished);
        let ids: Vec<JobId> = unfinished.map(|(id, _)| *id).collect();
        ids.get(which % ids.len().max(1)).copied()
    }

    fn is_unfinished(&self, id: JobId) -> bool {
        self.jobs[&id].state == State::Unfinished
    }

    fn is_ready(&self, id: JobId) -> bool {
        let is_done = |n: &JobId| self.jobs[n].state == State::Done;
        self.jobs[&id].awaits.iter().all(is_done)
    }

    /// Whether a job is cancelled, by itself or with a dependency.
    fn is_cancelled(&self, id: JobId) -> bool {
        let job = &self.jobs[&id];
        job.state == State::Cancelled
            || job.state == State::Unfinished && job.awaits.iter().any(|n| self.is_cancelled(*n))
    }

    /// The priority and the due time that a job inherits from its unfinished dependents.
    fn inherited(&self, id: JobId) -> Option<(Priority, Option<Instant>)> {
        let dependents = self
            .jobs
            .iter()
            .filter(|(_, j)| j.state == State::Unfinished && j.awaits.contains(&id));
        let urgencies = dependents.map(|(dependent, job)| {
            let inherited = self.inherited(*dependent);
            let priority = inherited.map_or(job.own_urgency.priority, |b| b.0.max(job.own_urgency.priority));
            let due = [job.own_urgency.due, inherited.and_then(|b| b.1)]
                .into_iter()
                .flatten()
                .min();
            (priority, due.map(|d| d - job.run_time))
        });
        urgencies.reduce(|a, b| (a.0.max(b.0), [a.1, b.1].into_iter().flatten().min()))
    }

    /// Whether an unfinished job depends on another, directly or through unfinished ones.
    fn depends_on(&self, id: JobId, other: JobId) -> bool {
        let job = &self.jobs[&id];
        job.state == State::Unfinished
            && job
                .awaits
                .iter()
                .any(|n| *n == other || self.depends_on(*n, other))
    }

    fn add_to_graph(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        let dependent = DependentJob {
            id,
            awaits: &job.awaits,
            urgency: job.own_urgency,
            run_time: job.run_time,
        };
        let jobs = &self.jobs;
        let visits_before = self.graph.visits();
        self.graph
            .add(&dependent, |n| jobs[&n].state == State::Unfinished);
        let visits = self.graph.visits() - visits_before;
        // One visit to move the job in the order, one to pass on its urgency.
        let most = 2 * jobs.len() as u64;
        assert!(visits <= most, "{visits} visits of {} jobs for {id}", jobs.len());
    }

    fn cancel(&mut self, id: JobId) {
        let unfinished = self.unfinished_jobs();
        let is_dependent = |j: &JobId| *j != id && self.depends_on(*j, id);
        let expected: BTreeSet<JobId> = unfinished.into_iter().filter(is_dependent).collect();
        self.set_state(id, State::Cancelled);
        let got: BTreeSet<JobId> = self.graph.cancellation_stored(id).into_iter().collect();
        assert_eq!(got, expected, "jobs that are cancelled with {id}");
        self.graph.remove(id);
        for dependent in got {
            self.set_state(dependent, State::Cancelled);
            self.graph.remove(dependent);
        }
    }

    fn set_state(&mut self, id: JobId, state: State) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = state;
        }
    }

    /// Tells the graph the outcome of a job; nothing if the job is unfinished.
    pub fn resolve(&mut self, id: JobId) {
        match self.jobs[&id].state {
            State::Unfinished => {}
            State::Done => self.graph.done_stored(id, None),
            State::Cancelled => {
                for dependent in self.graph.cancellation_stored(id) {
                    self.set_state(dependent, State::Cancelled);
                    self.graph.remove(dependent);
                }
            }
        }
    }

    fn add(&mut self, awaits: Vec<usize>, priority: u8, due_s: Option<u16>, run_s: u8) {
        let new_id = job_id(self.jobs.len());
        let job_count = self.jobs.len();
        let awaits = awaits
            .into_iter()
            .filter(|_| job_count > 0)
            .map(|n| job_id(n % job_count));
        let priority = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][usize::from(priority)];
        let due = due_s.map(|s| self.start + Duration::from_secs(u64::from(s)));
        let job = PlainJob {
            awaits: awaits.collect(),
            state: State::Unfinished,
            cancellation_requested: false,
            own_urgency: urgency(priority, due),
            run_time: Duration::from_secs(u64::from(run_s)),
        };
        self.jobs.insert(new_id, job);
        self.add_to_graph(new_id);
    }

    fn finish_job(&mut self, which: usize) {
        let may_finish =
            |plain: &PlainModel, id: &JobId| plain.is_ready(*id) && !plain.jobs[id].cancellation_requested;
        if let Some(ended) = self.select_unfinished(which).filter(|j| may_finish(self, j)) {
            self.set_state(ended, State::Done);
            self.graph.done_stored(ended, Some(self.start));
            self.graph.remove(ended);
        }
    }

    fn unfinished_jobs(&self) -> Vec<JobId> {
        let ids = self.jobs.keys().copied();
        ids.filter(|id| self.is_unfinished(*id)).collect()
    }

    /// Builds the graph of a new leader from the unfinished jobs, added in this order.
    fn elect(&mut self, unfinished: impl IntoIterator<Item = JobId>) {
        self.graph = Dependencies::default();
        for id in unfinished {
            self.jobs
                .get_mut(&id)
                .expect("an unfinished job")
                .cancellation_requested = false;
            self.add_to_graph(id);
        }
    }

    /// Applies an operation to this model and to the graph.
    pub fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Add {
                awaits,
                priority,
                due_s,
                run_s,
            } => {
                self.add(awaits, priority, due_s, run_s);
            }
            Operation::Done(which) => self.finish_job(which),
            Operation::Cancel(which) => {
                if let Some(id) = self.select_unfinished(which) {
                    self.cancel(id);
                }
            }
            Operation::RequestCancellation(which) => {
                if let Some(id) = self.select_unfinished(which) {
                    self.graph.cancellation_requested(id);
                    self.jobs
                        .get_mut(&id)
                        .expect("an unfinished job")
                        .cancellation_requested = true;
                }
            }
            Operation::Elect => self.elect(self.unfinished_jobs().into_iter().rev()),
            Operation::ElectInOrder(seed) => {
                let mut unfinished = self.unfinished_jobs();
                unfinished.sort_by_cached_key(|id| shuffle_key(*id, seed));
                self.elect(unfinished);
            }
            Operation::Resolve(which) => {
                let unresolved: Vec<JobId> = self.graph.unresolved().iter().copied().collect();
                if let Some(id) = unresolved.get(which % unresolved.len().max(1)) {
                    self.resolve(*id);
                }
            }
        }
    }

    /// Compares what the graph and this model say of each unfinished job. The graph must call
    /// no job ready too early. It must hold a job in doubt that is cancelled through a
    /// dependency, or while the cancellation of one is requested. Before all dependencies are
    /// resolved, it may know less than this model; after that, it must agree on readiness and
    /// on inherited urgency.
    pub fn check(&self, all_resolved: bool) -> Result<(), TestCaseError> {
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.state == State::Unfinished) {
            if self.graph.is_ready(*id) {
                prop_assert!(self.is_ready(*id), "the graph calls {id} ready too early");
            }
            if !self.graph.has_dependency_in_doubt(*id) {
                let is_requested = |n: &JobId| self.jobs[n].cancellation_requested && self.is_unfinished(*n);
                prop_assert!(
                    !job.awaits.iter().any(is_requested),
                    "{id} is in doubt, but the graph doesn't know"
                );
                prop_assert!(
                    !self.is_cancelled(*id),
                    "{id} is cancelled, but the graph doesn't know"
                );
            }
            if all_resolved {
                prop_assert_eq!(
                    self.graph.is_ready(*id),
                    self.is_ready(*id),
                    "whether {} is ready",
                    id
                );
                let inherited = self.graph.inherited_urgency(*id).map(|u| (u.priority, u.due));
                prop_assert_eq!(inherited, self.inherited(*id), "the urgency that {} inherits", id);
            }
        }
        Ok(())
    }
}
