//! Generated settings of a site and its faults.

use std::time::Duration;

use proptest::prelude::*;

/// Settings of a site and its faults. Durations are in seconds.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub heartbeat_interval: f64,
    /// Lifetime of a worker's lease.
    pub worker_lease: f64,
    /// By how much the cancellation deadline exceeds the worker's lease plus the margin.
    pub cancel_slack: f64,
    /// Lifetime of the leader's lease.
    pub leader_lease: f64,
    /// From the refusal of the leader to the outage of the state service for all.
    pub outage_after: f64,
    /// From the refusal of the leader to the first request for the cancellation, which is
    /// repeated until it is confirmed.
    pub cancel_after: f64,
    /// How long the outage lasts.
    pub outage: f64,
    /// Share of commands that their sender gives up; at 1 none of them arrives.
    pub given_up_share: f64,
    /// Upper bound for the delay of a command that was given up.
    pub max_command_delay: f64,
    /// Whether the controllers reach each other.
    pub peers_connected: bool,
    /// How long a controller is paused.
    pub controller_pause: f64,
    /// How long a machine hangs.
    pub machine_hang: f64,
    /// Whether the steady clock of a paused controller stops, too.
    pub pauses_steady_clock: bool,
    /// Error of the time of day.
    pub clock_error: f64,
}

impl Scenario {
    pub(super) fn leader_lease(&self) -> Duration {
        Duration::from_secs_f64(self.leader_lease)
    }

    /// How long a leader waits before it renews its lease again.
    pub(super) fn renewal_interval(&self) -> Duration {
        Duration::from_secs_f64(self.leader_lease / 5.0)
    }
}

pub fn any_scenario() -> impl Strategy<Value = Scenario> {
    let site = (1.0..8.0f64, 8.0..60.0f64, 0.0..60.0f64, 0.5..6.0f64);
    let outage = (0.2..14.0f64, -3.0..14.0f64, 5.0..150.0f64);
    // In half of the scenarios no command arrives after the faults begin, so a new leader
    // reaches no worker with commands.
    let given_up_share = prop_oneof![0.0..1.0f64, Just(1.0)];
    let network = (given_up_share, 0.0..90.0f64, any::<bool>());
    let pauses = (0.0..40.0f64, 0.0..40.0f64, 0.0..1.2f64);
    (site, outage, network, pauses).prop_map(
        |(
            (heartbeat_interval, worker_lease, cancel_slack, leader_lease),
            (outage_after, cancel_after, outage),
            (given_up_share, max_command_delay, peers_connected),
            (controller_pause, machine_hang, clock_error),
        )| Scenario {
            heartbeat_interval: heartbeat_interval.min(worker_lease / 3.0),
            worker_lease,
            cancel_slack,
            leader_lease,
            outage_after,
            cancel_after,
            outage,
            given_up_share,
            max_command_delay,
            peers_connected,
            controller_pause,
            machine_hang,
            pauses_steady_clock: false,
            clock_error,
        },
    )
}
