//! Nodes and edges of the dependency graph, and which jobs are ready.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::core::state::dependencies::urgency::Urgency;
use crate::wire::JobId;

/// How a job that others depend on ended, as the state service has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyOutcome {
    /// Its `done` is stored; since when, if that is known.
    Done(Option<Instant>),
    /// Its cancellation is stored.
    Cancelled,
}

/// What the graph has to know of a job to add it.
#[derive(Debug, Clone)]
pub struct DependentJob<'a> {
    /// The job.
    pub id: JobId,
    /// The jobs that must be done before it starts, as its user named them.
    pub awaits: &'a [JobId],
    /// Its own priority and due times, apart from what it inherits.
    pub urgency: Urgency,
    /// Its predicted run time.
    pub run_time: Duration,
}

/// A job that depends on others, until it ends itself.
#[derive(Debug)]
pub(super) struct Node {
    /// Dependencies whose `done` is not known to be stored.
    pub(super) pending: BTreeSet<JobId>,
    /// When the last of the other dependencies was done, as far as that is known.
    done_since: Option<Instant>,
    /// The job's own urgency.
    pub(super) urgency: Urgency,
    /// Its predicted run time.
    pub(super) run_time: Duration,
}

/// The dependencies between all unfinished jobs of one term.
///
/// A job without dependencies has no node; it appears only where others depend on
/// it. A job is ready as soon as the `done` of each of its dependencies is stored,
/// and never becomes ready once one of them is cancelled.
#[derive(Debug, Default)]
pub struct Dependencies {
    pub(super) nodes: HashMap<JobId, Node>,
    /// For each job that some node still waits for, those nodes.
    pub(super) dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs in `dependents` that are not known to be unfinished.
    pub(super) unresolved: BTreeSet<JobId>,
    /// Jobs whose cancellation is requested, and not known to be stored.
    pub(super) cancelling: BTreeSet<JobId>,
    /// The urgency that jobs inherit from their dependents.
    pub(super) inherited: BTreeMap<JobId, Urgency>,
}

impl Dependencies {
    /// Adds an unfinished job. `is_unfinished` says which of its dependencies are
    /// known to be unfinished; the others are unresolved from now on.
    pub fn add(&mut self, job: &DependentJob, is_unfinished: impl Fn(JobId) -> bool) {
        self.unresolved.remove(&job.id);
        if job.awaits.is_empty() {
            return;
        }
        let pending: BTreeSet<JobId> = job.awaits.iter().copied().collect();
        for dependency in &pending {
            let dependents = self.dependents.entry(*dependency).or_default();
            if dependents.is_empty() && !is_unfinished(*dependency) {
                self.unresolved.insert(*dependency);
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
        self.raise_inherited(job.id);
    }

    /// Whether all dependencies of a job are done. A job that the graph doesn't know
    /// is ready as far as dependencies go.
    pub fn is_ready(&self, id: JobId) -> bool {
        self.nodes.get(&id).is_none_or(|node| node.pending.is_empty())
    }

    /// When the last dependency of a job was done; `None` if it has none, or the
    /// time is not known.
    pub fn ready_since(&self, id: JobId) -> Option<Instant> {
        self.nodes.get(&id)?.done_since
    }

    /// Whether some unfinished job still depends on this one.
    pub fn has_dependents(&self, id: JobId) -> bool {
        self.dependents.contains_key(&id)
    }

    /// Dependencies whose outcome has to be read from the state service.
    pub fn unresolved(&self) -> &BTreeSet<JobId> {
        &self.unresolved
    }

    /// A job's `done` is stored; `since` when, if that is known. Its dependents no
    /// longer wait for it.
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

    /// Removes a job that has ended. Edges to its dependents are not touched: those
    /// go with [`Self::done_stored`] or [`Self::cancellation_stored`].
    pub fn remove(&mut self, id: JobId) {
        self.cancelling.remove(&id);
        self.nodes.remove(&id);
    }
}
