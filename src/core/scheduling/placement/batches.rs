//! Placing the waiting tasks of one job: one by one, all tasks of a gang together, or many
//! tasks to which the same rules apply at once.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::core::scheduling::placement::claims::PlacementKind;
use crate::core::scheduling::placement::planner::{PlacementStrategy, Planner};
use crate::core::scheduling::placement::search::{Placement, Score, SearchScope};
use crate::wire::{JobId, JobKind, JobSpec, TaskId};

/// Why the placement of a job's tasks ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementOutcome {
    /// All tasks that were to be placed were placed.
    Placed,
    /// No machine that the job may use has free capacity for the next task, or there is not
    /// enough for all tasks of a gang.
    NoFreeCapacity,
    /// The team's limit, a pause, probation, or the repair of a gang lets no further
    /// task of the job be placed now.
    NotAllowedNow,
}

/// How many tasks were placed, and why the placement ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlacementResult {
    /// Number of tasks placed before the placement ended.
    pub(super) placed: u32,
    pub(super) outcome: PlacementOutcome,
}

/// The step of the round that places tasks of a job, and its bound on them.
#[derive(Debug, Clone, Copy)]
pub(super) enum PlacementMode {
    /// In the order of the queue.
    InOrder {
        /// At most this many tasks are placed.
        max_tasks: u32,
    },
    /// By backfilling, behind a blocked head.
    Backfill {
        /// Only tasks that are predicted to end by this time are placed, if it is given.
        ends_by: Option<Instant>,
    },
}

/// Tasks of one job to which the same rules apply.
struct TaskGroup {
    spec: Arc<JobSpec>,
    /// Indices of the tasks that are still to be placed.
    waiting: VecDeque<u32>,
    attempt: u64,
    kind: PlacementKind,
    placed: u32,
}

/// The team's limit lets no further task of the group be placed now.
struct TeamLimitReached;

impl PlacementMode {
    fn max_tasks(self) -> u32 {
        match self {
            Self::InOrder { max_tasks } => max_tasks,
            Self::Backfill { .. } => u32::MAX,
        }
    }

    fn kind(self) -> PlacementKind {
        match self {
            Self::InOrder { .. } => PlacementKind::InOrder,
            Self::Backfill { .. } => PlacementKind::Backfilled,
        }
    }

    fn scope(self) -> SearchScope {
        match self {
            Self::InOrder { .. } => SearchScope::Free { ends_by: None },
            Self::Backfill { ends_by } => SearchScope::Free { ends_by },
        }
    }
}

impl PlacementResult {
    fn nothing_placed(outcome: PlacementOutcome) -> Self {
        Self { placed: 0, outcome }
    }
}

impl Planner<'_> {
    /// Places as many of a job's waiting tasks as fit and the mode allows; of a gang all or
    /// none.
    pub(super) fn place_tasks(&mut self, id: JobId, mode: PlacementMode) -> PlacementResult {
        if self.strategy == PlacementStrategy::Grouped && self.has_uniform_rules(id) {
            return self.place_group(id, mode);
        }
        let mut placed = 0;
        let outcome = loop {
            if placed >= mode.max_tasks() {
                break PlacementOutcome::Placed;
            }
            let Some(batch) = self.next_batch(id) else {
                break PlacementOutcome::Placed;
            };
            if !self.may_place(id, batch.len()) {
                break PlacementOutcome::NotAllowedNow;
            }
            let Some(placements) = self.find_placements(id, &batch, mode.scope()) else {
                break PlacementOutcome::NoFreeCapacity;
            };
            placed += placements.len() as u32;
            self.claim_all(id, placements, mode.kind());
        };
        PlacementResult { placed, outcome }
    }

    /// The tasks to place next: one, or all tasks of a gang together; `None` if none waits.
    pub(super) fn next_batch(&self, id: JobId) -> Option<Vec<u32>> {
        let job = self.model.jobs.get(&id)?;
        let first = job.waiting.first()?;
        Some(if job.spec.kind == JobKind::Gang {
            job.waiting.iter().collect()
        } else {
            vec![first]
        })
    }

    /// Whether the same rules apply to all of a job's tasks, regardless of where the others
    /// are placed, so that they can be placed as a group.
    fn has_uniform_rules(&self, id: JobId) -> bool {
        self.model.jobs.get(&id).is_some_and(|job| {
            job.spec.kind != JobKind::Gang
                && !job.spec.one_zone
                && !job.spec.spread
                && !job.is_on_probation(self.now)
        })
    }

    /// [`Planner::place_tasks`] for tasks to which the same rules apply. The machines are
    /// evaluated once, then filled from the best on, which gives the same placements as
    /// placing the tasks one by one.
    fn place_group(&mut self, id: JobId, mode: PlacementMode) -> PlacementResult {
        let Some(job) = self.model.jobs.get(&id) else {
            return PlacementResult::nothing_placed(PlacementOutcome::Placed);
        };
        if job.waiting.count() == 0 || mode.max_tasks() == 0 {
            return PlacementResult::nothing_placed(PlacementOutcome::Placed);
        }
        if !self.may_place(id, 1) {
            return PlacementResult::nothing_placed(PlacementOutcome::NotAllowedNow);
        }
        let spec = job.spec.clone();
        let candidates = self.candidates_best_first(&spec, mode.scope());
        if candidates.is_empty() {
            return PlacementResult::nothing_placed(PlacementOutcome::NoFreeCapacity);
        }
        let waiting = job.waiting.iter().take(mode.max_tasks() as usize).collect();
        let mut group = TaskGroup {
            spec,
            waiting,
            attempt: self.model.new_attempt(),
            kind: mode.kind(),
            placed: 0,
        };
        let outcome = self.fill_machines(candidates, &mut group);
        PlacementResult {
            placed: group.placed,
            outcome,
        }
    }

    /// Open machines that a task of the job may be placed on, the best first.
    fn candidates_best_first(&self, spec: &JobSpec, scope: SearchScope) -> Vec<(Score, usize)> {
        let mut candidates: Vec<(Score, usize)> = self
            .open_machines
            .iter()
            .filter_map(|position| {
                let candidate = self.score_machine(&self.machines[*position], spec, None, scope)?;
                Some((candidate.score, *position))
            })
            .collect();
        candidates.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        candidates
    }

    fn fill_machines(&mut self, candidates: Vec<(Score, usize)>, group: &mut TaskGroup) -> PlacementOutcome {
        let mut outcome = PlacementOutcome::NoFreeCapacity;
        for (_, position) in candidates {
            if let Err(TeamLimitReached) = self.fill_machine(position, group) {
                outcome = PlacementOutcome::NotAllowedNow;
                break;
            }
            if group.waiting.is_empty() {
                outcome = PlacementOutcome::Placed;
                break;
            }
        }
        self.close_full_machines();
        // A job at its team's limit is skipped, whether or not it would fit.
        if outcome == PlacementOutcome::NoFreeCapacity && !self.is_within_team_limit(&group.spec, 1) {
            return PlacementOutcome::NotAllowedNow;
        }
        outcome
    }

    /// Places tasks of the group on a machine until none fits or none is left.
    fn fill_machine(&mut self, position: usize, group: &mut TaskGroup) -> Result<(), TeamLimitReached> {
        let mut skipped = Vec::new();
        while self.machines[position].fits(&group.spec) {
            let Some(task_index) = group.waiting.pop_front() else {
                break;
            };
            let task = TaskId {
                job: group.spec.id,
                index: task_index,
            };
            if self.has_attempt(&self.machines[position], task) {
                skipped.push(task_index);
                continue;
            }
            if !self.is_within_team_limit(&group.spec, 1) {
                return Err(TeamLimitReached);
            }
            group.placed += 1;
            let placement = Placement {
                machine_index: position,
                task,
                victims: Vec::new(),
            };
            self.claim(placement, &group.spec, group.attempt, group.kind);
        }
        // Tasks that were skipped for an earlier attempt may fit on the next machine.
        for task_index in skipped.into_iter().rev() {
            group.waiting.push_front(task_index);
        }
        Ok(())
    }
}
