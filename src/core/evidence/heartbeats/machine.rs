//! What a message says of its machine: order, identity, token and spot notice.

use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::state::machine::{Machine, MachinePhase, MessageOrder};
use crate::wire::Heartbeat;

/// Whether a message is newer than all taken in before, by incarnation and sequence.
/// If so, the worker is known to have been alive now.
///
/// Rests on the worker: it counts its messages, and a restarted worker has a higher
/// incarnation. A message that is not newer may be a copy that the network held back,
/// and the tasks that it lists may have ended since.
pub(super) fn accept_message(machine: &mut Machine, heartbeat: &Heartbeat, now: Instant) -> bool {
    if MessageOrder::of(heartbeat) <= machine.newest_message {
        return false;
    }
    machine.newest_message = MessageOrder::of(heartbeat);
    machine.last_heartbeat = Some(now);
    if machine.phase == MachinePhase::Booting {
        machine.phase = MachinePhase::Up;
        machine.idle_since = machine.idle_since.map(|_| now);
        let boot_s = (now - machine.known_since).as_secs_f64();
        debug!(machine = %heartbeat.machine, zone = %heartbeat.zone, boot_s, "machine is up");
    }
    true
}

/// Takes in where the machine is. Returns whether that has changed, so that it has to
/// be logged: the next leader probes the address that the log names.
pub(super) fn update_identity(machine: &mut Machine, heartbeat: &Heartbeat) -> bool {
    if machine.addr == heartbeat.addr && machine.machine_type == heartbeat.machine_type {
        return false;
    }
    machine.addr.clone_from(&heartbeat.addr);
    machine.machine_type.clone_from(&heartbeat.machine_type);
    machine.zone.clone_from(&heartbeat.zone);
    machine.spot = heartbeat.spot;
    true
}

/// Takes in the highest token that the worker has seen, and when the cloud reclaims
/// the machine. A worker that has seen no token of this term has to be probed, as a
/// command of an earlier leader may still reach it.
pub(super) fn update_token_and_notice(machine: &mut Machine, heartbeat: &Heartbeat, term: u64, now: Instant) {
    machine.seen_token = machine.seen_token.max(heartbeat.token);
    let reclaim_at = heartbeat
        .reclaim_in_s
        .and_then(|seconds| Duration::try_from_secs_f64(seconds.max(0.0)).ok())
        .map(|notice| now + notice);
    if machine.reclaim_at.is_none() && reclaim_at.is_some() {
        debug!(machine = %heartbeat.machine, notice_s = heartbeat.reclaim_in_s, "spot notice");
    }
    machine.reclaim_at = reclaim_at;
    if !machine.is_fenced_by(term) {
        machine.needs_probe = true;
    }
}
