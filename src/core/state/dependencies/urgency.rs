//! The urgency of jobs, and how jobs inherit it from their dependents.
//!
//! A job inherits the highest priority and the earliest due times of the jobs that
//! depend on it. The due times are moved earlier by the predicted run times of those
//! jobs, as the job must be done early enough for them to finish in time.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::core::state::dependencies::graph::Dependencies;
use crate::core::state::dependencies::order::VisitQueue;
use crate::wire::{JobId, Priority};

/// How urgent a job is, by itself or because of its dependents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Priority of the job, or the highest among its dependents.
    pub priority: Priority,
    /// When it is due by its earliest deadline; `None` if it has no deadline.
    pub due: Option<Instant>,
    /// When it is due by its latest deadline; `None` if it has no deadline.
    pub latest_due: Option<Instant>,
}

impl Urgency {
    /// The higher priority and the earlier due times of both.
    fn merge(self, other: Urgency) -> Urgency {
        let earlier_of = |a: Option<Instant>, b: Option<Instant>| match (a, b) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Urgency {
            priority: self.priority.max(other.priority),
            due: earlier_of(self.due, other.due),
            latest_due: earlier_of(self.latest_due, other.latest_due),
        }
    }

    /// The urgency that a job with this urgency passes on to its dependencies: they are
    /// due earlier by the job's run time.
    fn for_dependencies(self, run_time: Duration) -> Urgency {
        let minus_run_time = |due: Instant| due.checked_sub(run_time).unwrap_or(due);
        Urgency {
            priority: self.priority,
            due: self.due.map(minus_run_time),
            latest_due: self.latest_due.map(minus_run_time),
        }
    }
}

impl Dependencies {
    /// The urgency that a job inherits from its dependents, if it has any.
    pub fn inherited_urgency(&self, id: JobId) -> Option<Urgency> {
        self.inherited.get(&id).copied()
    }

    /// The urgency that a job passes on to its dependencies: its own, merged with the one
    /// that it inherits, with due times earlier by its run time.
    fn passed_on_urgency(&self, id: JobId) -> Option<Urgency> {
        let node = self.nodes.get(&id)?;
        let inherited = self.inherited.get(&id);
        let urgency = inherited.map_or(node.urgency, |inherited| node.urgency.merge(*inherited));
        Some(urgency.for_dependencies(node.run_time))
    }

    /// Passes a job's urgency on to its direct and indirect dependencies, as far as it
    /// raises the urgency that they inherit. Each job is visited at most once, after all
    /// dependents that may raise its urgency.
    pub(super) fn raise_inherited(&mut self, id: JobId) {
        let mut queue = VisitQueue::default();
        queue.insert(self.position(id), id);
        while let Some(job) = queue.pop_last() {
            self.visits += 1;
            let Some(passed_on) = self.passed_on_urgency(job) else {
                continue;
            };
            let pending: Vec<JobId> = self.nodes[&job].pending.iter().copied().collect();
            for dependency in pending {
                let old = self.inherited.get(&dependency).copied();
                let new = old.map_or(passed_on, |old| old.merge(passed_on));
                if old != Some(new) {
                    self.inherited.insert(dependency, new);
                    queue.insert(self.position(dependency), dependency);
                }
            }
        }
    }

    /// Recomputes the inherited urgency of jobs with fewer dependents than before, and
    /// passes each change on to their dependencies. Each job is visited at most once, after
    /// all dependents whose urgency may change.
    pub(super) fn lower_inherited(&mut self, jobs: BTreeSet<JobId>) {
        let mut queue = VisitQueue::default();
        for job in jobs {
            queue.insert(self.position(job), job);
        }
        while let Some(job) = queue.pop_last() {
            self.visits += 1;
            let dependents = self.dependents.get(&job).into_iter().flatten();
            let new = dependents
                .filter_map(|dependent| self.passed_on_urgency(*dependent))
                .reduce(Urgency::merge);
            if self.inherited.get(&job).copied() == new {
                continue;
            }
            match new {
                Some(new) => self.inherited.insert(job, new),
                None => self.inherited.remove(&job),
            };
            let dependencies = self.nodes.get(&job).map(|node| &node.pending);
            for dependency in dependencies.into_iter().flatten() {
                queue.insert(self.position(*dependency), *dependency);
            }
        }
    }
}
