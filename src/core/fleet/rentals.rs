//! Choice of the machines to rent: the waiting tasks are packed onto the machines that
//! there are, and machines are rented for the rest, by the best offers.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::core::fleet::rental_plan::RentalPlan;
use crate::core::scheduling::admission::fits_machine_type;
use crate::core::state::fleet_state::{Offer, RentalOrder};
use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::{Resources, TeamUsage, AMOUNT_TOLERANCE};
use crate::core::state::slot::{Slot, SlotState};
use crate::wire::{JobSpec, MachineType};

/// Tasks that are predicted to end within this share of the shortest boot time count as
/// gone.
const SOON_FREE_SHARE: f64 = 0.4;
/// Upper bound of that time, in seconds.
const MAX_SOON_FREE_S: f64 = 60.0;

/// Free resources of a machine that is schedulable, boots, is being rented or is planned.
#[derive(Clone)]
struct OpenMachine {
    /// Position of its type among the known machine types.
    type_index: usize,
    zone: String,
    spot: bool,
    free: Resources,
}

/// Packs waiting tasks onto open machines, and plans rentals for those that don't fit.
struct RentalPlanner<'m> {
    model: &'m ClusterModel,
    now: Instant,
    open_machines: Vec<OpenMachine>,
    plan: RentalPlan,
    usage_by_team: HashMap<String, TeamUsage>,
    /// CPUs of all placeable tasks so far, whether they fit or not.
    cpus_waiting: f64,
}

impl OpenMachine {
    fn empty(type_index: usize, machine_type: &MachineType, zone: &str, spot: bool) -> Self {
        Self {
            type_index,
            zone: zone.to_owned(),
            spot,
            free: Resources::of_type(machine_type),
        }
    }

    fn claim(&mut self, spec: &JobSpec) {
        self.free -= Resources::of_task(spec);
    }

    fn fits(&self, spec: &JobSpec, types: &[MachineType]) -> bool {
        Resources::of_task(spec).fits_into(&self.free)
            && (spec.spot || !self.spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.zone)
            && fits_machine_type(spec, &types[self.type_index])
    }

    /// Claims resources for as many of `left` tasks as fit; returns how many are left over.
    fn fill(&mut self, spec: &JobSpec, types: &[MachineType], mut left: u32) -> u32 {
        while left > 0 && self.fits(spec, types) {
            self.claim(spec);
            left -= 1;
        }
        left
    }
}

impl ClusterModel {
    /// The rentals that the waiting tasks need beyond the capacity of the fleet, and those
    /// for warm capacity. Jobs are packed in the order of their rank.
    pub(super) fn machines_to_rent(&self, now: Instant) -> Vec<RentalOrder> {
        let mut planner = RentalPlanner::new(self, now);
        let mut queue: Vec<_> = self.jobs_waiting_for_capacity().collect();
        let ranks = self.ranks(now);
        queue.sort_by_key(|job| ranks.get(&job.spec.id));
        for job in queue {
            planner.pack_job(job);
        }
        planner.plan_warm_capacity();
        planner.plan.into_orders()
    }

    /// Machines that boot, are schedulable or are being rented, with their free resources.
    /// Resources that become free well before another machine could boot count as free.
    fn open_machines(&self, partitioned_zones: &BTreeSet<String>, now: Instant) -> Vec<OpenMachine> {
        let boot_s = self
            .machine_types
            .iter()
            .map(|t| t.boot_s)
            .fold(f64::MAX, f64::min);
        let soon_s = (boot_s * SOON_FREE_SHARE).clamp(0.0, MAX_SOON_FREE_S);
        let soon = now + Duration::from_secs_f64(soon_s);
        let mut open_machines = Vec::new();
        for machine in self.machines.values() {
            let Some(type_index) = self.type_index(machine) else {
                continue;
            };
            if !self.has_usable_capacity(machine, now) || partitioned_zones.contains(&machine.zone) {
                continue;
            }
            let machine_type = &self.machine_types[type_index];
            let mut open = OpenMachine::empty(type_index, machine_type, &machine.zone, machine.spot);
            let is_known_load = |slot: &&Slot| slot.takes_resources() && slot.state != SlotState::Unknown;
            let stays = |slot: &&Slot| self.predicted_end(slot, now) > soon;
            let staying = machine.slots.values().filter(is_known_load).filter(stays);
            for spec in staying.filter_map(|slot| slot.spec.as_ref()) {
                open.claim(spec);
            }
            if open.free.cpus > AMOUNT_TOLERANCE {
                open_machines.push(open);
            }
        }
        for order in self.fleet.pending_rentals.values() {
            if let Some(open) = self.open_machine(&order.offer) {
                open_machines.extend(std::iter::repeat_n(open, order.count as usize));
            }
        }
        open_machines
    }

    /// An empty machine of this offer; `None` if its type is not known.
    fn open_machine(&self, offer: &Offer) -> Option<OpenMachine> {
        let type_index = self
            .machine_types
            .iter()
            .position(|t| t.name == offer.machine_type)?;
        let machine_type = &self.machine_types[type_index];
        Some(OpenMachine::empty(
            type_index,
            machine_type,
            &offer.zone,
            offer.spot,
        ))
    }
}

impl<'m> RentalPlanner<'m> {
    fn new(model: &'m ClusterModel, now: Instant) -> Self {
        let partitioned_zones = model.partitioned_zones(now);
        let open_machines = model.open_machines(&partitioned_zones, now);
        let pending: u32 = model
            .fleet
            .pending_rentals
            .values()
            .map(|order| order.count)
            .sum();
        let machines = model.machines.len() + pending as usize;
        let max_machines = model.config.operator_settings.max_machines;
        let mut plan = RentalPlan::new(partitioned_zones, machines, max_machines);
        for machine in model.machines.values() {
            plan.count_existing(&machine.zone);
        }
        Self {
            model,
            now,
            open_machines,
            plan,
            usage_by_team: model.team_usage(),
            cpus_waiting: 0.0,
        }
    }

    /// Packs a job's placeable tasks onto the open machines, and plans machines for the
    /// rest.
    fn pack_job(&mut self, job: &Job) {
        let spec = &job.spec;
        let types = &self.model.machine_types;
        let usage = self.usage_by_team.entry(spec.team.clone()).or_default();
        let mut left = self.model.placeable_tasks(job, *usage, self.now);
        usage.cpus += f64::from(left) * spec.cpus;
        usage.gpus += f64::from(left) * spec.gpus;
        self.cpus_waiting += f64::from(left) * spec.cpus;
        for open in &mut self.open_machines {
            left = open.fill(spec, types, left);
        }
        self.open_machines
            .retain(|open| open.free.cpus > AMOUNT_TOLERANCE);
        self.plan_machines_for(spec, left);
    }

    /// Plans machines for `left` tasks of a job, as long as each machine takes at least one
    /// of them.
    fn plan_machines_for(&mut self, spec: &JobSpec, mut left: u32) {
        while left > 0 && self.plan.may_grow() {
            let Some(offer) = self.model.best_offer(spec, left, &self.plan, self.now) else {
                break;
            };
            let Some(mut open) = self.model.open_machine(&offer) else {
                break;
            };
            let before = left;
            left = open.fill(spec, &self.model.machine_types, left);
            self.open_machines.push(open);
            self.plan.add(offer);
            if left == before {
                break;
            }
        }
    }

    /// Plans machines until the warm capacity is free. They are chosen to fit the largest
    /// task of the ready jobs.
    fn plan_warm_capacity(&mut self) {
        let used = self.model.fleet_cpus(self.now).used;
        let mut free: f64 = self
            .open_machines
            .iter()
            .map(|open| open.free.cpus.max(0.0))
            .sum();
        let warm_cpus = (used + self.cpus_waiting) * self.model.effective_warm_share();
        let specs = self.model.ready_jobs().map(|job| job.spec.clone());
        let Some(largest) = specs.max_by(|a, b| a.cpus.total_cmp(&b.cpus).then(a.spot.cmp(&b.spot))) else {
            return;
        };
        while free + AMOUNT_TOLERANCE < warm_cpus && self.plan.may_grow() {
            let Some(offer) = self.model.best_offer(&largest, 1, &self.plan, self.now) else {
                break;
            };
            let Some(open) = self.model.open_machine(&offer) else {
                break;
            };
            free += open.free.cpus;
            self.plan.add(offer);
        }
    }
}
