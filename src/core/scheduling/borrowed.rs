//! Borrowed load: tasks of low priority that a team runs beyond its guarantee.
//!
//! Backfilled tasks are shadow load until nothing that waits outranks them. A
//! team without a guarantee may also fill free machines in order, with tasks
//! that run for minutes, right before urgent work arrives that has no room then.
//! Such borrowed tasks are treated as shadow load of a blocked head of higher
//! priority as long as they are young, so that little work is lost with them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::core::scheduling::ranking::{Rank, Tier, STARVED_FIRST_TASKS};
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::Slot;
use crate::wire::{JobId, JobKind};

/// A task is young until it has run for this share of its predicted run time.
const YOUNG_SHARE: f64 = 0.25;

/// A job whose borrowed tasks were stopped starts no others for so long: they
/// would only fill the next gap to be stopped again. Well under the time that a
/// job may wait beside room.
const PAUSE_AFTER_STOP: Duration = Duration::from_secs(20);

impl ClusterModel {
    /// Pauses a job whose borrowed tasks were stopped for others. Further stops
    /// don't prolong the pause: its other tasks may have room where the head
    /// has none, and would wait beside it for as long as the stops go on.
    pub(in crate::core) fn pause_borrower(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.pause_until.is_none_or(|end| end <= now) {
            job.pause_until = Some(now + PAUSE_AFTER_STOP);
        }
    }
}

/// The jobs whose tasks are borrowed load to a blocked head.
#[derive(Debug, Default)]
pub(in crate::core) struct BorrowedLoad {
    jobs: HashSet<JobId>,
    /// Tasks of each job that were passed over so that the job stays begun.
    spared: HashMap<JobId, u32>,
}

impl BorrowedLoad {
    /// What is borrowed from the head's point of view: running work of lower
    /// priority beyond its team's guarantee, for which no time was promised, if
    /// the head can still be served as its user was told.
    pub(in crate::core) fn for_head(
        model: &ClusterModel,
        head: JobId,
        ranks: &BTreeMap<JobId, Rank>,
    ) -> Self {
        let served_in_time = ranks
            .get(&head)
            .is_some_and(|rank| matches!(rank.1, Tier::Guaranteed | Tier::InTime));
        let Some(head) = model.jobs.get(&head).filter(|_| served_in_time) else {
            return Self::default();
        };
        let head_priority = model.priority(head);
        let beyond_guarantee = |id: &JobId| ranks.get(id).is_some_and(|rank| rank.1 != Tier::Guaranteed);
        let jobs = model
            .jobs
            .iter()
            .filter(|(_, job)| job.placed > STARVED_FIRST_TASKS)
            .filter(|(_, job)| job.spec.kind == JobKind::Array)
            .filter(|(_, job)| model.priority(job) < head_priority)
            .filter(|(id, _)| beyond_guarantee(id))
            .filter(|(_, job)| model.deadlines(job).0.is_none())
            .map(|(id, _)| *id)
            .collect();
        Self {
            jobs,
            spared: HashMap::new(),
        }
    }

    /// Whether nothing is borrowed.
    pub(in crate::core) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether a task may be stopped for the head. Asked once for each task: the
    /// first few of a job are spared, so that a job once begun stays so.
    pub(in crate::core) fn admits_stop(
        &mut self,
        model: &ClusterModel,
        job: JobId,
        slot: &Slot,
        now: Instant,
    ) -> bool {
        if !self.jobs.contains(&job) {
            return false;
        }
        let spared = self.spared.entry(job).or_default();
        if *spared < STARVED_FIRST_TASKS {
            *spared += 1;
            return false;
        }
        let Some(spec) = &slot.spec else { return false };
        let since = slot.running_since.unwrap_or(slot.placed_at);
        now.saturating_duration_since(since) < model.predict(spec).mul_f64(YOUNG_SHARE)
    }
}
