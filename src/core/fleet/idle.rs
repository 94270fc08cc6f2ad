//! Idle machines: which are kept as warm capacity, and for how long.

use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::fleet::release_reason::ReleaseReason;
use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::wire::{MachineId, MachineType};

/// Lowest price that ratios of prices are taken of, so that a free machine has one.
const MIN_PRICE: f64 = 1e-9;

impl ClusterModel {
    /// Idle machines to release: those beyond the warm capacity that have been idle for
    /// long enough, the most expensive first. None while work waits that may start.
    pub(super) fn idle_machines_to_release(&self, mut idle: Vec<&Machine>, now: Instant) -> Vec<MachineId> {
        let mut release = Vec::new();
        if self.has_startable_tasks(now) {
            return release;
        }
        let cpus = self.fleet_cpus(now);
        let mut free = cpus.free;
        let keep = cpus.used * self.warm_share();
        idle.sort_by(|a, b| {
            self.machine_price(b)
                .total_cmp(&self.machine_price(a))
                .then(a.idle_since.cmp(&b.idle_since))
        });
        for machine in idle {
            let Some(type_index) = self.type_index(machine) else {
                continue;
            };
            let cpus = self.machine_types[type_index].cpus;
            if self.is_idle_for_long(machine, now) && free - cpus >= keep {
                free -= cpus;
                let reason = ReleaseReason::Idle.as_str();
                debug!(machine = %machine.id, reason, "releasing");
                release.push(machine.id.clone());
            }
        }
        release
    }

    fn is_idle_for_long(&self, machine: &Machine, now: Instant) -> bool {
        machine
            .idle_since
            .is_some_and(|since| now.saturating_duration_since(since) > self.max_idle_time(machine))
    }

    /// How long an idle machine is kept: to rent it anew costs its boot, so
    /// the cheapest are kept longest and the expensive ones are released soon.
    fn max_idle_time(&self, machine: &Machine) -> Duration {
        let cheapest = self
            .machine_types
            .iter()
            .map(min_price_per_cpu)
            .fold(f64::MAX, f64::min);
        let ratio = (cheapest / self.machine_price(machine).max(MIN_PRICE)).clamp(0.0, 1.0);
        self.config.operator_settings.idle_timeout.mul_f64(ratio * ratio)
    }
}

/// The lower of a type's prices for each CPU; it has no spot price if that is 0.
fn min_price_per_cpu(machine_type: &MachineType) -> f64 {
    let price = if machine_type.spot_price > 0.0 {
        machine_type.spot_price.min(machine_type.price)
    } else {
        machine_type.price
    };
    price / machine_type.cpus.max(1.0)
}
