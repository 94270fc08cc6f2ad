//! Over-quota load: tasks of lower priority that a team runs beyond its quota. It is an
//! addition to the paper that [`scheduling`](crate::core::scheduling) names.
//!
//! Backfilled tasks are shadow load until no waiting job outranks them. But a team
//! without a quota may also fill the free machines in the order of the queue, with tasks
//! that run for minutes, right before urgent work arrives, which then finds no free
//! capacity. A blocked head of higher priority may therefore preempt such over-quota
//! tasks like shadow load while they are young, so that little work is lost.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::core::scheduling::ranking::starvation::STARVED_FIRST_TASKS;
use crate::core::scheduling::ranking::{Rank, Tier};
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::Slot;
use crate::wire::{JobId, JobKind};

/// A task is young, and may be preempted as over-quota load, until it has run for this
/// share of its predicted run time.
const YOUNG_RUN_TIME_SHARE: f64 = 0.25;

/// How long no tasks of a job are placed after its over-quota tasks were preempted: they would
/// take the next free capacity, only to be preempted again. This is well below the limit
/// on how long a job may wait while a machine has free capacity for it.
const PAUSE_AFTER_PREEMPTION: Duration = Duration::from_secs(20);

impl ClusterModel {
    /// Pauses a job whose over-quota tasks were preempted. Further preemptions don't extend
    /// the pause: other tasks of the job may fit where the head's don't, and would leave
    /// that capacity unused for as long as the preemptions go on.
    pub(super) fn pause_after_preemption(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.pause_until.is_none_or(|end| end <= now) {
            job.pause_until = Some(now + PAUSE_AFTER_PREEMPTION);
        }
    }
}

/// The jobs whose young tasks a blocked head may preempt as over-quota load.
#[derive(Debug, Default)]
pub(super) struct OverQuotaLoad {
    jobs: HashSet<JobId>,
    /// How many tasks of each job were spared so far, so that the job keeps some placed.
    spared_tasks: HashMap<JobId, u32>,
}

impl OverQuotaLoad {
    /// The over-quota load that the head may preempt: arrays of lower priority, beyond
    /// their team's quota and without a deadline. There is none unless the head's tier
    /// is [`Tier::WithinQuota`] or [`Tier::InTime`]: a head in [`Tier::Late`] or
    /// [`Tier::Missed`] can't meet its earliest deadline any more, and one in
    /// [`Tier::Starved`] may preempt shadow load only.
    pub(super) fn for_head(model: &ClusterModel, head: JobId, ranks: &BTreeMap<JobId, Rank>) -> Self {
        let head_in_time = ranks
            .get(&head)
            .is_some_and(|rank| matches!(rank.tier, Tier::WithinQuota | Tier::InTime));
        let Some(head) = model.jobs.get(&head).filter(|_| head_in_time) else {
            return Self::default();
        };
        let head_priority = model.effective_priority(head);
        let beyond_quota = |id: &JobId| ranks.get(id).is_some_and(|rank| rank.tier != Tier::WithinQuota);
        let jobs = model
            .jobs
            .iter()
            .filter(|(_, job)| job.place_count > STARVED_FIRST_TASKS)
            .filter(|(_, job)| job.spec.kind == JobKind::Array)
            .filter(|(_, job)| model.effective_priority(job) < head_priority)
            .filter(|(id, _)| beyond_quota(id))
            .filter(|(_, job)| model.effective_deadlines(job).earliest.is_none())
            .map(|(id, _)| *id)
            .collect();
        Self {
            jobs,
            spared_tasks: HashMap::new(),
        }
    }

    /// Whether there is no over-quota load.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether a task may be preempted for the head. It must be called only once for each
    /// task, as it counts: the first [`STARVED_FIRST_TASKS`] tasks of a job are spared, so
    /// that a job that has started keeps some tasks placed.
    pub(super) fn check_preemptible(
        &mut self,
        model: &ClusterModel,
        job: JobId,
        slot: &Slot,
        now: Instant,
    ) -> bool {
        if !self.jobs.contains(&job) {
            return false;
        }
        let spared_tasks = self.spared_tasks.entry(job).or_default();
        if *spared_tasks < STARVED_FIRST_TASKS {
            *spared_tasks += 1;
            return false;
        }
        let Some(spec) = &slot.spec else { return false };
        let since = slot.running_since.unwrap_or(slot.placed_at);
        now.saturating_duration_since(since) < model.predict(spec).mul_f64(YOUNG_RUN_TIME_SHARE)
    }
}
