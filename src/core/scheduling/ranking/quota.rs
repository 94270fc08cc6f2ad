//! Team quotas: the CPUs and accelerators that each team is guaranteed.

use std::collections::{HashMap, HashSet};

use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::{TeamUsage, AMOUNT_TOLERANCE};
use crate::wire::JobId;

impl ClusterModel {
    /// The jobs that fit into their team's quota together with all unfinished jobs of
    /// the team that became ready before them.
    pub(super) fn jobs_within_quota(&self) -> HashSet<JobId> {
        let mut by_ready_time: Vec<&Job> = self.ready_jobs().collect();
        by_ready_time.sort_by_cached_key(|job| (self.ready_since(job), job.spec.id));
        let mut needed_by_team: HashMap<&str, TeamUsage> = HashMap::new();
        let mut within = HashSet::new();
        for job in by_ready_time {
            let Some(team) = self.config.teams.get(&job.spec.team) else {
                continue;
            };
            let tasks = f64::from(job.spec.tasks);
            let needed = needed_by_team.entry(&job.spec.team).or_default();
            needed.cpus += tasks * job.spec.cpus;
            needed.gpus += tasks * job.spec.gpus;
            if needed.cpus <= team.cpu_quota + AMOUNT_TOLERANCE
                && needed.gpus <= team.gpu_quota + AMOUNT_TOLERANCE
            {
                within.insert(job.spec.id);
            }
        }
        within
    }
}
