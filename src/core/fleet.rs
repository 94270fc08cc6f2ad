//! Rentals and returns: enough room for what waits, some warm room for what
//! comes, and nothing idle for long.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::admission::type_allowed;
use super::job::Job;
use super::machine::{Machine, Phase};
use super::model::{Model, EPS};
use super::plan::Usage;
use super::slot::{Slot, SlotState};
use crate::wire::{JobSpec, Kind, MachineId, MachineType, Rental};

/// A kind of machine at a place: type, zone, spot.
pub type Offer = (String, String, bool);

/// What the fleet remembers between rounds.
#[derive(Debug, Default)]
pub struct FleetState {
    /// Requests given out in this term.
    requests: u64,
    /// Offers that were refused, not to be asked for before.
    pub refused: BTreeMap<Offer, Instant>,
    /// Machines asked for and not yet answered.
    pub pending: BTreeMap<String, (Offer, u32)>,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAction {
    /// Rent machines.
    Rent(Rental),
    /// Give machines back.
    Release(Vec<MachineId>),
}

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
/// Most machines in one rental, and names in one release, as the cloud takes them.
const MOST_RENTED: u32 = 50;
const MOST_RELEASED: usize = 100;
/// Rentals on their way at once; more would only queue for the cloud's pace,
/// before what turns out to be urgent.
const MOST_PENDING: usize = 6;

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
        *self.per_zone.entry(offer.1.clone()).or_default() += 1;
        *self.wanted.entry(offer).or_default() += 1;
    }

    /// In requests of a size that the cloud takes, the largest first.
    fn into_requests(self) -> Vec<(Offer, u32)> {
        let mut requests = Vec::new();
        for (offer, mut count) in self.wanted {
            while count > 0 {
                requests.push((offer.clone(), count.min(MOST_RENTED)));
                count -= count.min(MOST_RENTED);
            }
        }
        requests.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        requests
    }
}

impl Model {
    /// Decides what to rent and to return.
    pub fn fleet(&mut self, now: Instant) -> Vec<FleetAction> {
        if self.types.is_empty() {
            return Vec::new();
        }
        self.clear_lapsed(now);
        self.leave_noticed(now);
        let mut actions = Vec::new();
        let release = self.to_release(now);
        if !release.is_empty() {
            info!(machines = release.len(), "releasing");
            for id in &release {
                if let Some(m) = self.machines.get_mut(id) {
                    m.phase = Phase::Releasing;
                }
            }
            actions.extend(
                release
                    .chunks(MOST_RELEASED)
                    .map(|c| FleetAction::Release(c.to_vec())),
            );
        }
        let wanted = if self.fleet.pending.len() < MOST_PENDING {
            self.to_rent(now)
        } else {
            Vec::new()
        };
        for (offer, count) in wanted {
            if self.fleet.pending.len() >= MOST_PENDING {
                break;
            }
            self.fleet.requests += 1;
            let request = format!("r-{}-{}", self.term, self.fleet.requests);
            info!(
                request,
                kind = offer.0,
                zone = offer.1,
                spot = offer.2,
                count,
                "renting"
            );
            self.fleet.pending.insert(request.clone(), (offer.clone(), count));
            actions.push(FleetAction::Rent(Rental {
                request,
                machine_type: offer.0,
                zone: offer.1,
                spot: offer.2,
                count,
            }));
        }
        actions
    }

    /// Tasks on machines that the cloud takes back before they are predicted to
    /// end go elsewhere now, as far as there is room: every second they stay
    /// is lost.
    fn leave_noticed(&mut self, now: Instant) {
        if self.machines.values().all(|m| m.recall.is_none()) {
            return;
        }
        let (mut free, _) = self.room(now);
        let waiting = self
            .jobs_that_want_room()
            .map(|j| f64::from(j.waiting.count()) * j.spec.cpus);
        free -= waiting.sum::<f64>();
        let mut leave = Vec::new();
        for m in self.machines.values().filter(|m| m.phase == Phase::Up) {
            let Some(recall) = m.recall else { continue };
            for (task, s) in &m.slots {
                let Some(spec) = s.spec.as_ref().filter(|_| s.stop.is_none()) else {
                    continue;
                };
                if !matches!(s.state, SlotState::Running | SlotState::Fetching) || free < spec.cpus {
                    continue;
                }
                let end = self.predicted_end(s, now);
                // Predictions are often wrong by half.
                if end.saturating_duration_since(now) > recall.saturating_duration_since(now).mul_f64(1.5) {
                    free -= spec.cpus;
                    leave.push((m.id.clone(), *task, spec.grace()));
                }
            }
        }
        if !leave.is_empty() {
            info!(tasks = leave.len(), "leaving machines that are taken back");
        }
        for (machine, task, grace) in leave {
            self.stop(&machine, task, grace, now, "spot notice");
        }
    }

    /// The cloud answered a rental with machines.
    pub fn rental_done(&mut self, r: &Rental, machines: &[MachineId], now: Instant) {
        self.fleet.pending.remove(&r.request);
        for id in machines {
            self.rented(id.clone(), &r.machine_type, &r.zone, r.spot, now);
        }
        if (machines.len() as u32) < r.count {
            self.refuse(r, now);
        }
    }

    /// The cloud refused a rental for want of capacity, or it is given up
    /// unanswered. What it may still rent shows up in the list or by its
    /// worker's reports. Pacing says nothing of capacity.
    pub fn rental_failed(&mut self, r: &Rental, no_capacity: bool, now: Instant) {
        self.fleet.pending.remove(&r.request);
        if no_capacity {
            self.refuse(r, now);
        }
    }

    fn refuse(&mut self, r: &Rental, now: Instant) {
        let offer = (r.machine_type.clone(), r.zone.clone(), r.spot);
        self.fleet.refused.insert(offer, now + Duration::from_secs(10));
    }

    /// A release was confirmed or failed.
    pub fn release_done(&mut self, ids: &[MachineId], ok: bool, now: Instant) {
        for id in ids {
            if ok {
                self.released(id, now);
            } else if let Some(m) = self.machines.get_mut(id) {
                m.phase = if m.heard.is_some() {
                    Phase::Up
                } else {
                    Phase::Booting
                };
            }
        }
    }

    /// How many of a job's waiting tasks may start now if there is room: as many
    /// as its pause, its probation and its team's limit allow, given what the
    /// team uses.
    fn startable(&self, job: &Job, team_usage: Usage, now: Instant) -> u32 {
        if job.cancelled || job.pause_until.is_some_and(|t| t > now) {
            return 0;
        }
        let admitted = match self.admitted(job, now).saturating_sub(job.placed) {
            // A gang is placed whole or not at all.
            1.. if job.spec.kind == Kind::Gang => u32::MAX,
            admitted => admitted,
        };
        let mut startable = admitted.min(job.waiting.count());
        let Some(team) = self.config.teams.get(&job.spec.team) else {
            return startable;
        };
        let limits = [
            (team.cpus_max, team_usage.cpus, job.spec.cpus),
            (team.gpus_max, team_usage.gpus, job.spec.gpus),
        ];
        for (limit, used, each) in limits {
            if limit > 0.0 && each > 0.0 {
                startable = startable.min(((limit - used + EPS) / each).max(0.0) as u32);
            }
        }
        startable
    }

    /// Whether some job waits for nothing but room. Jobs that pause, are on
    /// probation or at their team's limit must not hold the whole fleet: one
    /// that was submitted with a mistake waits until its user cancels it.
    fn work_waits_for_room(&self, now: Instant) -> bool {
        let usage = self.usage();
        self.jobs_that_want_room().any(|job| {
            let team_usage = usage.get(&job.spec.team).copied().unwrap_or_default();
            self.startable(job, team_usage, now) > 0
        })
    }

    fn kind_of(&self, m: &Machine) -> Option<usize> {
        self.types.iter().position(|t| t.name == m.machine_type)
    }

    /// Zones most of whose machines are silent for longer than their reports
    /// are apart: cut off, it seems.
    fn silent_zones(&self, now: Instant) -> BTreeSet<String> {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.phase == Phase::Up) {
            let z = zones.entry(&m.zone).or_default();
            z.0 += 1;
            z.1 += usize::from(self.silence(m, now) > self.config.report);
        }
        zones
            .into_iter()
            .filter(|(_, (all, silent))| *silent > 2 && silent * 5 > all * 3)
            .map(|(z, _)| z.to_owned())
            .collect()
    }

    fn to_release(&self, now: Instant) -> Vec<MachineId> {
        let silent_after = self.config.silent;
        let mut out = Vec::new();
        let up: Vec<&Machine> = self.machines.values().filter(|m| m.phase == Phase::Up).collect();
        let silent = |m: &Machine| self.silence(m, now) > silent_after;
        let silent_count = up.iter().filter(|m| silent(m)).count();
        // Most of them silent at once: it is we who don't hear.
        let deaf = silent_count > 2 && silent_count * 2 > up.len();
        let zones = self.silent_zones(now);
        // A zone that is cut off comes back, as a rule sooner than machines
        // could be rented anew, and with its images. What the lease settles
        // needs no release.
        let long = silent_after + self.config.lease + Duration::from_secs(30);
        let waits = |m: &Machine| {
            zones.contains(&m.zone)
                && self.silence(m, now) < long
                && (m.fenced(self.term) || m.slots.is_empty())
        };
        let cut = self.cut_from_workers(now);
        let takes_none = |m: &Machine| self.ignores_commands(m, now, silent_after * 2);
        let mut idle: Vec<&Machine> = Vec::new();
        for m in self.machines.values() {
            let why = match m.phase {
                Phase::Releasing => continue,
                Phase::Booting => {
                    let boot = self.kind_of(m).map_or(30.0, |k| self.types[k].boot_s);
                    let most = Duration::from_secs_f64(boot * 4.0 + 10.0) + self.config.list_lag;
                    if now.saturating_duration_since(m.since) <= most {
                        continue;
                    }
                    if m.slots.is_empty() {
                        "never came up"
                    } else {
                        "silent since it was found"
                    }
                }
                Phase::Up if silent(m) && waits(m) => continue,
                Phase::Up if silent(m) && !deaf => "silent",
                Phase::Up if !cut && takes_none(m) => "takes no commands",
                Phase::Up if m.cordoned.is_some() && m.empty() => "failed or faulty",
                Phase::Up if m.recall.is_some() && m.empty() => "spot notice",
                Phase::Up => {
                    if m.slots.is_empty() && m.idle_since.is_some() && !silent(m) {
                        idle.push(m);
                    }
                    continue;
                }
            };
            debug!(machine = %m.id, why, "releasing");
            out.push(m.id.clone());
        }
        // Idle ones beyond the warm room, dear ones first.
        if self.work_waits_for_room(now) {
            return out;
        }
        let (mut free, used) = self.room(now);
        let keep = used * self.warm_share();
        idle.sort_by(|a, b| {
            self.price(b)
                .total_cmp(&self.price(a))
                .then(a.idle_since.cmp(&b.idle_since))
        });
        for m in idle {
            let Some(k) = self.kind_of(m) else { continue };
            let long = m
                .idle_since
                .is_some_and(|t| now.saturating_duration_since(t) > self.hold_idle(m));
            let cpus = self.types[k].cpus;
            if long && free - cpus >= keep {
                free -= cpus;
                debug!(machine = %m.id, why = "idle", "releasing");
                out.push(m.id.clone());
            }
        }
        out
    }

    /// How long an idle machine is kept: to rent it anew costs its boot, so
    /// the cheapest are kept longest and the dear ones go soon.
    fn hold_idle(&self, m: &Machine) -> Duration {
        let cheapest = self
            .types
            .iter()
            .map(|t| if t.spot_price > 0.0 { t.spot_price.min(t.price) } else { t.price } / t.cpus.max(1.0))
            .fold(f64::MAX, f64::min);
        let ratio = (cheapest / self.price(m).max(1e-9)).clamp(0.0, 1.0);
        self.config.tuning.idle.mul_f64(ratio * ratio)
    }

    fn price(&self, m: &Machine) -> f64 {
        self.kind_of(m).map_or(0.0, |k| {
            let t = &self.types[k];
            (if m.spot { t.spot_price } else { t.price }) / t.cpus.max(1.0)
        })
    }

    /// Free and used CPUs of machines that are up or boot.
    fn room(&self, now: Instant) -> (f64, f64) {
        let (mut free, mut used) = (0.0, 0.0);
        for m in self.machines.values() {
            let Some(k) = self.kind_of(m) else { continue };
            let mut mine = 0.0;
            for s in m.slots.values().filter(|s| s.takes_room()) {
                mine += s.spec.as_ref().map_or(0.0, |s| s.cpus);
            }
            used += mine;
            if m.phase == Phase::Booting || (self.usable(m, now) && m.recall.is_none()) {
                free += self.types[k].cpus - mine;
            }
        }
        (free, used)
    }

    /// Share of the load that is kept free. The larger the fleet, the less its
    /// load varies in proportion.
    fn warm_share(&self) -> f64 {
        let small = (50.0 / self.machines.len().max(1) as f64).sqrt();
        self.config.tuning.warm * small.clamp(0.5, 1.0)
    }

    /// Packs what waits onto what there is; the rest is to be rented.
    fn to_rent(&self, now: Instant) -> Vec<(Offer, u32)> {
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
        let mut usage = self.usage();
        let mut queue: Vec<_> = self.jobs_that_want_room().collect();
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
            open_machines.retain(|open| open.cpus > EPS);
            while left > 0 && total < self.config.tuning.most_machines {
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
        let boot = self.types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min);
        let soon = now + Duration::from_secs_f64((boot * SOON_FREE).clamp(0.0, 60.0));
        let mut open_machines = Vec::new();
        for m in self.machines.values() {
            let Some(kind) = self.kind_of(m) else { continue };
            let booting = m.phase == Phase::Booting;
            if !(booting || self.usable(m, now) && m.recall.is_none()) || cut.contains(&m.zone) {
                continue;
            }
            let mut open = OpenMachine::empty(kind, &self.types[kind], &m.zone, m.spot);
            let stays = |s: &&Slot| s.takes_room() && s.state != SlotState::Unknown;
            let long = |s: &&Slot| self.predicted_end(s, now) > soon;
            let specs = m.slots.values().filter(stays).filter(long);
            for spec in specs.filter_map(|s| s.spec.as_ref()) {
                open.claim(spec);
            }
            if open.cpus > EPS {
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
        while free + EPS < keep && total < self.config.tuning.most_machines {
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
        let kind = self.types.iter().position(|t| t.name == offer.0)?;
        Some(OpenMachine::empty(kind, &self.types[kind], &offer.1, offer.2))
    }

    fn fits_open_machine(&self, s: &JobSpec, b: &OpenMachine) -> bool {
        b.cpus + EPS >= s.cpus
            && b.gpus + EPS >= s.gpus
            && b.memory + EPS >= s.memory_gb
            && (s.spot || !b.spot)
            && s.zone.as_ref().is_none_or(|z| *z == b.zone)
            && type_allowed(s, &self.types[b.kind])
    }

    /// The offer that runs a job's tasks for the least money, among those not
    /// refused of late; spread over the zones.
    fn best_offer(&self, s: &JobSpec, left: u32, rentals: &RentalPlan, now: Instant) -> Option<Offer> {
        let mut best: Option<((bool, f64, u32), Offer)> = None;
        for t in self.types.iter().filter(|t| type_allowed(s, t)) {
            let per = |have: f64, need: f64| if need > 0.0 { (have + EPS) / need } else { f64::MAX };
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
                    let offer = (t.name.clone(), zone.clone(), spot);
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
