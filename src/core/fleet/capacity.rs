//! Capacity of the fleet: its free and used CPUs, their price, and how many of them to
//! keep free.

use std::time::Instant;

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::prices::price_per_cpu;

/// CPUs of the fleet's machines whose type is known.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct FleetCpus {
    /// Free CPUs of the machines with usable capacity.
    pub(super) free: f64,
    /// CPUs that tasks take, on all machines.
    pub(super) used: f64,
}

impl ClusterModel {
    /// Position of a machine's type among the known types; `None` if it is not known.
    pub(super) fn type_index(&self, machine: &Machine) -> Option<usize> {
        self.machine_types
            .iter()
            .position(|t| t.name == machine.machine_type)
    }

    /// Free and used CPUs of machines whose type is known.
    pub(super) fn fleet_cpus(&self, now: Instant) -> FleetCpus {
        let mut cpus = FleetCpus::default();
        for machine in self.machines.values() {
            let Some(type_index) = self.type_index(machine) else {
                continue;
            };
            let used = machine.used_resources().cpus;
            cpus.used += used;
            if self.has_usable_capacity(machine, now) {
                cpus.free += self.machine_types[type_index].cpus - used;
            }
        }
        cpus
    }

    /// Whether the free resources of a machine count as capacity: it boots, or it is
    /// schedulable and the cloud gave no notice to reclaim it.
    pub(super) fn has_usable_capacity(&self, machine: &Machine, now: Instant) -> bool {
        machine.phase == MachinePhase::Booting
            || (self.is_schedulable(machine, now) && machine.reclaim_at.is_none())
    }

    /// Hourly price per CPU of a machine; 0 if its type is not known.
    pub(super) fn machine_price_per_cpu(&self, machine: &Machine) -> f64 {
        let type_index = self.type_index(machine);
        type_index.map_or(0.0, |index| {
            price_per_cpu(&self.machine_types[index], machine.spot)
        })
    }

    /// CPUs to keep free as warm capacity, as a share of the load: the operators' setting,
    /// scaled down to its half as the fleet grows from 50 to 200 machines. The larger the
    /// fleet, the less its load varies in proportion.
    pub(super) fn effective_warm_share(&self) -> f64 {
        let scale = (50.0 / self.machines.len().max(1) as f64).sqrt();
        self.config.operator_settings.warm_share * scale.clamp(0.5, 1.0)
    }
}
