//! The choice among the cloud's offers for a job.

use std::time::Instant;

use crate::core::fleet::rental_plan::RentalPlan;
use crate::core::scheduling::admission::fits_machine_type;
use crate::core::state::fleet_state::Offer;
use crate::core::state::model::ClusterModel;
use crate::core::state::prices::hourly_price;
use crate::core::state::resources::Resources;
use crate::wire::{JobSpec, MachineType};

/// How good an offer is for a job; the smaller score is better. The first field that
/// differs decides.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct OfferScore {
    /// Whether the offer's zone is partitioned.
    partitioned: bool,
    /// Hourly price of a machine, divided by the tasks that it would run.
    price_per_task: f64,
    /// Machines that the zone has already; prefers zones with few of them.
    machines_in_zone: u32,
}

impl ClusterModel {
    /// The best offer for `tasks` tasks of a job by its [`OfferScore`], among those that
    /// are not suspended; `None` if there is none.
    pub(super) fn best_offer(
        &self,
        spec: &JobSpec,
        tasks: u32,
        plan: &RentalPlan,
        now: Instant,
    ) -> Option<Offer> {
        let mut best: Option<(OfferScore, Offer)> = None;
        for machine_type in self.machine_types.iter().filter(|t| fits_machine_type(spec, t)) {
            let tasks_per_machine = tasks_per_machine(machine_type, spec, tasks);
            for offer in self.offers(machine_type, spec) {
                if self
                    .fleet
                    .suspended_until
                    .get(&offer)
                    .is_some_and(|until| *until > now)
                {
                    continue;
                }
                let price = hourly_price(machine_type, offer.spot);
                let score = OfferScore {
                    partitioned: plan.partitioned_zones.contains(&offer.zone),
                    price_per_task: price / tasks_per_machine,
                    machines_in_zone: plan.machines_in_zone(&offer.zone),
                };
                if best.as_ref().is_none_or(|(best, _)| score < *best) {
                    best = Some((score, offer));
                }
            }
        }
        best.map(|(_, offer)| offer)
    }

    /// The offers of a machine type that the job's zone and spot settings allow, zone by
    /// zone; the spot offer of a zone comes first.
    fn offers<'a>(
        &'a self,
        machine_type: &'a MachineType,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = Offer> + 'a {
        let zones = if machine_type.zones.is_empty() {
            &self.config.zones
        } else {
            &machine_type.zones
        };
        let allowed = zones
            .iter()
            .filter(|zone| spec.zone.as_ref().is_none_or(|required| required == *zone));
        allowed.flat_map(move |zone| {
            let offered = move |spot: &bool| !*spot || (spec.spot && machine_type.spot_price > 0.0);
            [true, false].into_iter().filter(offered).map(move |spot| Offer {
                machine_type: machine_type.name.clone(),
                zone: zone.clone(),
                spot,
            })
        })
    }
}

/// How many of `tasks` tasks an empty machine of the type would run; 1 at least.
fn tasks_per_machine(machine_type: &MachineType, spec: &JobSpec, tasks: u32) -> f64 {
    let capacity = Resources::of_type(machine_type);
    let fitting = capacity.multiples_of(&Resources::of_task(spec));
    fitting.floor().min(f64::from(tasks)).max(1.0)
}
