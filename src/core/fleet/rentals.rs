//! What to rent: what waits is packed onto what there is, and the rest onto the
//! cheapest machines on offer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::core::scheduling::admission::fits_machine_type;
use crate::core::state::fleet_state::Offer;
use crate::core::state::machine::MachinePhase;
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::AMOUNT_TOLERANCE;
use crate::core::state::slot::{Slot, SlotState};
use crate::wire::{JobSpec, MachineType};

/// A machine that exists, boots or is to be rented, with the room left on it.
#[derive(Clone)]
struct OpenMachine {
    kind: usize,
    zone: String,
    spot: bool,
    cpus: f64,
    gpus: f64,
    memory: f64,
}

/// Share of a boot within which running tasks are expected to make room.
const SOON_FREE: f64 = 0.4;
/// Most machines in one rental, as the cloud takes them.
const MAX_RENTED: u32 = 50;

/// Machines about to be rented, and how many there are in each zone.
struct RentalPlan<'a> {
    cut: &'a BTreeSet<String>,
    per_zone: BTreeMap<String, u32>,
    wanted: BTreeMap<Offer, u32>,
}

impl OpenMachine {
    fn empty(kind: usize, machine_type: &MachineType, zone: &str, spot: bool) -> Self {
        Self {
            kind,
            zone: zone.to_owned(),
            spot,
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory: machine_type.memory_gb,
        }
    }

    fn claim(&mut self, spec: &JobSpec) {
        self.cpus -= spec.cpus;
        self.gpus -= spec.gpus;
        self.memory -= spec.memory_gb;
    }
}

impl RentalPlan<'_> {
    fn add(&mut self, offer: Offer) {
        *self.per_zone.entry(offer.zone.clone()).or_default() += 1;
        *self.wanted.entry(offer).or_default() += 1;
    }

    /// In requests of a size that the cloud takes, the largest first.
    fn into_requests(self) -> Vec<(Offer, u32)> {
        let mut requests = Vec::new();
        for (offer, mut count) in self.wanted {
            while count > 0 {
                requests.push((offer.clone(), count.min(MAX_RENTED)));
                count -= count.min(MAX_RENTED);
            }
        }
        requests.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        requests
    }
}

impl ClusterModel {
    /// Share of the load that is kept free. The larger the fleet, the less its
    /// load varies in proportion.
    pub(super) fn warm_share(&self) -> f64 {
        let small = (50.0 / self.machines.len().max(1) as f64).sqrt();
        self.config.operator_settings.warm_share * small.clamp(0.5, 1.0)
    }

    /// Packs what waits onto what there is; the rest is to be rented.
    pub(super) fn to_rent(&self, now: Instant) -> Vec<(Offer, u32)> {
        let cut = self.silent_zones(now);
        let mut rentals = RentalPlan {
            cut: &cut,
            per_zone: BTreeMap::new(),
            wanted: BTreeMap::new(),
        };
        for m in self.machines.values() {
            *rentals.per_zone.entry(m.zone.clone()).or_default() += 1;
        }
        let mut open_machines = self.open_machines(&cut, now);
        let pending: u32 = self.fleet.pending.values().map(|(_, count)| count).sum();
        let mut total = self.machines.len() + pending as usize;
        let mut usage = self.team_usage();
        let mut queue: Vec<_> = self.jobs_waiting_for_capacity().collect();
        let ranks = self.ranks(now);
        queue.sort_by_key(|j| ranks.get(&j.spec.id));
        let mut cpus_waiting = 0.0;
        for j in queue {
            let s = &j.spec;
            let team_usage = usage.entry(s.team.clone()).or_default();
            let mut left = self.startable(j, *team_usage, now);
            team_usage.cpus += f64::from(left) * s.cpus;
            team_usage.gpus += f64::from(left) * s.gpus;
            cpus_waiting += f64::from(left) * s.cpus;
            for open in &mut open_machines {
                self.fill(open, s, &mut left);
            }
            open_machines.retain(|open| open.cpus > AMOUNT_TOLERANCE);
            while left > 0 && total < self.config.operator_settings.max_machines {
                let Some(offer) = self.best_offer(s, left, &rentals, now) else {
                    break;
                };
                let Some(mut open) = self.open_machine(&offer) else {
                    break;
                };
                total += 1;
                let before = left;
                self.fill(&mut open, s, &mut left);
                open_machines.push(open);
                rentals.add(offer);
                if left == before {
                    break;
                }
            }
        }
        self.keep_warm(&open_machines, cpus_waiting, total, &mut rentals, now);
        rentals.into_requests()
    }

    /// Machines that are usable, boot or are being rented, with their room: what
    /// falls free well before another machine could boot counts as free.
    fn open_machines(&self, cut: &BTreeSet<String>, now: Instant) -> Vec<OpenMachine> {
        let boot = self
            .machine_types
            .iter()
            .map(|t| t.boot_s)
            .fold(f64::MAX, f64::min);
        let soon = now + Duration::from_secs_f64((boot * SOON_FREE).clamp(0.0, 60.0));
        let mut open_machines = Vec::new();
        for m in self.machines.values() {
            let Some(kind) = self.kind_of(m) else { continue };
            let booting = m.phase == MachinePhase::Booting;
            if !(booting || self.is_schedulable(m, now) && m.reclaim_at.is_none()) || cut.contains(&m.zone) {
                continue;
            }
            let mut open = OpenMachine::empty(kind, &self.machine_types[kind], &m.zone, m.spot);
            let stays = |s: &&Slot| s.takes_room() && s.state != SlotState::Unknown;
            let long = |s: &&Slot| self.predicted_end(s, now) > soon;
            let specs = m.slots.values().filter(stays).filter(long);
            for spec in specs.filter_map(|s| s.spec.as_ref()) {
                open.claim(spec);
            }
            if open.cpus > AMOUNT_TOLERANCE {
                open_machines.push(open);
            }
        }
        for (offer, count) in self.fleet.pending.values() {
            if let Some(open) = self.open_machine(offer) {
                open_machines.extend(std::iter::repeat_n(open, *count as usize));
            }
        }
        open_machines
    }

    /// Puts as many of a job's tasks on a machine as fit.
    fn fill(&self, open: &mut OpenMachine, spec: &JobSpec, left: &mut u32) {
        while *left > 0 && self.fits_open_machine(spec, open) {
            open.claim(spec);
            *left -= 1;
        }
    }

    /// Some free room for what comes next.
    fn keep_warm(
        &self,
        open_machines: &[OpenMachine],
        cpus_waiting: f64,
        mut total: usize,
        rentals: &mut RentalPlan,
        now: Instant,
    ) {
        let (_, used) = self.room(now);
        let mut free: f64 = open_machines.iter().map(|b| b.cpus.max(0.0)).sum();
        let keep = (used + cpus_waiting) * self.warm_share();
        let Some(like) = self
            .ready_jobs()
            .map(|j| j.spec.clone())
            .max_by(|a, b| a.cpus.total_cmp(&b.cpus).then(a.spot.cmp(&b.spot)))
        else {
            return;
        };
        while free + AMOUNT_TOLERANCE < keep && total < self.config.operator_settings.max_machines {
            let Some(offer) = self.best_offer(&like, 1, rentals, now) else {
                break;
            };
            let Some(b) = self.open_machine(&offer) else { break };
            free += b.cpus;
            total += 1;
            rentals.add(offer);
        }
    }

    fn open_machine(&self, offer: &Offer) -> Option<OpenMachine> {
        let kind = self
            .machine_types
            .iter()
            .position(|t| t.name == offer.machine_type)?;
        Some(OpenMachine::empty(
            kind,
            &self.machine_types[kind],
            &offer.zone,
            offer.spot,
        ))
    }

    fn fits_open_machine(&self, s: &JobSpec, b: &OpenMachine) -> bool {
        b.cpus + AMOUNT_TOLERANCE >= s.cpus
            && b.gpus + AMOUNT_TOLERANCE >= s.gpus
            && b.memory + AMOUNT_TOLERANCE >= s.memory_gb
            && (s.spot || !b.spot)
            && s.zone.as_ref().is_none_or(|z| *z == b.zone)
            && fits_machine_type(s, &self.machine_types[b.kind])
    }

    /// The offer that runs a job's tasks for the least money, among those not
    /// refused of late; spread over the zones.
    fn best_offer(&self, s: &JobSpec, left: u32, rentals: &RentalPlan, now: Instant) -> Option<Offer> {
        let mut best: Option<((bool, f64, u32), Offer)> = None;
        for t in self.machine_types.iter().filter(|t| fits_machine_type(s, t)) {
            let per = |have: f64, need: f64| {
                if need > 0.0 {
                    (have + AMOUNT_TOLERANCE) / need
                } else {
                    f64::MAX
                }
            };
            let n = per(t.cpus, s.cpus)
                .min(per(t.gpus, s.gpus))
                .min(per(t.memory_gb, s.memory_gb));
            let n = n.floor().min(f64::from(left)).max(1.0);
            let zones = if t.zones.is_empty() {
                &self.config.zones
            } else {
                &t.zones
            };
            for zone in zones.iter().filter(|z| s.zone.as_ref().is_none_or(|w| w == *z)) {
                for spot in [true, false] {
                    if spot && (!s.spot || t.spot_price <= 0.0) {
                        continue;
                    }
                    let offer = Offer {
                        machine_type: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if self.fleet.refused.get(&offer).is_some_and(|u| *u > now) {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price };
                    let here = rentals.per_zone.get(zone).copied().unwrap_or(0);
                    let score = (rentals.cut.contains(zone), price / n, here);
                    if best.as_ref().is_none_or(|(b, _)| score < *b) {
                        best = Some((score, offer));
                    }
                }
            }
        }
        best.map(|(_, o)| o)
    }
}
