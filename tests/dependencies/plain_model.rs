//! A plain model of jobs that wait for others, beside the graph under test: each query
//! is evaluated by walking all jobs anew.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bitternfold::core::state::dependencies::{Dependencies, DependentJob, Urgency};
use bitternfold::wire::*;
use proptest::prelude::*;

use crate::fixtures::*;
use crate::support::*;

fn urgency(priority: Priority, due: Option<Instant>) -> Urgency {
    Urgency {
        priority,
        due,
        latest_due: due,
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Open,
    Done,
    Cancelled,
}

#[derive(Debug, Clone)]
pub enum Operation {
    /// A job that awaits earlier ones; its priority, and its due time and run time in seconds.
    Add {
        awaits: Vec<usize>,
        priority: u8,
        due_s: Option<u16>,
        run_s: u8,
    },
    /// An open job that waits for none is done.
    Done(usize),
    Cancel(usize),
    /// A cancellation is requested and not yet confirmed as stored.
    RequestCancellation(usize),
    /// A new leader knows the open jobs, and looks up the others as it likes.
    Elect,
    Resolve(usize),
}

pub struct PlainJob {
    awaits: Vec<JobId>,
    state: State,
    /// Its cancellation is requested and not yet confirmed as stored.
    cancellation_requested: bool,
    own: Urgency,
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
        let urgencies = after.map(|(dependent, job)| {
            let beyond = self.inherited(*dependent);
            let priority = beyond.map_or(job.own.priority, |b| b.0.max(job.own.priority));
            let due = [job.own.due, beyond.and_then(|b| b.1)]
                .into_iter()
                .flatten()
                .min();
            (priority, due.map(|d| d - job.run_time))
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
        let got: BTreeSet<JobId> = self.graph.cancellation_stored(id).into_iter().collect();
        assert_eq!(got, expected, "cancelled with {id}");
        self.graph.remove(id);
        for dependent in got {
            self.end(dependent, State::Cancelled);
            self.graph.remove(dependent);
        }
    }

    fn end(&mut self, id: JobId, state: State) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = state;
        }
    }

    pub fn resolve(&mut self, id: JobId) {
        match self.jobs[&id].state {
            State::Open => {}
            State::Done => self.graph.done_stored(id, None),
            State::Cancelled => {
                for dependent in self.graph.cancellation_stored(id) {
                    self.end(dependent, State::Cancelled);
                    self.graph.remove(dependent);
                }
            }
        }
    }

    fn add(&mut self, awaits: Vec<usize>, priority: u8, due_s: Option<u16>, run_s: u8) {
        let new = id(self.jobs.len());
        let all = self.jobs.len();
        let awaits = awaits.into_iter().filter(|_| all > 0).map(|n| id(n % all));
        let priority = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][usize::from(priority)];
        let due = due_s.map(|s| self.start + Duration::from_secs(u64::from(s)));
        let job = PlainJob {
            awaits: awaits.collect(),
            state: State::Open,
            cancellation_requested: false,
            own: urgency(priority, due),
            run_time: Duration::from_secs(u64::from(run_s)),
        };
        self.jobs.insert(new, job);
        self.add_to_graph(new);
    }

    fn job_done(&mut self, which: usize) {
        let ready =
            |plain: &PlainModel, id: &JobId| plain.is_ready(*id) && !plain.jobs[id].cancellation_requested;
        if let Some(ended) = self.nth(which).filter(|j| ready(self, j)) {
            self.end(ended, State::Done);
            self.graph.done_stored(ended, Some(self.start));
            self.graph.remove(ended);
        }
    }

    /// Builds the graph of a new leader, from the open jobs in reverse order.
    fn elect(&mut self) {
        self.graph = Dependencies::default();
        let open: Vec<JobId> = self.jobs.keys().copied().filter(|j| self.is_open(*j)).collect();
        for id in open.into_iter().rev() {
            self.jobs.get_mut(&id).expect("open").cancellation_requested = false;
            self.add_to_graph(id);
        }
    }

    pub fn step(&mut self, operation: Operation) {
        match operation {
            Operation::Add {
                awaits,
                priority,
                due_s,
                run_s,
            } => {
                self.add(awaits, priority, due_s, run_s);
            }
            Operation::Done(which) => self.job_done(which),
            Operation::Cancel(which) => {
                if let Some(id) = self.nth(which) {
                    self.cancel(id);
                }
            }
            Operation::RequestCancellation(which) => {
                if let Some(id) = self.nth(which) {
                    self.graph.cancellation_requested(id);
                    self.jobs.get_mut(&id).expect("open").cancellation_requested = true;
                }
            }
            Operation::Elect => self.elect(),
            Operation::Resolve(which) => {
                let unresolved: Vec<JobId> = self.graph.unresolved().iter().copied().collect();
                if let Some(id) = unresolved.get(which % unresolved.len().max(1)) {
                    self.resolve(*id);
                }
            }
        }
    }

    pub fn check(&self, resolved: bool) -> Result<(), TestCaseError> {
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.state == State::Open) {
            if self.graph.is_ready(*id) {
                prop_assert!(self.is_ready(*id), "{id} is called ready too early");
            }
            if !self.graph.in_doubt(*id) {
                let requested = |n: &JobId| self.jobs[n].cancellation_requested && self.is_open(*n);
                prop_assert!(!job.awaits.iter().any(requested), "{id} is in doubt");
                prop_assert!(!self.is_cancelled(*id), "{id} is cancelled unknown to the graph");
            }
            if resolved {
                prop_assert_eq!(self.graph.is_ready(*id), self.is_ready(*id), "{} is ready", id);
                let got = self.graph.inherited_urgency(*id).map(|u| (u.priority, u.due));
                prop_assert_eq!(got, self.inherited(*id), "what {} inherits", id);
            }
        }
        Ok(())
    }
}
