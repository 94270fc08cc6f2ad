//! Detects silent machines and expired leases of workers.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::machine::{Machine, MachinePhase, MessageOrder};
use crate::core::state::model::ClusterModel;
use crate::wire::MachineId;

/// Time after the end of a worker's lease before the lease counts as expired.
const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// The lease's lifetime divided by this is added as well, for the drift of the worker's
/// clock.
const LEASE_DRIFT_DIVISOR: u32 = 500;

impl ClusterModel {
    /// Records that this process was paused until now: heartbeats that it missed meanwhile
    /// don't count as silence.
    pub fn ignore_silence_before(&mut self, now: Instant) {
        self.listening_since = Some(now);
    }

    /// How long a machine has been silent while this process listened. Silence is a
    /// reason to release a machine, but no evidence that its tasks are gone.
    pub fn silence(&self, machine: &Machine, now: Instant) -> Duration {
        let last = Some(machine.last_heartbeat.unwrap_or(machine.known_since)).max(self.listening_since);
        last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last))
    }

    /// Whether no machine that is up still needs a probe to be fenced. A fenced machine has
    /// reported a token of this term, so it refuses commands of earlier leaders. A machine
    /// with a probe in flight counts as needing none.
    pub fn all_machines_fenced(&self) -> bool {
        let machines = self.machines.values();
        let mut up = machines.filter(|machine| machine.phase == MachinePhase::Up);
        up.all(|machine| !machine.needs_probe || machine.is_fenced_by(self.term))
    }

    /// Whether the lease of a machine's worker has expired for certain.
    ///
    /// Two conditions make it certain. The worker is fenced by this term, so that no other
    /// leader's responses renew its lease. And the last response or heartbeat of this term
    /// is longer ago than the lease lasts by the slowest clock allowed. A worker whose lease
    /// expires kills all its tasks and forgets them.
    pub(in crate::core) fn is_lease_expired(&self, machine: &Machine, now: Instant) -> bool {
        let lease = self.config.worker_lease + self.config.worker_lease / LEASE_DRIFT_DIVISOR + LEASE_MARGIN;
        let last = machine.last_heartbeat_response.max(machine.last_heartbeat);
        machine.phase == MachinePhase::Up
            && machine.is_fenced_by(self.term)
            && last.is_some_and(|last| now.saturating_duration_since(last) > lease)
    }

    /// Removes the slots of machines whose lease has expired: their workers have killed
    /// and forgotten all tasks. Later messages of that incarnation are ignored, as they can
    /// only be delayed copies from before the expiry.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| !machine.slots.is_empty() && self.is_lease_expired(machine, now))
            .map(|machine| machine.id.clone())
            .collect();
        if !expired.is_empty() {
            info!(
                machines = expired.len(),
                "worker leases expired; their tasks are placed again"
            );
        }
        for id in expired {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.newest_message = MessageOrder::end_of(machine.newest_message.incarnation);
            }
            self.remove_all_slots(&id, now, "lease expired");
        }
    }
}
