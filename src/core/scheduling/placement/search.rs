//! The best machines for tasks of a job.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::core::scheduling::placement::free_capacity::{FreeCapacity, Preemption};
use crate::core::scheduling::placement::planner::Planner;
use crate::core::state::prices::price_per_cpu;
use crate::wire::{JobId, JobSpec, MachineType, TaskId};

/// What a search may use.
#[derive(Debug, Clone, Copy)]
pub(super) enum SearchScope {
    /// Free capacity only.
    Free {
        /// When the task has to be predicted to end at the latest, if it matters.
        ends_by: Option<Instant>,
    },
    /// Free capacity, and what shadow tasks would give back.
    Preempting,
}

/// How good a machine is for a task, the smaller the better. The first field that
/// differs decides.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// Work lost to preemption.
    lost_work: Duration,
    /// The job failed there.
    failed: bool,
    image_absent: bool,
    not_spot: bool,
    price_per_cpu: f64,
    /// CPUs left over: the fullest machine comes first.
    cpus_left: f64,
}

/// A machine that a task may go to.
pub(super) struct Candidate {
    pub(super) score: Score,
    victims: Vec<TaskId>,
}

/// Where a task is to go, and which tasks have to stop for it.
pub(super) struct Placement {
    /// Position in [`Planner::machines`].
    pub(super) machine: usize,
    pub(super) task: TaskId,
    pub(super) victims: Vec<TaskId>,
}

impl Planner<'_> {
    /// Finds places for tasks of a job, without taking them; `None` unless there are
    /// places for all of them.
    pub(super) fn find(&mut self, id: JobId, indices: &[u32], scope: SearchScope) -> Option<Vec<Placement>> {
        let job = self.model.jobs.get(&id)?;
        let spec = job.spec.clone();
        let tasks_by_zone = self.zone_constraint(&spec);
        let zone_open = spec.one_zone && tasks_by_zone.as_ref().is_some_and(BTreeMap::is_empty);
        if zone_open {
            // A job bound to one zone takes the one with the most room for it.
            let mut zones = self.zones_by_capacity(&spec).into_iter();
            return zones.find_map(|zone| {
                let machines = self.machines_of_zone(zone);
                self.find_batch(machines, &spec, indices, tasks_by_zone.clone(), scope)
            });
        }
        if let [index] = indices {
            let task = TaskId {
                job: id,
                index: *index,
            };
            let placement = self.find_one(&self.machines, &spec, task, tasks_by_zone.as_ref(), scope);
            return placement.map(|placement| vec![placement]);
        }
        self.find_batch(self.machines.clone(), &spec, indices, tasks_by_zone, scope)
    }

    /// How good a machine is for a task of a job; `None` if it may not go there.
    pub(super) fn evaluate(
        &self,
        machine: &FreeCapacity,
        spec: &JobSpec,
        tasks_by_zone: Option<&BTreeMap<String, u32>>,
        scope: SearchScope,
    ) -> Option<Candidate> {
        let fits = machine.fits(spec);
        if !(fits || matches!(scope, SearchScope::Preempting))
            || !self.machine_allowed(spec, machine)
            || !Self::zone_allowed(spec, tasks_by_zone, &self.zone_names[machine.zone])
        {
            return None;
        }
        let job = self.model.jobs.get(&spec.id)?;
        let known = self.model.machines.get(&machine.machine)?;
        let preemption = if fits {
            Preemption::default()
        } else {
            machine.preemption_for(spec, self.now)?
        };
        let image_present = known.has_image(&spec.image);
        let machine_type = &self.types[machine.type_index];
        if let SearchScope::Free { ends_by: Some(limit) } = scope {
            let fetch = fetch_time(spec, machine_type, image_present);
            if self.now + self.model.predict(spec) + fetch > limit {
                return None;
            }
        }
        let score = Score {
            lost_work: preemption.lost_work,
            failed: job.failures.includes(&known.id),
            image_absent: !image_present,
            not_spot: !machine.spot,
            price_per_cpu: price_per_cpu(machine_type, machine.spot),
            cpus_left: machine.free.cpus - spec.cpus,
        };
        Some(Candidate {
            score,
            victims: preemption.victims,
        })
    }

    /// Finds places for tasks of a job on a copy of the machines, one after the other.
    fn find_batch(
        &self,
        mut machines: Vec<FreeCapacity>,
        spec: &JobSpec,
        indices: &[u32],
        mut tasks_by_zone: Option<BTreeMap<String, u32>>,
        scope: SearchScope,
    ) -> Option<Vec<Placement>> {
        let mut found = Vec::new();
        for index in indices {
            let task = TaskId {
                job: spec.id,
                index: *index,
            };
            let placement = self.find_one(&machines, spec, task, tasks_by_zone.as_ref(), scope)?;
            let machine = &mut machines[placement.machine];
            for victim in &placement.victims {
                machine.remove_running(*victim);
            }
            machine.claim(spec);
            if let Some(tasks) = &mut tasks_by_zone {
                let zone = self.zone_names[machine.zone].clone();
                *tasks.entry(zone).or_default() += 1;
            }
            found.push(placement);
        }
        Some(found)
    }

    /// The best machine for a task that doesn't hold an earlier attempt of it.
    fn find_one(
        &self,
        machines: &[FreeCapacity],
        spec: &JobSpec,
        task: TaskId,
        tasks_by_zone: Option<&BTreeMap<String, u32>>,
        scope: SearchScope,
    ) -> Option<Placement> {
        let mut best: Option<(Score, Placement)> = None;
        for (index, machine) in machines.iter().enumerate() {
            let Some(Candidate { score, victims }) = self.evaluate(machine, spec, tasks_by_zone, scope)
            else {
                continue;
            };
            if !self.holds_attempt(machine, task) && best.as_ref().is_none_or(|(b, _)| score < *b) {
                let placement = Placement {
                    machine: index,
                    task,
                    victims,
                };
                best = Some((score, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// Whether an attempt of the task is, or may be, on the machine already: one that
    /// has just ended there has not been acknowledged yet.
    pub(super) fn holds_attempt(&self, machine: &FreeCapacity, task: TaskId) -> bool {
        let known = self.model.machines.get(&machine.machine);
        known.is_none_or(|known| known.slots.contains_key(&task))
    }

    /// Zones with a machine that is allowed for the job, most room for its tasks first.
    fn zones_by_capacity(&self, spec: &JobSpec) -> Vec<usize> {
        let mut tasks_in_zone: BTreeMap<usize, u32> = BTreeMap::new();
        for machine in self.machines.iter().filter(|m| self.machine_allowed(spec, m)) {
            *tasks_in_zone.entry(machine.zone).or_default() += machine.tasks_that_fit(spec);
        }
        let mut zones: Vec<_> = tasks_in_zone.into_iter().collect();
        zones.sort_by_key(|(_, tasks)| Reverse(*tasks));
        zones.into_iter().map(|(zone, _)| zone).collect()
    }

    /// A copy of the machines in which those of other zones are excluded.
    fn machines_of_zone(&self, zone: usize) -> Vec<FreeCapacity> {
        let mut machines = self.machines.clone();
        for machine in machines.iter_mut().filter(|machine| machine.zone != zone) {
            machine.excluded = true;
        }
        machines
    }
}

/// How long a machine of a type takes to fetch a job's image.
fn fetch_time(spec: &JobSpec, machine_type: &MachineType, image_present: bool) -> Duration {
    if image_present || machine_type.fetch_gb_per_s <= 0.0 {
        Duration::ZERO
    } else {
        Duration::from_secs_f64(spec.image_gb / machine_type.fetch_gb_per_s)
    }
}
