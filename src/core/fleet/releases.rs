//! Choice of the machines to release: those that are lost to the cluster, and idle ones
//! that are not needed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::fleet::release_reason::ReleaseReason;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::wire::MachineId;

/// Machines of a partitioned zone are kept for this long beyond the silence limit and the
/// worker lease: as a rule the zone is reachable again sooner than machines could be
/// rented anew, and its machines still have their images.
const PARTITION_GRACE: Duration = Duration::from_secs(30);
/// Boot time that is assumed for a machine of unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 30.0;
/// The boot timeout of a machine is its type's usual boot time times this factor...
const BOOT_TIMEOUT_FACTOR: f64 = 4.0;
/// ...plus this many seconds.
const BOOT_TIMEOUT_EXTRA_S: f64 = 10.0;

/// Whether a machine is released, decided in each round.
enum ReleaseDecision {
    Keep,
    /// It is in order and has no slots; whether it is released depends on the load.
    Idle,
    Release(ReleaseReason),
}

/// State of the network, inferred from all machines of the fleet.
struct NetworkView {
    partitioned_zones: BTreeSet<String>,
    /// Most machines are silent, so the silence of one is no reason to release it.
    most_machines_silent: bool,
    /// This leader is partitioned from the workers: more machines leave commands unanswered
    /// than answer them, so a missing answer is no reason to release a machine.
    partitioned_from_workers: bool,
}

impl ClusterModel {
    /// Machines to release now. Tasks may still be on lost machines: their slots stay until
    /// the release is confirmed.
    pub(super) fn machines_to_release(&self, now: Instant) -> Vec<MachineId> {
        let network = NetworkView {
            most_machines_silent: self.most_machines_silent(now),
            partitioned_zones: self.partitioned_zones(now),
            partitioned_from_workers: self.is_partitioned_from_workers(now),
        };
        let mut release = Vec::new();
        let mut idle: Vec<&Machine> = Vec::new();
        for machine in self.machines.values() {
            match self.release_decision(machine, &network, now) {
                ReleaseDecision::Keep => {}
                ReleaseDecision::Idle => idle.push(machine),
                ReleaseDecision::Release(reason) => {
                    debug!(machine = %machine.id, reason = reason.as_str(), "releasing machine");
                    release.push(machine.id.clone());
                }
            }
        }
        release.extend(self.idle_machines_to_release(idle, now));
        release
    }

    fn release_decision(&self, machine: &Machine, network: &NetworkView, now: Instant) -> ReleaseDecision {
        match machine.phase {
            MachinePhase::Releasing => ReleaseDecision::Keep,
            MachinePhase::Booting => self.booting_decision(machine, now),
            MachinePhase::Up => self.up_decision(machine, network, now),
        }
    }

    fn booting_decision(&self, machine: &Machine, now: Instant) -> ReleaseDecision {
        let type_index = self.type_index(machine);
        let boot_s = type_index.map_or(DEFAULT_BOOT_S, |index| self.machine_types[index].boot_s);
        let boot_timeout = Duration::from_secs_f64(boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_EXTRA_S);
        if now.saturating_duration_since(machine.known_since) <= boot_timeout + self.config.machine_list_lag {
            ReleaseDecision::Keep
        } else if machine.slots.is_empty() {
            ReleaseDecision::Release(ReleaseReason::BootTimeout)
        } else {
            ReleaseDecision::Release(ReleaseReason::NoHeartbeatSinceFound)
        }
    }

    fn up_decision(&self, machine: &Machine, network: &NetworkView, now: Instant) -> ReleaseDecision {
        let silent = self.silence(machine, now) > self.config.silence_limit;
        if silent && self.is_kept_during_partition(machine, network, now) {
            ReleaseDecision::Keep
        } else if silent && !network.most_machines_silent {
            ReleaseDecision::Release(ReleaseReason::Silent)
        } else if !network.partitioned_from_workers
            && self.ignores_commands(machine, now, self.config.silence_limit * 2)
        {
            ReleaseDecision::Release(ReleaseReason::IgnoresCommands)
        } else if machine.cordoned_since.is_some() && machine.is_empty() {
            ReleaseDecision::Release(ReleaseReason::Cordoned)
        } else if machine.reclaim_at.is_some() && machine.is_empty() {
            ReleaseDecision::Release(ReleaseReason::SpotNotice)
        } else if machine.slots.is_empty() && machine.idle_since.is_some() && !silent {
            ReleaseDecision::Idle
        } else {
            ReleaseDecision::Keep
        }
    }

    /// Whether a silent machine is kept because its zone is partitioned. If it is fenced by
    /// this term, the expiry of its lease frees its tasks without a release. If it is not,
    /// it is kept only if it has no slots.
    fn is_kept_during_partition(&self, machine: &Machine, network: &NetworkView, now: Instant) -> bool {
        let max_silence = self.config.silence_limit + self.config.worker_lease + PARTITION_GRACE;
        network.partitioned_zones.contains(&machine.zone)
            && self.silence(machine, now) < max_silence
            && (machine.is_fenced_by(self.term) || machine.slots.is_empty())
    }
}
