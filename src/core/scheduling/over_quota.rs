//! Over-quota load: tasks of low priority that a team runs beyond its quota.
//!
//! Backfilled tasks are shadow load until nothing that waits outranks them. A
//! team without a quota may also fill free machines in order, with tasks that run
//! for minutes, right before urgent work arrives that has no room then. Such
//! over-quota tasks are treated as shadow load of a blocked head of higher
//! priority as long as they are young, so that little work is lost with them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::core::scheduling::ranking::starvation::STARVED_FIRST_TASKS;
use crate::core::scheduling::ranking::{Rank, Tier};
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::Slot;
use crate::wire::{JobId, JobKind};

/// A task is young until it has run for this share of its predicted run time.
const YOUNG_SHARE: f64 = 0.25;

/// A job whose over-quota tasks were preempted starts no others for so long: they
/// would only fill the next gap to be preempted again. Well under the time that a
/// job may wait beside room.
const PAUSE_AFTER_PREEMPTION: Duration = Duration::from_secs(20);

impl ClusterModel {
    /// Pauses a job whose over-quota tasks were preempted. Further preemptions
    /// don't prolong the pause: its other tasks may have room where the head
    /// has none, and would wait beside it for as long as the preemptions go on.
    pub(super) fn pause_after_preemption(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.pause_until.is_none_or(|end| end <= now) {
            job.pause_until = Some(now + PAUSE_AFTER_PREEMPTION);
        }
    }
}

/// The jobs whose tasks are over-quota load to a blocked head.
#[derive(Debug, Default)]
pub(super) struct OverQuotaLoad {
    jobs: HashSet<JobId>,
    /// Tasks of each job that were passed over so that the job stays begun.
    spared: HashMap<JobId, u32>,
}

impl OverQuotaLoad {
    /// What is over quota from the head's point of view: running work of lower
    /// priority beyond its team's quota and without a deadline, if the head can
    /// still meet its own earliest deadline.
    pub(super) fn for_head(model: &ClusterModel, head: JobId, ranks: &BTreeMap<JobId, Rank>) -> Self {
        let served_in_time = ranks
            .get(&head)
            .is_some_and(|rank| matches!(rank.tier, Tier::WithinQuota | Tier::InTime));
        let Some(head) = model.jobs.get(&head).filter(|_| served_in_time) else {
            return Self::default();
        };
        let head_priority = model.priority(head);
        let beyond_quota = |id: &JobId| ranks.get(id).is_some_and(|rank| rank.tier != Tier::WithinQuota);
        let jobs = model
            .jobs
            .iter()
            .filter(|(_, job)| job.place_count > STARVED_FIRST_TASKS)
            .filter(|(_, job)| job.spec.kind == JobKind::Array)
            .filter(|(_, job)| model.priority(job) < head_priority)
            .filter(|(id, _)| beyond_quota(id))
            .filter(|(_, job)| model.deadlines(job).earliest.is_none())
            .map(|(id, _)| *id)
            .collect();
        Self {
            jobs,
            spared: HashMap::new(),
        }
    }

    /// Whether no job runs over quota.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether a task may be preempted for the head. To be called once for each
    /// task: the first few of a job are spared, so that a job once begun stays so.
    pub(super) fn admits_preemption(
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
