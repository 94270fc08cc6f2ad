//! Rentals and returns: enough room for what waits, some warm room for what
//! comes, and nothing idle for long.

mod releases;
mod rentals;

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::fleet_state::Offer;
use crate::core::state::job::Job;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::TeamUsage;
use crate::core::state::resources::AMOUNT_TOLERANCE;
use crate::core::state::slot::SlotState;
use crate::wire::{JobKind, MachineId, RentalRequest};

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAction {
    /// Rent machines.
    Rent(RentalRequest),
    /// Give machines back.
    Release(Vec<MachineId>),
}

/// Most names in one release, as the cloud takes them.
const MAX_RELEASED: usize = 100;
/// Rentals on their way at once; more would only queue for the cloud's pace,
/// before what turns out to be urgent.
const MAX_PENDING: usize = 6;

impl ClusterModel {
    /// Decides what to rent and to return.
    pub fn plan_fleet(&mut self, now: Instant) -> Vec<FleetAction> {
        if self.machine_types.is_empty() {
            return Vec::new();
        }
        self.expire_leases(now);
        self.leave_noticed(now);
        let mut actions = Vec::new();
        let release = self.to_release(now);
        if !release.is_empty() {
            info!(machines = release.len(), "releasing");
            for id in &release {
                if let Some(m) = self.machines.get_mut(id) {
                    m.phase = MachinePhase::Releasing;
                }
            }
            actions.extend(
                release
                    .chunks(MAX_RELEASED)
                    .map(|c| FleetAction::Release(c.to_vec())),
            );
        }
        let wanted = if self.fleet.pending.len() < MAX_PENDING {
            self.to_rent(now)
        } else {
            Vec::new()
        };
        for (offer, count) in wanted {
            if self.fleet.pending.len() >= MAX_PENDING {
                break;
            }
            self.fleet.requests += 1;
            let request = format!("r-{}-{}", self.term, self.fleet.requests);
            info!(
                request,
                kind = offer.machine_type,
                zone = offer.zone,
                spot = offer.spot,
                count,
                "renting"
            );
            self.fleet.pending.insert(request.clone(), (offer.clone(), count));
            actions.push(FleetAction::Rent(RentalRequest {
                request,
                machine_type: offer.machine_type,
                zone: offer.zone,
                spot: offer.spot,
                count,
            }));
        }
        actions
    }

    /// Tasks on machines that the cloud takes back before they are predicted to
    /// end go elsewhere now, as far as there is room: every second they stay
    /// is lost.
    fn leave_noticed(&mut self, now: Instant) {
        if self.machines.values().all(|m| m.reclaim_at.is_none()) {
            return;
        }
        let (mut free, _) = self.room(now);
        let waiting = self
            .jobs_waiting_for_capacity()
            .map(|j| f64::from(j.waiting.count()) * j.spec.cpus);
        free -= waiting.sum::<f64>();
        let mut leave = Vec::new();
        for m in self.machines.values().filter(|m| m.phase == MachinePhase::Up) {
            let Some(reclaim_at) = m.reclaim_at else { continue };
            for (task, s) in &m.slots {
                let Some(spec) = s.spec.as_ref().filter(|_| s.stop.is_none()) else {
                    continue;
                };
                if !matches!(s.state, SlotState::Running | SlotState::Fetching) || free < spec.cpus {
                    continue;
                }
                let end = self.predicted_end(s, now);
                // Predictions are often wrong by half.
                if end.saturating_duration_since(now) > reclaim_at.saturating_duration_since(now).mul_f64(1.5)
                {
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
    pub fn rental_done(&mut self, r: &RentalRequest, machines: &[MachineId], now: Instant) {
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
    pub fn rental_failed(&mut self, r: &RentalRequest, no_capacity: bool, now: Instant) {
        self.fleet.pending.remove(&r.request);
        if no_capacity {
            self.refuse(r, now);
        }
    }

    fn refuse(&mut self, r: &RentalRequest, now: Instant) {
        let offer = Offer {
            machine_type: r.machine_type.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
        };
        self.fleet.refused.insert(offer, now + Duration::from_secs(10));
    }

    /// A release was confirmed or failed.
    pub fn release_done(&mut self, ids: &[MachineId], ok: bool, now: Instant) {
        for id in ids {
            if ok {
                self.released(id, now);
            } else if let Some(m) = self.machines.get_mut(id) {
                m.phase = if m.last_heartbeat.is_some() {
                    MachinePhase::Up
                } else {
                    MachinePhase::Booting
                };
            }
        }
    }

    /// How many of a job's waiting tasks may start now if there is room: as many
    /// as its pause, its probation and its team's limit allow, given what the
    /// team uses.
    fn startable(&self, job: &Job, team_usage: TeamUsage, now: Instant) -> u32 {
        if job.cancelled || job.pause_until.is_some_and(|t| t > now) {
            return 0;
        }
        let admitted = match self.placement_limit(job, now).saturating_sub(job.placed) {
            // A gang is placed whole or not at all.
            1.. if job.spec.kind == JobKind::Gang => u32::MAX,
            admitted => admitted,
        };
        let mut startable = admitted.min(job.waiting.count());
        let Some(team) = self.config.teams.get(&job.spec.team) else {
            return startable;
        };
        let limits = [
            (team.cpu_limit, team_usage.cpus, job.spec.cpus),
            (team.gpu_limit, team_usage.gpus, job.spec.gpus),
        ];
        for (limit, used, each) in limits {
            if limit > 0.0 && each > 0.0 {
                startable = startable.min(((limit - used + AMOUNT_TOLERANCE) / each).max(0.0) as u32);
            }
        }
        startable
    }

    /// Whether some job waits for nothing but room. Jobs that pause, are on
    /// probation or at their team's limit must not hold the whole fleet: one
    /// that was submitted with a mistake waits until its user cancels it.
    fn work_waits_for_room(&self, now: Instant) -> bool {
        let usage = self.team_usage();
        self.jobs_waiting_for_capacity().any(|job| {
            let team_usage = usage.get(&job.spec.team).copied().unwrap_or_default();
            self.startable(job, team_usage, now) > 0
        })
    }

    fn kind_of(&self, m: &Machine) -> Option<usize> {
        self.machine_types.iter().position(|t| t.name == m.machine_type)
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
            if m.phase == MachinePhase::Booting || (self.is_schedulable(m, now) && m.reclaim_at.is_none()) {
                free += self.machine_types[k].cpus - mine;
            }
        }
        (free, used)
    }
}
