//! Nodes and edges of the dependency graph, and which jobs are ready.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::core::state::dependencies::order::FIRST_POSITION;
use crate::core::state::dependencies::urgency::Urgency;
use crate::wire::JobId;

/// The outcome of a job that others depend on, according to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyOutcome {
    /// Its final state `done` is stored; with the time at which it was done, if known.
    Done(Option<Instant>),
    /// Its cancellation is stored, which cancels its dependents.
    Cancelled,
}

/// What the graph needs to know about a job to add it.
#[derive(Debug, Clone)]
pub struct DependentJob<'a> {
    /// Id under which other jobs name it as a dependency.
    pub id: JobId,
    /// The jobs that must be done before it may start, as its user named them.
    pub awaits: &'a [JobId],
    /// Its own priority and due times, without those that it inherits.
    pub urgency: Urgency,
    /// Its predicted run time: its dependencies are due earlier by it.
    pub run_time: Duration,
}

/// An unfinished job that depends on others.
#[derive(Debug)]
pub(super) struct Node {
    /// Dependencies that are not known to be stored as `done`.
    pub(super) pending: BTreeSet<JobId>,
    /// Latest time at which one of its other dependencies was done, as far as known.
    last_done_at: Option<Instant>,
    /// The job's own urgency, without what it inherits.
    pub(super) urgency: Urgency,
    /// Its predicted run time: its dependencies are due earlier by it.
    pub(super) run_time: Duration,
    /// Its position in the [topological order](super::order).
    pub(super) position: i64,
}

/// The dependencies between all unfinished jobs of one term.
///
/// A job without dependencies has no node; it appears only as a dependency of others. A
/// job is ready as soon as each of its dependencies is stored as `done`, and never
/// becomes ready once one of them is cancelled.
#[derive(Debug, Default)]
pub struct Dependencies {
    pub(super) nodes: HashMap<JobId, Node>,
    /// For each job that others still wait for, the jobs that wait for it.
    pub(super) dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs with an entry in `dependents` that are not known to be unfinished.
    pub(super) unresolved: BTreeSet<JobId>,
    /// Jobs whose cancellation is requested, but not known to be stored.
    pub(super) pending_cancellations: BTreeSet<JobId>,
    /// The urgency that jobs inherit from their dependents.
    pub(super) inherited: BTreeMap<JobId, Urgency>,
    /// See [`Dependencies::visits`].
    pub(super) visits: u64,
}

impl Dependencies {
    /// Adds an unfinished job. A dependency for which `is_unfinished` is false becomes
    /// unresolved, unless other jobs depend on it already.
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
                last_done_at: None,
                urgency: job.urgency,
                run_time: job.run_time,
                position: FIRST_POSITION,
            },
        );
        self.assign_position(job.id);
        self.raise_inherited(job.id);
    }

    /// Whether all dependencies of a job are done; true for a job that has no node.
    pub fn is_ready(&self, id: JobId) -> bool {
        self.nodes.get(&id).is_none_or(|node| node.pending.is_empty())
    }

    /// When the last dependency of a job was done; `None` if it has none or the time is
    /// not known.
    pub fn ready_since(&self, id: JobId) -> Option<Instant> {
        self.nodes.get(&id)?.last_done_at
    }

    /// Whether some unfinished job still waits for this one.
    pub fn has_dependents(&self, id: JobId) -> bool {
        self.dependents.contains_key(&id)
    }

    /// Dependencies whose outcome has to be read from the state service.
    pub fn unresolved(&self) -> &BTreeSet<JobId> {
        &self.unresolved
    }

    /// How many jobs the traversals that follow changes of the graph have visited, a job
    /// that is visited several times counted each time. This measures their work.
    pub fn visits(&self) -> u64 {
        self.visits
    }

    /// Notes that a job is stored as `done`, and when it was done if that is known. Its
    /// dependents no longer wait for it.
    pub fn done_stored(&mut self, id: JobId, done_at: Option<Instant>) {
        self.unresolved.remove(&id);
        self.inherited.remove(&id);
        for dependent in self.dependents.remove(&id).unwrap_or_default() {
            if let Some(node) = self.nodes.get_mut(&dependent) {
                node.pending.remove(&id);
                node.last_done_at = node.last_done_at.max(done_at);
            }
        }
    }

    /// Removes a finished job. The edges to its dependents stay: [`Self::done_stored`] or
    /// [`Self::cancellation_stored`] removes them.
    pub fn remove(&mut self, id: JobId) {
        self.pending_cancellations.remove(&id);
        self.nodes.remove(&id);
    }
}
