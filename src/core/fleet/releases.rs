//! What to give back: machines that are lost to us, and idle ones beyond the
//! warm room.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::wire::MachineId;

impl ClusterModel {
    /// Zones most of whose machines are silent for longer than their reports
    /// are apart: cut off, it seems.
    pub(super) fn silent_zones(&self, now: Instant) -> BTreeSet<String> {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.phase == MachinePhase::Up) {
            let z = zones.entry(&m.zone).or_default();
            z.0 += 1;
            z.1 += usize::from(self.silence(m, now) > self.config.heartbeat_interval);
        }
        zones
            .into_iter()
            .filter(|(_, (all, silent))| *silent > 2 && silent * 5 > all * 3)
            .map(|(z, _)| z.to_owned())
            .collect()
    }

    pub(super) fn to_release(&self, now: Instant) -> Vec<MachineId> {
        let silent_after = self.config.silent;
        let mut out = Vec::new();
        let up: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up)
            .collect();
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
        let cut = self.is_partitioned_from_workers(now);
        let takes_none = |m: &Machine| self.ignores_commands(m, now, silent_after * 2);
        let mut idle: Vec<&Machine> = Vec::new();
        for m in self.machines.values() {
            let reason = match m.phase {
                MachinePhase::Releasing => continue,
                MachinePhase::Booting => {
                    let boot = self.kind_of(m).map_or(30.0, |k| self.machine_types[k].boot_s);
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
                MachinePhase::Up if silent(m) && waits(m) => continue,
                MachinePhase::Up if silent(m) && !deaf => "silent",
                MachinePhase::Up if !cut && takes_none(m) => "takes no commands",
                MachinePhase::Up if m.cordoned_since.is_some() && m.empty() => "failed or faulty",
                MachinePhase::Up if m.reclaim_at.is_some() && m.empty() => "spot notice",
                MachinePhase::Up => {
                    if m.slots.is_empty() && m.idle_since.is_some() && !silent(m) {
                        idle.push(m);
                    }
                    continue;
                }
            };
            debug!(machine = %m.id, reason, "releasing");
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
            let cpus = self.machine_types[k].cpus;
            if long && free - cpus >= keep {
                free -= cpus;
                debug!(machine = %m.id, reason = "idle", "releasing");
                out.push(m.id.clone());
            }
        }
        out
    }

    /// How long an idle machine is kept: to rent it anew costs its boot, so
    /// the cheapest are kept longest and the dear ones go soon.
    fn hold_idle(&self, m: &Machine) -> Duration {
        let cheapest = self
            .machine_types
            .iter()
            .map(|t| if t.spot_price > 0.0 { t.spot_price.min(t.price) } else { t.price } / t.cpus.max(1.0))
            .fold(f64::MAX, f64::min);
        let ratio = (cheapest / self.price(m).max(1e-9)).clamp(0.0, 1.0);
        self.config.operator_settings.idle_timeout.mul_f64(ratio * ratio)
    }

    fn price(&self, m: &Machine) -> f64 {
        self.kind_of(m).map_or(0.0, |k| {
            let t = &self.machine_types[k];
            (if m.spot { t.spot_price } else { t.price }) / t.cpus.max(1.0)
        })
    }
}
