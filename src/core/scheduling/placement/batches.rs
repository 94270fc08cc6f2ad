//! Placing the waiting tasks of one job: one by one, a gang as a whole, or many tasks
//! to which the same rules apply at once.

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
    /// All tasks that were to be placed are.
    Placed,
    /// No machine has room for the next one.
    NoRoom,
    /// Its team's limit, its own pause, or its placement rules forbid it now.
    NotAllowedNow,
}

/// What became of the tasks that were to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlacementResult {
    /// How many were placed.
    pub(super) placed: u32,
    pub(super) outcome: PlacementOutcome,
}

/// In which step of the round, and how many, tasks of a job are to be placed.
#[derive(Debug, Clone, Copy)]
pub(super) enum PlacementMode {
    /// In the order of the queue.
    InOrder {
        /// So many at most.
        max_tasks: u32,
    },
    /// By backfilling.
    Backfill {
        /// Only where they are predicted to end by then, if it is given.
        ends_by: Option<Instant>,
    },
}

/// Tasks of one job to which the same rules apply.
struct TaskGroup {
    spec: Arc<JobSpec>,
    /// Numbers of the tasks that are still to be placed.
    waiting: VecDeque<u32>,
    attempt: u64,
    kind: PlacementKind,
    placed: u32,
}

/// No further task of the group may start now.
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
    fn none(outcome: PlacementOutcome) -> Self {
        Self { placed: 0, outcome }
    }
}

impl Planner<'_> {
    /// Places as many of a job's waiting tasks as fit and the mode allows, a
    /// gang's all or none.
    pub(super) fn place_tasks(&mut self, id: JobId, mode: PlacementMode) -> PlacementResult {
        if self.strategy == PlacementStrategy::Grouped && self.same_rules_apply(id) {
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
            if !self.may_start(id, batch.len()) {
                break PlacementOutcome::NotAllowedNow;
            }
            let Some(placements) = self.find(id, &batch, mode.scope()) else {
                break PlacementOutcome::NoRoom;
            };
            placed += placements.len() as u32;
            self.claim_all(id, placements, mode.kind());
        };
        PlacementResult { placed, outcome }
    }

    /// What is to be placed together: one task, or all of a gang.
    pub(super) fn next_batch(&self, id: JobId) -> Option<Vec<u32>> {
        let job = self.model.jobs.get(&id)?;
        let first = job.waiting.first()?;
        Some(if job.spec.kind == JobKind::Gang {
            job.waiting.iter().collect()
        } else {
            vec![first]
        })
    }

    /// Whether the same rules apply to all of a job's tasks, whatever became of the
    /// others: then they are placed together.
    fn same_rules_apply(&self, id: JobId) -> bool {
        self.model.jobs.get(&id).is_some_and(|job| {
            job.spec.kind != JobKind::Gang
                && !job.spec.one_zone
                && !job.spec.spread
                && !job.on_probation(self.now)
        })
    }

    /// [`Planner::place_tasks`] for tasks to which the same rules apply: the machines
    /// are judged once, then filled from the best on, as one by one would do it.
    fn place_group(&mut self, id: JobId, mode: PlacementMode) -> PlacementResult {
        let Some(job) = self.model.jobs.get(&id) else {
            return PlacementResult::none(PlacementOutcome::Placed);
        };
        if job.waiting.count() == 0 || mode.max_tasks() == 0 {
            return PlacementResult::none(PlacementOutcome::Placed);
        }
        if !self.may_start(id, 1) {
            return PlacementResult::none(PlacementOutcome::NotAllowedNow);
        }
        let spec = job.spec.clone();
        let candidates = self.best_first(&spec, mode.scope());
        if candidates.is_empty() {
            return PlacementResult::none(PlacementOutcome::NoRoom);
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

    /// Open machines that a task of the job may go to, the best first.
    fn best_first(&self, spec: &JobSpec, scope: SearchScope) -> Vec<(Score, usize)> {
        let mut candidates: Vec<(Score, usize)> = self
            .open_machines
            .iter()
            .filter_map(|index| {
                let candidate = self.evaluate(&self.machines[*index], spec, None, scope)?;
                Some((candidate.score, *index))
            })
            .collect();
        candidates.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        candidates
    }

    fn fill_machines(&mut self, candidates: Vec<(Score, usize)>, group: &mut TaskGroup) -> PlacementOutcome {
        let mut outcome = PlacementOutcome::NoRoom;
        for (_, index) in candidates {
            if let Err(TeamLimitReached) = self.fill_machine(index, group) {
                outcome = PlacementOutcome::NotAllowedNow;
                break;
            }
            if group.waiting.is_empty() {
                outcome = PlacementOutcome::Placed;
                break;
            }
        }
        self.close_full_machines();
        // A job at its team's limit is skipped, whatever room there is.
        if outcome == PlacementOutcome::NoRoom && !self.within_team_limit(&group.spec, 1) {
            return PlacementOutcome::NotAllowedNow;
        }
        outcome
    }

    /// Places tasks of the group on one machine until it is full or none is left.
    fn fill_machine(&mut self, index: usize, group: &mut TaskGroup) -> Result<(), TeamLimitReached> {
        let mut passed_over = Vec::new();
        while self.machines[index].fits(&group.spec) {
            let Some(number) = group.waiting.pop_front() else {
                break;
            };
            let task = TaskId {
                job: group.spec.id,
                index: number,
            };
            if self.holds_attempt(&self.machines[index], task) {
                passed_over.push(number);
                continue;
            }
            if !self.within_team_limit(&group.spec, 1) {
                return Err(TeamLimitReached);
            }
            group.placed += 1;
            let placement = Placement {
                machine: index,
                task,
                victims: Vec::new(),
            };
            self.claim(placement, &group.spec, group.attempt, group.kind);
        }
        // They may go to the next machine.
        for number in passed_over.into_iter().rev() {
            group.waiting.push_front(number);
        }
        Ok(())
    }
}
