//! Cancellation of jobs and of all jobs that depend on them.

use std::collections::{BTreeSet, HashSet};

use crate::core::state::dependencies::graph::Dependencies;
use crate::wire::JobId;

impl Dependencies {
    /// Notes that a job's cancellation is requested and may be stored at any moment. Until
    /// it is known to be stored, its dependents are [in doubt](Self::has_dependency_in_doubt).
    pub fn cancellation_requested(&mut self, id: JobId) {
        self.pending_cancellations.insert(id);
    }

    /// Notes that a job's cancellation is stored. Returns all jobs that depend on it,
    /// directly or indirectly: the stored cancellation cancels them, too, and they never
    /// become ready.
    pub fn cancellation_stored(&mut self, id: JobId) -> Vec<JobId> {
        self.pending_cancellations.remove(&id);
        let mut cancelled = vec![id];
        let mut seen: HashSet<JobId> = HashSet::from([id]);
        let mut stack = vec![id];
        while let Some(job) = stack.pop() {
            self.visits += 1;
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

    /// Removes cancelled jobs from the dependents of jobs that are not cancelled, and
    /// recomputes the urgency that those inherit, as it may be lower now. `cancelled` and
    /// `cancelled_set` hold the same jobs; the list keeps the order of the traversal.
    fn detach(&mut self, cancelled: &[JobId], cancelled_set: &HashSet<JobId>) {
        let mut without_dependent = BTreeSet::new();
        for id in cancelled {
            self.inherited.remove(id);
            self.unresolved.remove(id);
            let Some(node) = self.nodes.get(id) else { continue };
            let kept = node.pending.iter().filter(|job| !cancelled_set.contains(job));
            for dependency in kept.copied().collect::<Vec<_>>() {
                self.remove_edge(dependency, *id);
                without_dependent.insert(dependency);
            }
        }
        self.lower_inherited(without_dependent);
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

    /// Whether a direct or indirect dependency of this job may be cancelled without this
    /// process knowing. Then only the state service can tell whether the job is cancelled.
    pub fn has_dependency_in_doubt(&self, id: JobId) -> bool {
        if self.unresolved.is_empty() && self.pending_cancellations.is_empty() {
            return false;
        }
        let mut seen = HashSet::from([id]);
        let mut stack = vec![id];
        while let Some(job) = stack.pop() {
            let Some(node) = self.nodes.get(&job) else {
                continue;
            };
            for dependency in &node.pending {
                if self.unresolved.contains(dependency) || self.pending_cancellations.contains(dependency) {
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
