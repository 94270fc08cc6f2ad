//! Cancellation along the dependency graph.

use std::collections::{BTreeSet, HashSet};

use crate::core::state::dependencies::graph::Dependencies;
use crate::wire::JobId;

impl Dependencies {
    /// A job's cancellation is requested, and may be stored at any moment. Until that
    /// is known, its dependents are [in doubt](Self::in_doubt).
    pub fn cancellation_requested(&mut self, id: JobId) {
        self.cancelling.insert(id);
    }

    /// A job's cancellation is stored. Returns all jobs that depend on it, directly
    /// or through others: that record cancels them, too, and they never become ready.
    pub fn cancellation_stored(&mut self, id: JobId) -> Vec<JobId> {
        self.cancelling.remove(&id);
        let mut cancelled = vec![id];
        let mut seen: HashSet<JobId> = HashSet::from([id]);
        let mut stack = vec![id];
        while let Some(job) = stack.pop() {
            for dependent in self.dependents.remove(&job).unwrap_or_default() {
                if seen.insert(dependent) {
                    cancelled.push(dependent);
                    stack.push(dependent);
                }
            }
        }
        self.detach(&cancelled, &seen);
        cancelled.split_off(1)
    }

    /// Removes cancelled jobs from the dependents of jobs that are not cancelled,
    /// which may be less urgent without them. `cancelled` and `cancelled_set` hold
    /// the same jobs; the list keeps the order of the walk.
    fn detach(&mut self, cancelled: &[JobId], cancelled_set: &HashSet<JobId>) {
        let mut lowered = BTreeSet::new();
        for id in cancelled {
            self.inherited.remove(id);
            self.unresolved.remove(id);
            let Some(node) = self.nodes.get(id) else { continue };
            let kept = node.pending.iter().filter(|job| !cancelled_set.contains(job));
            for dependency in kept.copied().collect::<Vec<_>>() {
                self.remove_edge(dependency, *id);
                lowered.insert(dependency);
            }
        }
        self.lower_inherited(lowered);
    }

    fn remove_edge(&mut self, dependency: JobId, dependent: JobId) {
        let Some(dependents) = self.dependents.get_mut(&dependency) else {
            return;
        };
        dependents.remove(&dependent);
        if dependents.is_empty() {
            self.dependents.remove(&dependency);
            self.unresolved.remove(&dependency);
        }
    }

    /// Whether a dependency of this job, direct or not, may be cancelled without
    /// this process knowing. Only the state service can say then whether the job is
    /// cancelled.
    pub fn in_doubt(&self, id: JobId) -> bool {
        if self.unresolved.is_empty() && self.cancelling.is_empty() {
            return false;
        }
        let mut seen = HashSet::from([id]);
        let mut stack = vec![id];
        while let Some(job) = stack.pop() {
            let Some(node) = self.nodes.get(&job) else {
                continue;
            };
            for dependency in &node.pending {
                if self.unresolved.contains(dependency) || self.cancelling.contains(dependency) {
                    return true;
                }
                if seen.insert(*dependency) {
                    stack.push(*dependency);
                }
            }
        }
        false
    }
}
