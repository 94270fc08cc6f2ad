//! The dependency graph: which unfinished jobs wait for which others.
//!
//! A job names the jobs that must be done before any of its tasks may start.
//! Only two facts move the graph: that a named job's `done` is stored, and that
//! its cancellation is stored, which cancels all jobs after it. A job whose end
//! is not known yet is *unresolved*: nothing after it starts, and nothing is
//! told of those jobs from memory, until the state service has been read.
//!
//! Jobs before others inherit the highest priority and the earliest due time of
//! those that need them. Work is in proportion to the edges that change, and no
//! walk recurses, so that chains may be of any length.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::wire::{JobId, Priority};

/// How a job that others wait for ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyOutcome {
    /// Its `done` is stored; since when, if that is known.
    Done(Option<Instant>),
    /// Its cancellation is stored.
    Cancelled,
}

/// How urgent a job is: by itself, or for the sake of the jobs after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Its priority.
    pub priority: Priority,
    /// When it is due by the strictest aim.
    pub due: Option<Instant>,
    /// When it is due by the laxest aim.
    pub latest_due: Option<Instant>,
}

impl Urgency {
    /// The more urgent of both in every respect.
    fn merged(self, other: Urgency) -> Urgency {
        let earlier = |a: Option<Instant>, b: Option<Instant>| match (a, b) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Urgency {
            priority: self.priority.max(other.priority),
            due: earlier(self.due, other.due),
            latest_due: earlier(self.latest_due, other.latest_due),
        }
    }

    /// What a job before this one has to keep to, given this one's own run time.
    fn before(self, run_time: Duration) -> Urgency {
        let earlier = |due: Instant| due.checked_sub(run_time).unwrap_or(due);
        Urgency {
            priority: self.priority,
            due: self.due.map(earlier),
            latest_due: self.latest_due.map(earlier),
        }
    }
}

/// A job that names others, as the graph takes it in.
#[derive(Debug, Clone)]
pub struct DependentJob<'a> {
    /// Its id.
    pub id: JobId,
    /// The jobs that it names.
    pub awaits: &'a [JobId],
    /// How urgent it is by itself.
    pub urgency: Urgency,
    /// The run time predicted for it.
    pub run_time: Duration,
}

/// A job that names others, until it ends itself.
#[derive(Debug)]
struct Node {
    /// Named jobs whose `done` is not known to be stored.
    pending: BTreeSet<JobId>,
    /// When the last of the others was done, as far as that is known.
    done_since: Option<Instant>,
    urgency: Urgency,
    run_time: Duration,
}

/// The graph of all unfinished jobs of one term.
#[derive(Debug, Default)]
pub struct Dependencies {
    nodes: HashMap<JobId, Node>,
    /// For each job that some node still waits for, those nodes.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs in `dependents` that are not known to be unfinished.
    unresolved: BTreeSet<JobId>,
    /// Jobs whose cancellation is on its way to be stored.
    cancelling: BTreeSet<JobId>,
    /// What jobs inherit from those after them.
    inherited: BTreeMap<JobId, Urgency>,
}

impl Dependencies {
    /// Adds an unfinished job. `is_unfinished` tells which of the jobs that it
    /// names are known to be unfinished; the others are unresolved from now on.
    pub fn add(&mut self, job: &DependentJob, is_unfinished: impl Fn(JobId) -> bool) {
        self.unresolved.remove(&job.id);
        if job.awaits.is_empty() {
            return;
        }
        let pending: BTreeSet<JobId> = job.awaits.iter().copied().collect();
        for named in &pending {
            let dependents = self.dependents.entry(*named).or_default();
            if dependents.is_empty() && !is_unfinished(*named) {
                self.unresolved.insert(*named);
            }
            dependents.insert(job.id);
        }
        self.nodes.insert(
            job.id,
            Node {
                pending,
                done_since: None,
                urgency: job.urgency,
                run_time: job.run_time,
            },
        );
        self.raise_before(job.id);
    }

    /// Whether all jobs that a job needs are done, as far as dependencies go.
    pub fn is_ready(&self, id: JobId) -> bool {
        self.nodes.get(&id).is_none_or(|node| node.pending.is_empty())
    }

    /// When the last job that a job needs was done; `None`: it needs none, or
    /// the time is not known.
    pub fn ready_since(&self, id: JobId) -> Option<Instant> {
        self.nodes.get(&id)?.done_since
    }

    /// Whether some unfinished job waits for this one.
    pub fn has_dependents(&self, id: JobId) -> bool {
        self.dependents.contains_key(&id)
    }

    /// What a job inherits from the jobs that need it.
    pub fn inherited_urgency(&self, id: JobId) -> Option<Urgency> {
        self.inherited.get(&id).copied()
    }

    /// Named jobs whose end has to be looked up.
    pub fn unresolved(&self) -> &BTreeSet<JobId> {
        &self.unresolved
    }

    /// A job's `done` is stored.
    pub fn done_stored(&mut self, id: JobId, since: Option<Instant>) {
        self.unresolved.remove(&id);
        self.inherited.remove(&id);
        for dependent in self.dependents.remove(&id).unwrap_or_default() {
            if let Some(node) = self.nodes.get_mut(&dependent) {
                node.pending.remove(&id);
                node.done_since = node.done_since.max(since);
            }
        }
    }

    /// A job's cancellation has been asked for, and may be stored at any moment.
    pub fn cancellation_requested(&mut self, id: JobId) {
        self.cancelling.insert(id);
    }

    /// A job's cancellation is stored. All jobs that need it, directly or through
    /// others, are cancelled by that; they never become ready.
    pub fn cancellation_stored(&mut self, id: JobId) -> Vec<JobId> {
        self.cancelling.remove(&id);
        let mut all = vec![id];
        let mut seen: HashSet<JobId> = HashSet::from([id]);
        let mut next = vec![id];
        while let Some(ended) = next.pop() {
            for dependent in self.dependents.remove(&ended).unwrap_or_default() {
                if seen.insert(dependent) {
                    all.push(dependent);
                    next.push(dependent);
                }
            }
        }
        self.detach(&all, &seen);
        all.split_off(1)
    }

    /// Takes cancelled jobs out of the lists of other jobs that they named, which
    /// may be less urgent without them.
    fn detach(&mut self, cancelled: &[JobId], ended: &HashSet<JobId>) {
        let mut lowered = BTreeSet::new();
        for id in cancelled {
            self.inherited.remove(id);
            self.unresolved.remove(id);
            let Some(node) = self.nodes.get(id) else { continue };
            let others = node.pending.iter().filter(|named| !ended.contains(named));
            for named in others.copied().collect::<Vec<_>>() {
                self.remove_edge(named, *id);
                lowered.insert(named);
            }
        }
        self.lower(lowered);
    }

    fn remove_edge(&mut self, named: JobId, dependent: JobId) {
        let Some(dependents) = self.dependents.get_mut(&named) else {
            return;
        };
        dependents.remove(&dependent);
        if dependents.is_empty() {
            self.dependents.remove(&named);
            self.unresolved.remove(&named);
        }
    }

    /// A job has ended and is known no more.
    pub fn remove(&mut self, id: JobId) {
        self.cancelling.remove(&id);
        self.nodes.remove(&id);
    }

    /// Whether a job before this one may be cancelled without our knowing, so
    /// that only the state service tells whether this one is.
    pub fn in_doubt(&self, id: JobId) -> bool {
        if self.unresolved.is_empty() && self.cancelling.is_empty() {
            return false;
        }
        let mut seen = HashSet::from([id]);
        let mut next = vec![id];
        while let Some(job) = next.pop() {
            let Some(node) = self.nodes.get(&job) else {
                continue;
            };
            for named in &node.pending {
                if self.unresolved.contains(named) || self.cancelling.contains(named) {
                    return true;
                }
                if seen.insert(*named) {
                    next.push(*named);
                }
            }
        }
        false
    }

    /// How urgent a job is, by itself and for those after it.
    fn urgency(&self, id: JobId) -> Option<(Urgency, Duration)> {
        let node = self.nodes.get(&id)?;
        let inherited = self.inherited.get(&id);
        let urgency = inherited.map_or(node.urgency, |i| node.urgency.merged(*i));
        Some((urgency, node.run_time))
    }

    /// Passes a job's urgency on to the jobs before it, as far as it raises theirs.
    fn raise_before(&mut self, id: JobId) {
        let mut next = vec![id];
        while let Some(job) = next.pop() {
            let Some((urgency, run_time)) = self.urgency(job) else {
                continue;
            };
            let passed_on = urgency.before(run_time);
            let pending: Vec<JobId> = self.nodes[&job].pending.iter().copied().collect();
            for named in pending {
                let old = self.inherited.get(&named).copied();
                let new = old.map_or(passed_on, |o| o.merged(passed_on));
                if old != Some(new) {
                    self.inherited.insert(named, new);
                    next.push(named);
                }
            }
        }
    }

    /// Works out anew what jobs inherit that lost some of those after them.
    fn lower(&mut self, jobs: BTreeSet<JobId>) {
        let mut next: Vec<JobId> = jobs.into_iter().collect();
        while let Some(named) = next.pop() {
            let dependents = self.dependents.get(&named).into_iter().flatten();
            let new = dependents
                .filter_map(|d| self.urgency(*d))
                .map(|(urgency, run_time)| urgency.before(run_time))
                .reduce(Urgency::merged);
            if self.inherited.get(&named).copied() == new {
                continue;
            }
            match new {
                Some(new) => self.inherited.insert(named, new),
                None => self.inherited.remove(&named),
            };
            let before = self.nodes.get(&named).map(|node| &node.pending);
            next.extend(before.into_iter().flatten());
        }
    }
}
