//! A topological order of the graph: dependencies come before their dependents.
//!
//! Each node has a position that is greater than those of its dependencies and less than
//! those of its dependents. Jobs without a node have no dependencies and come before all
//! nodes. A traversal that takes jobs in the order of their positions meets a job only
//! after all jobs from which a change can reach it, so it visits each job at most once.
//! Without that order it might visit a job once for each path to it, and the number of
//! paths grows exponentially with the length of a pipeline.
//!
//! Jobs may be added in any order: users submit dependencies first, a new leader loads
//! dependents first, and a job that another controller stored may be added at any time
//! after its dependents.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::core::state::dependencies::graph::Dependencies;
use crate::wire::JobId;

/// Position of the jobs that have no node.
const POSITION_WITHOUT_NODE: i64 = i64::MIN;
/// Position of a node whose dependencies and dependents all have no node.
pub(super) const FIRST_POSITION: i64 = 0;

/// Jobs that a traversal has yet to visit, each once, with their positions.
#[derive(Debug, Default)]
pub(super) struct VisitQueue {
    jobs: BTreeSet<(i64, JobId)>,
}

impl VisitQueue {
    /// Adds a job unless it is in the queue already.
    pub(super) fn insert(&mut self, position: i64, job: JobId) {
        self.jobs.insert((position, job));
    }

    /// Removes the job with the greatest position.
    pub(super) fn pop_last(&mut self) -> Option<JobId> {
        self.jobs.pop_last().map(|(_, job)| job)
    }
}

impl Dependencies {
    /// The position of a job in the topological order.
    pub(super) fn position(&self, id: JobId) -> i64 {
        self.nodes
            .get(&id)
            .map_or(POSITION_WITHOUT_NODE, |node| node.position)
    }

    /// Gives a node that was just added its position. If some of its dependents have
    /// positions that are too low, they and all their dependents are moved to higher ones.
    pub(super) fn assign_position(&mut self, id: JobId) {
        let lowest = self.lowest_position_after_dependencies(id);
        let highest = self.highest_position_before_dependents(id);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        // The highest position leaves the most room for dependencies that are added later.
        node.position = highest.or(lowest).unwrap_or(FIRST_POSITION);
        let distance = lowest.map_or(0, |lowest| lowest - node.position);
        if distance > 0 {
            self.move_with_dependents(id, distance);
        }
    }

    /// `None` if no dependency has a node.
    fn lowest_position_after_dependencies(&self, id: JobId) -> Option<i64> {
        let dependencies = self.nodes.get(&id).into_iter().flat_map(|node| &node.pending);
        let last = self.positions(dependencies).max()?;
        Some(last + 1)
    }

    /// `None` if no job depends on this one yet.
    fn highest_position_before_dependents(&self, id: JobId) -> Option<i64> {
        let dependents = self.dependents.get(&id).into_iter().flatten();
        let first = self.positions(dependents).min()?;
        Some(first - 1)
    }

    /// The positions of those of the jobs that have a node.
    fn positions<'a>(&'a self, jobs: impl Iterator<Item = &'a JobId> + 'a) -> impl Iterator<Item = i64> + 'a {
        jobs.filter_map(|job| self.nodes.get(job))
            .map(|node| node.position)
    }

    /// Moves a job and its direct and indirect dependents by the same distance. Their order
    /// among each other stays, and they are farther from all other dependencies.
    fn move_with_dependents(&mut self, id: JobId, distance: i64) {
        let mut seen = HashSet::from([id]);
        let mut stack = vec![id];
        while let Some(job) = stack.pop() {
            self.visits += 1;
            if let Some(node) = self.nodes.get_mut(&job) {
                node.position += distance;
            }
            let dependents = self.dependents.get(&job).into_iter().flatten();
            stack.extend(dependents.filter(|dependent| seen.insert(**dependent)));
        }
    }
}

/// Ranks of jobs, given with their dependencies: a job has a lower rank than those that it
/// depends on. Jobs that are added to the graph by ascending rank pass their urgency on to
/// their direct dependencies only, as those have no node yet.
pub fn ranks_dependents_first(jobs: &BTreeMap<JobId, &[JobId]>) -> HashMap<JobId, usize> {
    let mut dependents: HashMap<JobId, usize> = jobs.keys().map(|job| (*job, 0)).collect();
    for dependency in jobs.values().copied().flatten() {
        dependents.entry(*dependency).and_modify(|count| *count += 1);
    }
    let mut ranks = HashMap::new();
    let without_dependents = jobs.keys().filter(|job| dependents[*job] == 0);
    let mut stack: Vec<JobId> = without_dependents.copied().collect();
    while let Some(job) = stack.pop() {
        ranks.insert(job, ranks.len());
        for dependency in jobs[&job] {
            let Some(unranked) = dependents.get_mut(dependency) else {
                continue;
            };
            *unranked -= 1;
            if *unranked == 0 {
                stack.push(*dependency);
            }
        }
    }
    ranks
}
