//! Which machines are silent, which take no commands, and whose leases have
//! run out.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::wire::MachineId;

impl ClusterModel {
    /// This process stood still until now: what it didn't hear is no silence.
    pub fn ignore_silence_before(&mut self, now: Instant) {
        self.listening_since = Some(now);
    }

    /// How long a machine has been silent while this process listened.
    pub fn silence(&self, m: &Machine, now: Instant) -> Duration {
        let last = Some(m.last_heartbeat.unwrap_or(m.since)).max(self.listening_since);
        last.map_or(Duration::ZERO, |t| now.saturating_duration_since(t))
    }

    /// Whether all machines that were up when this term began obey it.
    pub fn all_fenced(&self) -> bool {
        let mut up = self.machines.values().filter(|m| m.phase == MachinePhase::Up);
        up.all(|m| !m.needs_probe || m.fenced(self.term))
    }

    /// Whether a machine's lease has run out for certain: it obeys this term,
    /// so that no other's answers renew its lease, and the last answer of this
    /// one was sent longer ago than the lease lasts by the slowest clock.
    pub(in crate::core) fn lease_expired(&self, m: &Machine, now: Instant) -> bool {
        let lease = self.config.lease + self.config.lease / 500 + Duration::from_secs(1);
        let last = m.last_response.max(m.last_heartbeat);
        m.phase == MachinePhase::Up
            && m.fenced(self.term)
            && last.is_some_and(|t| now.saturating_duration_since(t) > lease)
    }

    /// Clears machines whose lease has run out: their workers have killed and
    /// forgotten all they held. From then on nothing of that session counts.
    pub fn expire_leases(&mut self, now: Instant) {
        let ids: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| !m.slots.is_empty() && self.lease_expired(m, now))
            .map(|m| m.id.clone())
            .collect();
        if !ids.is_empty() {
            info!(
                machines = ids.len(),
                "their leases have run out, their tasks are free"
            );
        }
        for id in ids {
            if let Some(m) = self.machines.get_mut(&id) {
                m.newest_message.1 = u64::MAX;
            }
            self.clear_machine(&id, now, "its lease has run out");
        }
    }

    /// Whether a machine reports, by way of others, but has taken no command for
    /// so long.
    pub fn ignores_commands(&self, m: &Machine, now: Instant, long: Duration) -> bool {
        let within = |t: Instant, d: Duration| now.saturating_duration_since(t) < d;
        m.phase == MachinePhase::Up
            && m.last_heartbeat
                .is_some_and(|t| within(t, self.config.heartbeat_interval * 2))
            && m.commands_unanswered_since
                .max(
                    self.listening_since
                        .filter(|_| m.commands_unanswered_since.is_some()),
                )
                .is_some_and(|t| !within(t, long))
    }

    /// Most machines report by way of others and take no command from here:
    /// this leader is cut off from the workers alone, and their leases would
    /// live on while its stops never arrive.
    pub fn is_partitioned_from_workers(&self, now: Instant) -> bool {
        let long = Duration::from_secs(5);
        let recent = |t: Instant| now.saturating_duration_since(t) < long;
        // Idle machines are sent nothing, and tell nothing.
        let answer = self
            .machines
            .values()
            .filter(|m| m.commands_unanswered_since.is_none() && m.last_command_answer.is_some_and(recent));
        let deaf = self
            .machines
            .values()
            .filter(|m| self.ignores_commands(m, now, long))
            .count();
        deaf > 2 && deaf > answer.count()
    }
}
