//! What forbids a placement: limits of teams, zones and kinds of machines.

use std::collections::BTreeMap;

use super::Planner;
use crate::core::scheduling::admission::fits_machine_type;
use crate::core::scheduling::capacity::FreeCapacity;
use crate::core::state::resources::AMOUNT_TOLERANCE;
use crate::wire::{JobId, JobSpec};

impl Planner<'_> {
    /// Whether the team's limit leaves room for so many more tasks.
    pub(super) fn within_limit(&self, spec: &JobSpec, tasks: usize) -> bool {
        let n = tasks as f64;
        let Some(team) = self.model.config.teams.get(&spec.team) else {
            return false;
        };
        let used = self.usage.get(&spec.team).copied().unwrap_or_default();
        let ok = |most: f64, used: f64, need: f64| most <= 0.0 || used + need * n <= most + AMOUNT_TOLERANCE;
        ok(team.cpus_max, used.cpus, spec.cpus) && ok(team.gpus_max, used.gpus, spec.gpus)
    }

    /// Zones of the job's tasks, wherever they may be.
    pub(super) fn zones_of(&mut self, id: JobId) -> &mut BTreeMap<String, u32> {
        let model = &self.model;
        self.zones.entry(id).or_insert_with(|| {
            let mut zones = BTreeMap::new();
            if let Some(job) = model.jobs.get(&id) {
                for m in job
                    .places
                    .values()
                    .flatten()
                    .filter_map(|m| model.machines.get(m))
                {
                    *zones.entry(m.zone.clone()).or_default() += 1;
                }
            }
            zones
        })
    }

    /// Zones that the job's rules forbid for its next task; `None`: no rule.
    pub(super) fn zone_rule(&mut self, spec: &JobSpec) -> Option<BTreeMap<String, u32>> {
        (spec.one_zone || spec.spread).then(|| self.zones_of(spec.id).clone())
    }

    pub(super) fn zone_allowed(spec: &JobSpec, zones: Option<&BTreeMap<String, u32>>, zone: &str) -> bool {
        if spec.zone.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        let Some(zones) = zones else { return true };
        if spec.one_zone && zones.keys().any(|z| z != zone) {
            return false;
        }
        if spec.spread {
            let here = zones.get(zone).copied().unwrap_or(0);
            if here + 1 > spec.tasks.div_ceil(2) {
                return false;
            }
        }
        true
    }

    pub(super) fn machine_allowed(&self, spec: &JobSpec, room: &FreeCapacity) -> bool {
        (spec.spot || !room.spot)
            && fits_machine_type(spec, &self.types[room.kind])
            && !room.closed
            && room
                .reclaim_at
                .is_none_or(|r| self.now + self.model.predict(spec) < r)
    }
}
