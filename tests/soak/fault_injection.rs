//! How each fault is begun and ended at a site of real processes.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::faults::{Fault, FAULTS};
use crate::processes::Processes;
use crate::proxy::LinkMode;

/// Begins or ends a fault, on a controller where it concerns one.
pub fn apply(processes: &mut Processes, fault: Fault, i: usize, begins: bool) {
    let (state, cloud) = (processes.site.state.clone(), processes.site.cloud.clone());
    match fault {
        Fault::KillBriefly if begins => {
            processes.kill(i);
            processes.boot(i);
        }
        Fault::KillBriefly => {}
        Fault::Kill if begins => processes.kill(i),
        Fault::Kill => processes.boot(i),
        Fault::KillAll if begins => (0..3).for_each(|i| processes.kill(i)),
        Fault::KillAll => (0..3).for_each(|i| processes.boot(i)),
        Fault::Pause => processes.pause(i, begins),
        Fault::StateRefuses => state.refuse(i, begins),
        Fault::StateOut => state.outage(begins),
        Fault::LateWrites => state.late_writes(begins.then_some((4, Duration::from_secs(3)))),
        Fault::NoCommands => cloud.no_commands.store(begins, Ordering::Relaxed),
        Fault::NoReports => cloud.mute.store(begins, Ordering::Relaxed),
        Fault::ControllerUnheard if begins => drop(cloud.unreachable.lock().insert(i)),
        Fault::ControllerUnheard => drop(cloud.unreachable.lock().remove(&i)),
        Fault::Hang if begins => {
            let machines = cloud.names();
            let some = machines.len().div_ceil(3);
            cloud.hang(&machines[..some]);
        }
        Fault::Hang => cloud.resume(),
        Fault::LateReports => *cloud.late_copies.lock() = begins.then_some(Duration::from_secs(7)),
        Fault::PeersRefuse => processes.set_links(i, if begins { LinkMode::Refuse } else { LinkMode::Pass }),
        Fault::PeersHold => processes.set_links(i, if begins { LinkMode::Hold } else { LinkMode::Pass }),
        Fault::PeersDelay => {
            let delay = LinkMode::Delay(Duration::from_millis(300));
            processes.set_links(i, if begins { delay } else { LinkMode::Pass });
        }
        Fault::RateRefused if begins => state.refuse_for_rate(20),
        Fault::RateRefused => state.refuse_for_rate(0),
    }
}

/// Ends all faults, whichever of them overlapped.
pub fn heal(processes: &mut Processes) {
    for i in 0..3 {
        processes.pause(i, false);
        for (_, fault) in FAULTS {
            apply(processes, fault, i, false);
        }
    }
}
