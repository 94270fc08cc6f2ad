//! The search for the best machines for a job's tasks.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::core::scheduling::placement::free_capacity::{FreeCapacity, Preemption};
use crate::core::scheduling::placement::planner::Planner;
use crate::core::state::prices::price_per_cpu;
use crate::wire::{JobId, JobSpec, MachineType, TaskId};

/// Which capacity a search may use.
#[derive(Debug, Clone, Copy)]
pub(super) enum SearchScope {
    /// Only capacity that is free now.
    Free {
        /// The task must be predicted to end by this time, if it is given.
        ends_by: Option<Instant>,
    },
    /// Free capacity, and what tasks that may be preempted would release.
    Preempting,
}

/// Score of a machine for a task; the smallest is best. Scores are compared field by field
/// in the order of declaration.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// Sum of the run times lost to preemption, see [`Preemption::lost_work`].
    lost_work: Duration,
    /// Whether a task of the job failed on the machine.
    job_failed: bool,
    image_absent: bool,
    not_spot: bool,
    price_per_cpu: f64,
    /// CPUs left over after the placement, so that the fullest machine comes first.
    cpus_left: f64,
}

/// Score of a machine that a task may be placed on, and the tasks to preempt there.
pub(super) struct Candidate {
    pub(super) score: Score,
    victims: Vec<TaskId>,
}

/// The machine chosen for a task, and the tasks to preempt there.
pub(super) struct Placement {
    /// Position in [`Planner::machines`].
    pub(super) machine_index: usize,
    pub(super) task: TaskId,
    pub(super) victims: Vec<TaskId>,
}

impl Planner<'_> {
    /// Finds machines for tasks of a job without placing them; `None` unless there is
    /// capacity for all of them.
    pub(super) fn find_placements(
        &mut self,
        id: JobId,
        indices: &[u32],
        scope: SearchScope,
    ) -> Option<Vec<Placement>> {
        let job = self.model.jobs.get(&id)?;
        let spec = job.spec.clone();
        let tasks_by_zone = self.zone_constraint(&spec);
        let zone_undecided = spec.one_zone && tasks_by_zone.as_ref().is_some_and(BTreeMap::is_empty);
        if zone_undecided {
            // All tasks go to one zone, and none is placed yet: the zone with free capacity
            // for the most of them is tried first.
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
            let placement =
                self.find_best_machine(&self.machines, &spec, task, tasks_by_zone.as_ref(), scope);
            return placement.map(|placement| vec![placement]);
        }
        self.find_batch(self.machines.clone(), &spec, indices, tasks_by_zone, scope)
    }

    /// Scores a machine for a task of a job; `None` if the task can't be placed there.
    pub(super) fn score_machine(
        &self,
        machine: &FreeCapacity,
        spec: &JobSpec,
        tasks_by_zone: Option<&BTreeMap<String, u32>>,
        scope: SearchScope,
    ) -> Option<Candidate> {
        let fits = machine.fits(spec);
        if !(fits || matches!(scope, SearchScope::Preempting))
            || !self.is_machine_allowed(spec, machine)
            || !Self::is_zone_allowed(spec, tasks_by_zone, &self.zone_names[machine.zone_index])
        {
            return None;
        }
        let job = self.model.jobs.get(&spec.id)?;
        let model_machine = self.model.machines.get(&machine.machine_id)?;
        let preemption = if fits {
            Preemption::default()
        } else {
            machine.preemption_for(spec, self.now)?
        };
        let image_present = model_machine.has_image(&spec.image);
        let machine_type = &self.machine_types[machine.type_index];
        if let SearchScope::Free { ends_by: Some(limit) } = scope {
            let fetch = fetch_time(spec, machine_type, image_present);
            if self.now + self.model.predict(spec) + fetch > limit {
                return None;
            }
        }
        let score = Score {
            lost_work: preemption.lost_work,
            job_failed: job.failures.includes(&model_machine.id),
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

    /// Finds machines for tasks of a job one after the other. Each task takes its resources
    /// from `machines`, a copy of the planner's.
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
            let placement = self.find_best_machine(&machines, spec, task, tasks_by_zone.as_ref(), scope)?;
            let machine = &mut machines[placement.machine_index];
            for victim in &placement.victims {
                machine.remove_running(*victim);
            }
            machine.claim(spec);
            if let Some(tasks) = &mut tasks_by_zone {
                let zone = self.zone_names[machine.zone_index].clone();
                *tasks.entry(zone).or_default() += 1;
            }
            found.push(placement);
        }
        Some(found)
    }

    /// Finds the best machine for a task, among those without an earlier attempt of it.
    fn find_best_machine(
        &self,
        machines: &[FreeCapacity],
        spec: &JobSpec,
        task: TaskId,
        tasks_by_zone: Option<&BTreeMap<String, u32>>,
        scope: SearchScope,
    ) -> Option<Placement> {
        let mut best: Option<(Score, Placement)> = None;
        for (index, machine) in machines.iter().enumerate() {
            let Some(Candidate { score, victims }) = self.score_machine(machine, spec, tasks_by_zone, scope)
            else {
                continue;
            };
            if !self.has_attempt(machine, task) && best.as_ref().is_none_or(|(b, _)| score < *b) {
                let placement = Placement {
                    machine_index: index,
                    task,
                    victims,
                };
                best = Some((score, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// Whether an attempt of the task is, or may be, on the machine already. This includes
    /// one that has ended there and is not acknowledged yet.
    pub(super) fn has_attempt(&self, machine: &FreeCapacity, task: TaskId) -> bool {
        let model_machine = self.model.machines.get(&machine.machine_id);
        model_machine.is_none_or(|model_machine| model_machine.slots.contains_key(&task))
    }

    /// Zones with a machine that is allowed for the job, the one with free capacity for the
    /// most of its tasks first.
    fn zones_by_capacity(&self, spec: &JobSpec) -> Vec<usize> {
        let mut tasks_in_zone: BTreeMap<usize, u32> = BTreeMap::new();
        for machine in self.machines.iter().filter(|m| self.is_machine_allowed(spec, m)) {
            *tasks_in_zone.entry(machine.zone_index).or_default() += machine.tasks_that_fit(spec);
        }
        let mut zones: Vec<_> = tasks_in_zone.into_iter().collect();
        zones.sort_by_key(|(_, tasks)| Reverse(*tasks));
        zones.into_iter().map(|(zone, _)| zone).collect()
    }

    /// A copy of the machines in which those of all other zones are excluded.
    fn machines_of_zone(&self, zone: usize) -> Vec<FreeCapacity> {
        let mut machines = self.machines.clone();
        for machine in machines.iter_mut().filter(|machine| machine.zone_index != zone) {
            machine.excluded = true;
        }
        machines
    }
}

/// How long a machine takes to fetch a job's image; zero if it has the image or its type
/// states no fetch rate.
fn fetch_time(spec: &JobSpec, machine_type: &MachineType, image_present: bool) -> Duration {
    if image_present || machine_type.fetch_gb_per_s <= 0.0 {
        Duration::ZERO
    } else {
        Duration::from_secs_f64(spec.image_gb / machine_type.fetch_gb_per_s)
    }
}
