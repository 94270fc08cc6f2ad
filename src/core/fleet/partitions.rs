//! Network partitions, inferred from how many machines are silent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;

/// Up to this many silent machines are no sign of a partition: they may have failed
/// independently.
const MAX_SILENT_WITHOUT_PARTITION: usize = 2;

/// Machines of a zone that are up, and how many of them are silent.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneCount {
    up: usize,
    silent: usize,
}

impl ClusterModel {
    /// Zones in which more than three fifths of the machines that are up have been silent
    /// for longer than the heartbeat interval.
    pub(super) fn partitioned_zones(&self, now: Instant) -> BTreeSet<String> {
        let mut zones: BTreeMap<&str, ZoneCount> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.phase == MachinePhase::Up) {
            let zone = zones.entry(&machine.zone).or_default();
            zone.up += 1;
            zone.silent += usize::from(self.silence(machine, now) > self.config.heartbeat_interval);
        }
        zones
            .into_iter()
            .filter(|(_, zone)| zone.silent > MAX_SILENT_WITHOUT_PARTITION && zone.silent * 5 > zone.up * 3)
            .map(|(name, _)| name.to_owned())
            .collect()
    }

    /// Whether more than half of the machines that are up are silent at once: then it is
    /// this process that doesn't receive heartbeats.
    pub(super) fn most_machines_silent(&self, now: Instant) -> bool {
        let up: Vec<&Machine> = self
            .machines
            .values()
            .filter(|machine| machine.phase == MachinePhase::Up)
            .collect();
        let silent = up
            .iter()
            .filter(|machine| self.silence(machine, now) > self.config.silence_limit)
            .count();
        silent > MAX_SILENT_WITHOUT_PARTITION && silent * 2 > up.len()
    }
}
