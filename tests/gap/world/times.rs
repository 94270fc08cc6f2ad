//! The times of a generated site and of its faults.

use std::time::Duration;

use proptest::prelude::*;

/// The times of a site and of its faults, in seconds.
#[derive(Debug, Clone)]
pub struct Times {
    pub heartbeat_interval: f64,
    /// Life of a worker's lease.
    pub worker_lease: f64,
    /// What the time for a cancellation has beyond the worker's lease and the margin.
    pub cancel_slack: f64,
    /// Life of a leader's lease.
    pub leader_lease: f64,
    /// From the refusal of the leader to the outage for all.
    pub outage_after: f64,
    /// From the refusal to the cancellation; it is asked for until confirmed.
    pub cancel_after: f64,
    pub outage: f64,
    /// Share of commands that are given up by their sender.
    pub commands_late: f64,
    /// For how long such a command may still be in transit, at the most.
    pub max_delay: f64,
    /// Whether the controllers reach each other meanwhile.
    pub peers_connected: bool,
    /// How long a controller is paused and a machine hangs, from some time on.
    pub controller_pause: f64,
    pub machine_hang: f64,
    /// Whether the controller's steady clock is paused with it.
    pub stops_clock: bool,
    /// Error of the time of day.
    pub clock_error: f64,
}

impl Times {
    pub(super) fn leader_lease(&self) -> Duration {
        Duration::from_secs_f64(self.leader_lease)
    }

    /// How long a leader waits before it renews its lease again.
    pub(super) fn renewal_interval(&self) -> Duration {
        Duration::from_secs_f64(self.leader_lease / 5.0)
    }
}

pub fn any_times() -> impl Strategy<Value = Times> {
    let site = (1.0..8.0f64, 8.0..60.0f64, 0.0..60.0f64, 0.5..6.0f64);
    let outage = (0.2..14.0f64, -3.0..14.0f64, 5.0..150.0f64);
    // Often enough the new leader reaches no worker at all.
    let commands_late = prop_oneof![0.0..1.0f64, Just(1.0)];
    let network = (commands_late, 0.0..90.0f64, any::<bool>());
    let pauses = (0.0..40.0f64, 0.0..40.0f64, 0.0..1.2f64);
    (site, outage, network, pauses).prop_map(
        |(
            (heartbeat_interval, worker_lease, cancel_slack, leader_lease),
            (outage_after, cancel_after, outage),
            (commands_late, max_delay, peers_connected),
            (controller_pause, machine_hang, clock_error),
        )| Times {
            heartbeat_interval: heartbeat_interval.min(worker_lease / 3.0),
            worker_lease,
            cancel_slack,
            leader_lease,
            outage_after,
            cancel_after,
            outage,
            commands_late,
            max_delay,
            peers_connected,
            controller_pause,
            machine_hang,
            stops_clock: false,
            clock_error,
        },
    )
}
