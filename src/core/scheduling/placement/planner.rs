//! One scheduling round's view of the machines.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::core::scheduling::placement::free_capacity::FreeCapacity;
use crate::core::scheduling::ranking::Rank;
use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::{Resources, TeamUsage, AMOUNT_TOLERANCE};
use crate::wire::{JobId, MachineType};

/// How the tasks of an array or a service are placed. Both give the same placements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::core::scheduling) enum PlacementStrategy {
    /// Tasks to which the same rules apply are placed together: the machines are
    /// judged once for all of them.
    Grouped,
    /// Each task is placed by itself.
    OneByOne,
}

/// Places tasks during one round. Its copy of the free capacity is kept in step with
/// the placements that it makes in the model.
pub(in crate::core::scheduling) struct Planner<'m> {
    pub(super) model: &'m mut ClusterModel,
    pub(super) now: Instant,
    pub(super) ranks: BTreeMap<JobId, Rank>,
    pub(super) strategy: PlacementStrategy,
    /// The schedulable machines.
    pub(super) machines: Vec<FreeCapacity>,
    /// Positions in `machines` that may still fit something that waits.
    pub(super) open_machines: Vec<usize>,
    /// Whether the machines' running load is filled in. It is needed for a blocked
    /// head alone.
    pub(super) running_load_known: bool,
    pub(super) usage: HashMap<String, TeamUsage>,
    pub(super) types: Vec<MachineType>,
    /// Names of the zones that [`FreeCapacity::zone`] is a position in.
    pub(super) zone_names: Vec<String>,
    /// Tasks of a job by zone, for jobs that have a placement rule on zones.
    pub(super) tasks_by_zone: HashMap<JobId, BTreeMap<String, u32>>,
}

impl<'m> Planner<'m> {
    /// Takes in what is free on the schedulable machines.
    pub(in crate::core::scheduling) fn new(
        model: &'m mut ClusterModel,
        ranks: BTreeMap<JobId, Rank>,
        strategy: PlacementStrategy,
        now: Instant,
    ) -> Self {
        let usage = model.team_usage();
        let types = model.machine_types.clone();
        let mut planner = Self {
            model,
            now,
            ranks,
            strategy,
            machines: Vec::new(),
            open_machines: Vec::new(),
            running_load_known: false,
            usage,
            types,
            zone_names: Vec::new(),
            tasks_by_zone: HashMap::new(),
        };
        planner.collect_machines();
        planner
    }

    /// Ends the round, and hands back the ranks that it was made with.
    pub(in crate::core::scheduling) fn into_ranks(self) -> BTreeMap<JobId, Rank> {
        self.ranks
    }

    /// Whether some machine has free capacity for a task of a job.
    pub(super) fn fits_somewhere(&self, id: JobId) -> bool {
        self.model.jobs.get(&id).is_some_and(|job| {
            let mut open = self.open_machines.iter();
            open.any(|index| self.machines[*index].fits(&job.spec))
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
            let Some(type_index) = self.types.iter().position(|t| t.name == machine.machine_type) else {
                continue;
            };
            let zone = zone_index(&mut self.zone_names, machine);
            let capacity = Resources::of_type(&self.types[type_index]);
            let free_capacity = FreeCapacity {
                machine: machine.id.clone(),
                zone,
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

/// Position of a machine's zone among the names, added if it is new.
fn zone_index(zone_names: &mut Vec<String>, machine: &Machine) -> usize {
    let known = zone_names.iter().position(|name| *name == machine.zone);
    known.unwrap_or_else(|| {
        zone_names.push(machine.zone.clone());
        zone_names.len() - 1
    })
}
