//! Rules that forbid a placement: limits of teams, and the requirements of jobs on zones
//! and machines.

use std::collections::BTreeMap;

use crate::core::scheduling::admission::fits_machine_type;
use crate::core::scheduling::placement::free_capacity::FreeCapacity;
use crate::core::scheduling::placement::planner::Planner;
use crate::core::state::resources::AMOUNT_TOLERANCE;
use crate::wire::{JobId, JobSpec};

impl Planner<'_> {
    /// Whether the job's own state lets tasks be placed now, and its team's limit lets
    /// `tasks` more be placed.
    pub(super) fn may_place(&self, id: JobId, tasks: usize) -> bool {
        let Some(job) = self.model.jobs.get(&id) else {
            return false;
        };
        self.model.is_ready(job)
            && !job.is_broken_gang()
            && self.model.placement_allowance(job, self.now) > 0
            && self.is_within_team_limit(&job.spec, tasks)
    }

    /// Whether the job's team stays within its limit with `tasks` more tasks of the job. A
    /// limit of 0 means unlimited.
    pub(super) fn is_within_team_limit(&self, spec: &JobSpec, tasks: usize) -> bool {
        let tasks = tasks as f64;
        let Some(team) = self.model.config.teams.get(&spec.team) else {
            return false;
        };
        let used = self.usage_by_team.get(&spec.team).copied().unwrap_or_default();
        let within = |limit: f64, used: f64, per_task: f64| {
            limit <= 0.0 || used + per_task * tasks <= limit + AMOUNT_TOLERANCE
        };
        within(team.cpu_limit, used.cpus, spec.cpus) && within(team.gpu_limit, used.gpus, spec.gpus)
    }

    /// How many tasks of a job are placed in each zone.
    pub(super) fn tasks_by_zone(&mut self, id: JobId) -> &mut BTreeMap<String, u32> {
        let model = &self.model;
        self.tasks_by_zone.entry(id).or_insert_with(|| {
            let mut tasks = BTreeMap::new();
            if let Some(job) = model.jobs.get(&id) {
                let places = job.places.values().flatten();
                for machine in places.filter_map(|id| model.machines.get(id)) {
                    *tasks.entry(machine.zone.clone()).or_default() += 1;
                }
            }
            tasks
        })
    }

    /// [`Planner::tasks_by_zone`] if the job's rules on zones depend on it: its tasks must
    /// all be in one zone, or be spread over zones; `None` otherwise.
    pub(super) fn zone_constraint(&mut self, spec: &JobSpec) -> Option<BTreeMap<String, u32>> {
        (spec.one_zone || spec.spread).then(|| self.tasks_by_zone(spec.id).clone())
    }

    /// Whether the job's rules allow its next task in a zone, given the zones of its other
    /// tasks. A spread job has at most half of its tasks, rounded up, in each zone.
    pub(super) fn is_zone_allowed(
        spec: &JobSpec,
        tasks_by_zone: Option<&BTreeMap<String, u32>>,
        zone: &str,
    ) -> bool {
        if spec.zone.as_ref().is_some_and(|required| required != zone) {
            return false;
        }
        let Some(tasks_by_zone) = tasks_by_zone else {
            return true;
        };
        if spec.one_zone && tasks_by_zone.keys().any(|used| used != zone) {
            return false;
        }
        if spec.spread {
            let here = tasks_by_zone.get(zone).copied().unwrap_or(0);
            if here + 1 > spec.tasks.div_ceil(2) {
                return false;
            }
        }
        true
    }

    /// Whether a task of the job may run on the machine if it fits: the job allows the
    /// machine's type and, for a spot machine, spot; the search doesn't exclude the machine;
    /// and the task is predicted to end before the cloud reclaims it.
    pub(super) fn is_machine_allowed(&self, spec: &JobSpec, machine: &FreeCapacity) -> bool {
        (spec.spot || !machine.spot)
            && fits_machine_type(spec, &self.machine_types[machine.type_index])
            && !machine.excluded
            && machine
                .reclaim_at
                .is_none_or(|reclaim_at| self.now + self.model.predict(spec) < reclaim_at)
    }
}
