//! Which machines accept tasks now, how many tasks of a job may be placed, and how much
//! each team's tasks use.

use std::collections::HashMap;
use std::time::Instant;

use crate::core::state::job::Job;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::TeamUsage;

impl ClusterModel {
    /// Resources that each team's placed tasks use. A task that may be on several machines
    /// counts once for each of them.
    pub(in crate::core) fn team_usage(&self) -> HashMap<String, TeamUsage> {
        let mut usage_by_team: HashMap<String, TeamUsage> = HashMap::new();
        for job in self.jobs.values().filter(|job| job.place_count > 0) {
            let tasks = f64::from(job.place_count);
            let usage = usage_by_team.entry(job.spec.team.clone()).or_default();
            usage.cpus += tasks * job.spec.cpus;
            usage.gpus += tasks * job.spec.gpus;
        }
        usage_by_team
    }

    /// Whether tasks may be placed on a machine: it is up, fenced by this term, reachable
    /// in both directions, not cordoned, and has not just refused a start for lack of
    /// free resources.
    pub fn is_schedulable(&self, machine: &Machine, now: Instant) -> bool {
        machine.phase == MachinePhase::Up
            && machine.is_fenced_by(self.term)
            && machine.cordoned_since.is_none()
            && !machine.address.is_empty()
            && machine.no_placement_before.is_none_or(|end| end <= now)
            // While commands are unanswered, the worker may hang, or may receive nothing that
            // it is sent.
            && machine.commands_unanswered_since.is_none()
            && machine.last_heartbeat.is_some()
            && self.silence(machine, now) < self.config.heartbeat_interval * 2
    }

    /// How many more tasks of a job may be placed now: none while it is cancelled or
    /// paused, and on probation its placement limit less the tasks that are placed. The
    /// team's limit is not considered.
    pub(in crate::core) fn placement_allowance(&self, job: &Job, now: Instant) -> u32 {
        if job.cancelled || job.pause_until.is_some_and(|end| end > now) {
            return 0;
        }
        self.placement_limit(job, now).saturating_sub(job.place_count)
    }
}
