//! How many of the waiting tasks could be placed if there were machines for them.

use std::time::Instant;

use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::{TeamUsage, AMOUNT_TOLERANCE};
use crate::wire::JobKind;

impl ClusterModel {
    /// How many of a job's waiting tasks may be placed now, given enough machines: as many
    /// as its pause, its probation and its team's limit allow. `team_usage` is what the team
    /// uses already.
    pub(super) fn placeable_tasks(&self, job: &Job, team_usage: TeamUsage, now: Instant) -> u32 {
        let allowance = match self.placement_allowance(job, now) {
            0 => return 0,
            // A gang is placed whole or not at all.
            _ if job.spec.kind == JobKind::Gang => u32::MAX,
            allowance => allowance,
        };
        let mut placeable = allowance.min(job.waiting.count());
        let Some(team) = self.config.teams.get(&job.spec.team) else {
            return placeable;
        };
        let limits = [
            (team.cpu_limit, team_usage.cpus, job.spec.cpus),
            (team.gpu_limit, team_usage.gpus, job.spec.gpus),
        ];
        for (limit, used, per_task) in limits {
            if limit > 0.0 && per_task > 0.0 {
                let tasks = (limit - used + AMOUNT_TOLERANCE) / per_task;
                placeable = placeable.min(tasks.max(0.0) as u32);
            }
        }
        placeable
    }

    /// Whether some job waits for nothing but capacity. A job that is paused, on probation
    /// or at its team's limit must not keep all idle machines rented: if it was submitted
    /// with a mistake, it waits until its user cancels it.
    pub(super) fn has_placeable_tasks(&self, now: Instant) -> bool {
        let usage_by_team = self.team_usage();
        self.jobs_waiting_for_capacity().any(|job| {
            let team_usage = usage_by_team.get(&job.spec.team).copied().unwrap_or_default();
            self.placeable_tasks(job, team_usage, now) > 0
        })
    }
}
