//! The state of one scheduling round.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::core::scheduling::placement::free_capacity::FreeCapacity;
use crate::core::scheduling::ranking::Rank;
use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::{Resources, TeamUsage, AMOUNT_TOLERANCE};
use crate::wire::{JobId, MachineType};

/// How the tasks of an array or a service are placed. Both strategies give the same
/// placements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::core::scheduling) enum PlacementStrategy {
    /// Tasks to which the same rules apply are placed together: the machines are evaluated
    /// once for all of them.
    Grouped,
    /// Each task is placed separately.
    OneByOne,
}

/// Places tasks during one round. It keeps its copy of the free capacity consistent with
/// the placements that it makes in the model.
pub(in crate::core::scheduling) struct Planner<'m> {
    pub(super) model: &'m mut ClusterModel,
    pub(super) now: Instant,
    pub(super) ranks: BTreeMap<JobId, Rank>,
    pub(super) strategy: PlacementStrategy,
    /// Free capacity of the schedulable machines.
    pub(super) machines: Vec<FreeCapacity>,
    /// Positions in `machines` of those that a waiting task may still fit.
    pub(super) open_machines: Vec<usize>,
    /// Whether [`FreeCapacity::running`] is filled in, which only a blocked head needs.
    pub(super) running_load_collected: bool,
    pub(super) usage_by_team: HashMap<String, TeamUsage>,
    pub(super) machine_types: Vec<MachineType>,
    /// Names of the zones, by [`FreeCapacity::zone_index`].
    pub(super) zone_names: Vec<String>,
    /// How many tasks of a job are placed in each zone, for jobs with a rule on zones.
    pub(super) tasks_by_zone: HashMap<JobId, BTreeMap<String, u32>>,
}

impl<'m> Planner<'m> {
    /// Starts a round with the present free capacity of the schedulable machines.
    pub(in crate::core::scheduling) fn new(
        model: &'m mut ClusterModel,
        ranks: BTreeMap<JobId, Rank>,
        strategy: PlacementStrategy,
        now: Instant,
    ) -> Self {
        let usage_by_team = model.team_usage();
        let machine_types = model.machine_types.clone();
        let mut planner = Self {
            model,
            now,
            ranks,
            strategy,
            machines: Vec::new(),
            open_machines: Vec::new(),
            running_load_collected: false,
            usage_by_team,
            machine_types,
            zone_names: Vec::new(),
            tasks_by_zone: HashMap::new(),
        };
        planner.collect_machines();
        planner
    }

    /// Ends the round and returns the ranks that were passed to [`Planner::new`].
    pub(in crate::core::scheduling) fn into_ranks(self) -> BTreeMap<JobId, Rank> {
        self.ranks
    }

    /// Whether some open machine has free capacity for a task of a job.
    pub(super) fn fits_any_open_machine(&self, id: JobId) -> bool {
        self.model.jobs.get(&id).is_some_and(|job| {
            let mut open_machines = self.open_machines.iter();
            open_machines.any(|index| self.machines[*index].fits(&job.spec))
        })
    }

    /// Closes the machines that have no CPUs left.
    pub(super) fn close_full_machines(&mut self) {
        let machines = &self.machines;
        self.open_machines
            .retain(|index| machines[*index].free.cpus > AMOUNT_TOLERANCE);
    }

    fn collect_machines(&mut self) {
        let (model, now) = (&*self.model, self.now);
        let min_cpus_waiting = model
            .jobs_waiting_for_capacity()
            .map(|job| job.spec.cpus)
            .fold(f64::MAX, f64::min);
        let schedulable = model.machines.values().filter(|m| model.is_schedulable(m, now));
        for machine in schedulable {
            let Some(type_index) = self
                .machine_types
                .iter()
                .position(|t| t.name == machine.machine_type)
            else {
                continue;
            };
            let zone_index = zone_index(&mut self.zone_names, machine);
            let capacity = Resources::of_type(&self.machine_types[type_index]);
            let free_capacity = FreeCapacity {
                machine_id: machine.id.clone(),
                zone_index,
                spot: machine.spot,
                type_index,
                free: capacity - machine.used_resources(),
                excluded: false,
                reclaim_at: machine.reclaim_at,
                running: Vec::new(),
            };
            if free_capacity.free.cpus + AMOUNT_TOLERANCE >= min_cpus_waiting {
                self.open_machines.push(self.machines.len());
            }
            self.machines.push(free_capacity);
        }
    }
}

/// Position of a machine's zone in `zone_names`; a new zone is added.
fn zone_index(zone_names: &mut Vec<String>, machine: &Machine) -> usize {
    let known = zone_names.iter().position(|name| *name == machine.zone);
    known.unwrap_or_else(|| {
        zone_names.push(machine.zone.clone());
        zone_names.len() - 1
    })
}
