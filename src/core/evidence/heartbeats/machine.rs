//! Applies what a message says about its machine: order, identity, token and spot notice.

use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::state::machine::{Machine, MachinePhase, MessageOrder};
use crate::wire::Heartbeat;

/// Accepts a message if it is newer than all accepted before, by incarnation and sequence,
/// and returns whether it was. An accepted message shows that the worker is alive now.
///
/// Relies on the worker to number its messages and to have a higher incarnation after a
/// restart. A message that is not newer may be a copy that was delayed in the network, and
/// the tasks that it lists may have ended since.
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

/// Updates the machine if its worker reports another address or machine type. Returns
/// whether it did, so that the change is logged: the next leader probes the logged address.
pub(super) fn update_identity(machine: &mut Machine, heartbeat: &Heartbeat) -> bool {
    if machine.address == heartbeat.address && machine.machine_type == heartbeat.machine_type {
        return false;
    }
    machine.address.clone_from(&heartbeat.address);
    machine.machine_type.clone_from(&heartbeat.machine_type);
    machine.zone.clone_from(&heartbeat.zone);
    machine.spot = heartbeat.spot;
    true
}

/// Updates the highest token that the worker has seen, and when the cloud reclaims the
/// machine. A worker that has seen no token of this term has to be probed, as a command of
/// an earlier leader may still reach it.
pub(super) fn update_token_and_notice(machine: &mut Machine, heartbeat: &Heartbeat, term: u64, now: Instant) {
    machine.seen_token = machine.seen_token.max(heartbeat.token);
    let reclaim_at = heartbeat
        .reclaim_in_s
        .and_then(|seconds| Duration::try_from_secs_f64(seconds.max(0.0)).ok())
        .map(|notice| now + notice);
    if machine.reclaim_at.is_none() && reclaim_at.is_some() {
        debug!(
            machine = %heartbeat.machine,
            notice_s = heartbeat.reclaim_in_s,
            "spot notice: the cloud is going to reclaim the machine"
        );
    }
    machine.reclaim_at = reclaim_at;
    if !machine.is_fenced_by(term) {
        machine.needs_probe = true;
    }
}
