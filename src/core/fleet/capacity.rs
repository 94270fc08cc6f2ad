//! What the machines of the fleet have.

use std::time::Instant;

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::prices::price_per_cpu;

/// CPUs of the fleet.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct FleetCpus {
    /// Free on machines that boot, or that are schedulable and not about to be
    /// reclaimed.
    pub(super) free: f64,
    /// Taken by tasks, on all machines.
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
            if self.adds_capacity(machine, now) {
                cpus.free += self.machine_types[type_index].cpus - used;
            }
        }
        cpus
    }

    /// Whether what is free on a machine can be counted on: it boots, or it is
    /// schedulable and not about to be reclaimed.
    pub(super) fn adds_capacity(&self, machine: &Machine, now: Instant) -> bool {
        machine.phase == MachinePhase::Booting
            || (self.is_schedulable(machine, now) && machine.reclaim_at.is_none())
    }

    /// Hourly price of a machine for each of its CPUs; 0 if its type is not known.
    pub(super) fn machine_price(&self, machine: &Machine) -> f64 {
        let type_index = self.type_index(machine);
        type_index.map_or(0.0, |index| {
            price_per_cpu(&self.machine_types[index], machine.spot)
        })
    }

    /// Share of the load that is kept free. The larger the fleet, the less its
    /// load varies in proportion.
    pub(super) fn warm_share(&self) -> f64 {
        let small = (50.0 / self.machines.len().max(1) as f64).sqrt();
        self.config.operator_settings.warm_share * small.clamp(0.5, 1.0)
    }
}
