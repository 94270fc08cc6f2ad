//! Detects machines that send heartbeats but don't answer commands.
//!
//! Heartbeats may arrive through other controllers while the network between the leader
//! and the workers is partitioned.

use std::time::{Duration, Instant};

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;

/// A machine that has ignored commands for this long is evidence of a partition, and one
/// that has answered a command within this time is evidence against it.
const PARTITION_WINDOW: Duration = Duration::from_secs(5);
/// Up to this many machines that ignore commands may be faulty themselves; only more are
/// taken for a partition.
const MAX_FAULTY_MACHINES: usize = 2;

impl ClusterModel {
    /// Whether a machine sends heartbeats but has left commands unanswered for `at_least`,
    /// not counting time before the end of this process's last pause.
    pub fn ignores_commands(&self, machine: &Machine, now: Instant, at_least: Duration) -> bool {
        let is_within = |at: Instant, span: Duration| now.saturating_duration_since(at) < span;
        let max_silence = self.config.heartbeat_interval * 2;
        let unanswered_since = machine.commands_unanswered_since.max(
            self.listening_since
                .filter(|_| machine.commands_unanswered_since.is_some()),
        );
        machine.phase == MachinePhase::Up
            && machine
                .last_heartbeat
                .is_some_and(|at| is_within(at, max_silence))
            && unanswered_since.is_some_and(|since| !is_within(since, at_least))
    }

    /// Whether more machines ignore commands than have answered one recently. Then this
    /// leader alone is partitioned from the workers: it would go on renewing their
    /// leases while its stops never arrive, so another controller should lead.
    pub fn is_partitioned_from_workers(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PARTITION_WINDOW;
        // Idle machines are sent no commands, so they don't count.
        let answering = self.machines.values().filter(|machine| {
            machine.commands_unanswered_since.is_none() && machine.last_command_answer.is_some_and(is_recent)
        });
        let ignoring = self
            .machines
            .values()
            .filter(|machine| self.ignores_commands(machine, now, PARTITION_WINDOW))
            .count();
        ignoring > MAX_FAULTY_MACHINES && ignoring > answering.count()
    }
}
