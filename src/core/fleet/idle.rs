//! Idle machines: which of them are kept as warm capacity, and for how long.

use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::fleet::release_reason::ReleaseReason;
use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::wire::{MachineId, MachineType};

/// Lower bound of a price that is divided by, as a machine may cost nothing.
const MIN_PRICE_DIVISOR: f64 = 1e-9;

impl ClusterModel {
    /// Idle machines to release: those beyond the warm capacity that have been idle for
    /// long enough, the most expensive ones first. None while any waiting task may be placed,
    /// given enough machines.
    pub(super) fn idle_machines_to_release(&self, mut idle: Vec<&Machine>, now: Instant) -> Vec<MachineId> {
        let mut release = Vec::new();
        if self.has_placeable_tasks(now) {
            return release;
        }
        let cpus = self.fleet_cpus(now);
        let mut free = cpus.free;
        let warm_cpus = cpus.used * self.effective_warm_share();
        idle.sort_by(|a, b| {
            self.machine_price_per_cpu(b)
                .total_cmp(&self.machine_price_per_cpu(a))
                .then(a.idle_since.cmp(&b.idle_since))
        });
        for machine in idle {
            let Some(type_index) = self.type_index(machine) else {
                continue;
            };
            let cpus = self.machine_types[type_index].cpus;
            if self.exceeds_max_idle_time(machine, now) && free - cpus >= warm_cpus {
                free -= cpus;
                let reason = ReleaseReason::Idle.as_str();
                debug!(machine = %machine.id, reason, "releasing machine");
                release.push(machine.id.clone());
            }
        }
        release
    }

    fn exceeds_max_idle_time(&self, machine: &Machine, now: Instant) -> bool {
        machine
            .idle_since
            .is_some_and(|since| now.saturating_duration_since(since) > self.max_idle_time(machine))
    }

    /// How long an idle machine is kept: the idle timeout, multiplied by the square of the
    /// ratio of the lowest price per CPU to its own. Renting it anew costs its boot time,
    /// so the cheapest machines are kept longest and the expensive ones are released soon.
    fn max_idle_time(&self, machine: &Machine) -> Duration {
        let cheapest = self
            .machine_types
            .iter()
            .map(min_price_per_cpu)
            .fold(f64::MAX, f64::min);
        let ratio = (cheapest / self.machine_price_per_cpu(machine).max(MIN_PRICE_DIVISOR)).clamp(0.0, 1.0);
        self.config.operator_settings.idle_timeout.mul_f64(ratio * ratio)
    }
}

/// The lower of a type's prices per CPU. A spot price of 0 means that it has none.
fn min_price_per_cpu(machine_type: &MachineType) -> f64 {
    let price = if machine_type.spot_price > 0.0 {
        machine_type.spot_price.min(machine_type.price)
    } else {
        machine_type.price
    };
    price / machine_type.cpus.max(1.0)
}
