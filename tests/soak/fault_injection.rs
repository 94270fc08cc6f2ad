//! Begins and ends faults at the controller processes and the stand-ins.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::faults::{Fault, FAULTS};
use crate::processes::Processes;
use crate::proxy::LinkMode;
use crate::standins::state_service::LateWrites;

/// Whether to begin or to end a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultPhase {
    Begin,
    End,
}

/// Begins or ends a fault. `controller` is the one that it concerns, and is ignored by
/// faults that concern none or all.
pub fn apply(processes: &mut Processes, fault: Fault, controller: usize, phase: FaultPhase) {
    let begins = phase == FaultPhase::Begin;
    let (state, cloud) = (processes.site.state.clone(), processes.site.cloud.clone());
    match fault {
        Fault::KillBriefly if begins => {
            processes.kill_controller(controller);
            processes.start_controller(controller);
        }
        Fault::KillBriefly => {}
        Fault::Kill if begins => processes.kill_controller(controller),
        Fault::Kill => processes.start_controller(controller),
        Fault::KillAll if begins => (0..3).for_each(|i| processes.kill_controller(i)),
        Fault::KillAll => (0..3).for_each(|i| processes.start_controller(i)),
        Fault::Pause => processes.set_paused(controller, begins),
        Fault::StateRefuses => state.set_controller_refused(controller, begins),
        Fault::StateOut => state.set_outage(begins),
        Fault::LateWrites => state.set_late_writes(begins.then_some(LateWrites {
            every: 4,
            delay: Duration::from_secs(3),
        })),
        Fault::NoCommands => cloud.reject_commands.store(begins, Ordering::Relaxed),
        Fault::NoHeartbeats => cloud.suppress_heartbeats.store(begins, Ordering::Relaxed),
        Fault::ControllerUnreachable if begins => drop(cloud.unreachable.lock().insert(controller)),
        Fault::ControllerUnreachable => drop(cloud.unreachable.lock().remove(&controller)),
        Fault::Hang if begins => {
            let machines = cloud.machine_ids();
            let third = machines.len().div_ceil(3);
            cloud.hang_machines(&machines[..third]);
        }
        Fault::Hang => cloud.resume_machines(),
        Fault::LateHeartbeats => *cloud.late_copy_delay.lock() = begins.then_some(Duration::from_secs(7)),
        Fault::PeersRefuse => {
            processes.set_link_modes(controller, if begins { LinkMode::Refuse } else { LinkMode::Pass });
        }
        Fault::PeersHold => {
            processes.set_link_modes(controller, if begins { LinkMode::Hold } else { LinkMode::Pass });
        }
        Fault::PeersDelay => {
            let delay = LinkMode::Delay(Duration::from_millis(300));
            processes.set_link_modes(controller, if begins { delay } else { LinkMode::Pass });
        }
        Fault::RateRefused if begins => state.rate_limit_next(20),
        Fault::RateRefused => state.rate_limit_next(0),
    }
}

/// Ends all faults, including those that still overlap.
pub fn end_all_faults(processes: &mut Processes) {
    for controller in 0..3 {
        processes.set_paused(controller, false);
        for (_, fault) in FAULTS {
            apply(processes, fault, controller, FaultPhase::End);
        }
    }
}
