//! What to release: machines that are lost to the cluster, and idle ones that are not
//! needed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::fleet::release_reason::ReleaseReason;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::wire::MachineId;

/// Machines of a partitioned zone are kept for so long after their lease has expired:
/// the zone comes back, as a rule sooner than machines could be rented anew, and with
/// its images.
const PARTITION_GRACE: Duration = Duration::from_secs(30);
/// Boot time that is assumed of a machine of unknown type, in seconds.
const UNKNOWN_BOOT_S: f64 = 30.0;
/// A machine is given up if it has not come up within this many of its type's usual
/// boot times...
const MAX_BOOT_TIMES: f64 = 4.0;
/// ...and so many seconds.
const MAX_BOOT_EXTRA_S: f64 = 10.0;

/// What is to become of a machine.
enum Disposition {
    Keep,
    /// It is empty and in order, so it is kept or released as the load asks for.
    Idle,
    Release(ReleaseReason),
}

/// What the machines of the fleet, seen together, tell of the network.
struct NetworkView {
    partitioned_zones: BTreeSet<String>,
    /// The silence of machines says nothing, as most of them are silent.
    most_machines_silent: bool,
    /// Missing responses to commands say nothing, as hardly any arrive.
    partitioned_from_workers: bool,
}

impl ClusterModel {
    /// Machines to release now. Tasks may still be on lost ones: their places stay
    /// until the release is confirmed.
    pub(super) fn machines_to_release(&self, now: Instant) -> Vec<MachineId> {
        let network = NetworkView {
            most_machines_silent: self.most_machines_silent(now),
            partitioned_zones: self.partitioned_zones(now),
            partitioned_from_workers: self.is_partitioned_from_workers(now),
        };
        let mut release = Vec::new();
        let mut idle: Vec<&Machine> = Vec::new();
        for machine in self.machines.values() {
            match self.disposition(machine, &network, now) {
                Disposition::Keep => {}
                Disposition::Idle => idle.push(machine),
                Disposition::Release(reason) => {
                    debug!(machine = %machine.id, reason = reason.as_str(), "releasing");
                    release.push(machine.id.clone());
                }
            }
        }
        release.extend(self.idle_machines_to_release(idle, now));
        release
    }

    fn disposition(&self, machine: &Machine, network: &NetworkView, now: Instant) -> Disposition {
        match machine.phase {
            MachinePhase::Releasing => Disposition::Keep,
            MachinePhase::Booting => self.booting_disposition(machine, now),
            MachinePhase::Up => self.up_disposition(machine, network, now),
        }
    }

    fn booting_disposition(&self, machine: &Machine, now: Instant) -> Disposition {
        let type_index = self.type_index(machine);
        let boot_s = type_index.map_or(UNKNOWN_BOOT_S, |index| self.machine_types[index].boot_s);
        let max_boot = Duration::from_secs_f64(boot_s * MAX_BOOT_TIMES + MAX_BOOT_EXTRA_S);
        if now.saturating_duration_since(machine.known_since) <= max_boot + self.config.machine_list_lag {
            Disposition::Keep
        } else if machine.slots.is_empty() {
            Disposition::Release(ReleaseReason::NeverCameUp)
        } else {
            Disposition::Release(ReleaseReason::SilentSinceFound)
        }
    }

    fn up_disposition(&self, machine: &Machine, network: &NetworkView, now: Instant) -> Disposition {
        let silent = self.silence(machine, now) > self.config.silence_limit;
        if silent && self.awaits_partition_end(machine, network, now) {
            Disposition::Keep
        } else if silent && !network.most_machines_silent {
            Disposition::Release(ReleaseReason::Silent)
        } else if !network.partitioned_from_workers
            && self.ignores_commands(machine, now, self.config.silence_limit * 2)
        {
            Disposition::Release(ReleaseReason::TakesNoCommands)
        } else if machine.cordoned_since.is_some() && machine.is_empty() {
            Disposition::Release(ReleaseReason::Cordoned)
        } else if machine.reclaim_at.is_some() && machine.is_empty() {
            Disposition::Release(ReleaseReason::SpotNotice)
        } else if machine.slots.is_empty() && machine.idle_since.is_some() && !silent {
            Disposition::Idle
        } else {
            Disposition::Keep
        }
    }

    /// Whether a silent machine is kept because its zone is partitioned. The expiry of
    /// its lease frees its tasks without a release, but only if it obeys this term.
    fn awaits_partition_end(&self, machine: &Machine, network: &NetworkView, now: Instant) -> bool {
        let max_silence = self.config.silence_limit + self.config.worker_lease + PARTITION_GRACE;
        network.partitioned_zones.contains(&machine.zone)
            && self.silence(machine, now) < max_silence
            && (machine.is_fenced_by(self.term) || machine.slots.is_empty())
    }
}
