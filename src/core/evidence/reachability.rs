//! Machines that send heartbeats but don't answer commands.
//!
//! Heartbeats may arrive by way of other controllers while the leader's own links to
//! the workers are cut.

use std::time::{Duration, Instant};

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;

/// For this long a machine must ignore commands to count against the leader's links,
/// and for this long an answer to a command counts in their favour.
const PARTITION_WINDOW: Duration = Duration::from_secs(5);
/// More machines than this must ignore commands: fewer may be at fault themselves.
const MAX_FAULTY_MACHINES: usize = 2;

impl ClusterModel {
    /// Whether a machine sends heartbeats but has answered no command for `at_least`,
    /// counted while this process listened.
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

    /// Whether more machines ignore commands than have answered one of late. Then this
    /// leader alone is partitioned from the workers: it would go on renewing their
    /// leases while its stops never arrive, so another controller should lead.
    pub fn is_partitioned_from_workers(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PARTITION_WINDOW;
        // Idle machines are sent no commands, so they count on neither side.
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
