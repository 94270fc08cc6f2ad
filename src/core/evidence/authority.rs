//! How long a leader may act, and how long it may renew leases after that.
//!
//! Every bound is counted from when a renewal of its lease at the state service
//! was *sent*, on the leader's own clocks: by the steady one, and by the time of
//! day where that has advanced further. A paused process's steady clock may be
//! paused with it; the time of day stays within the error of the settings all the
//! same. The argument for the numbers is in docs/design.md under "The bound on
//! leases".

use std::time::{Duration, Instant, SystemTime};

/// Least time between the last renewal of a worker's lease, plus the lease's life, and
/// the end of the time for a cancellation: clocks drift, and a timer ends the lease.
pub const CANCELLATION_MARGIN: Duration = Duration::from_secs(4);
/// Added to the allowance for the error of the time of day, for drift.
const DRIFT_MARGIN: Duration = Duration::from_millis(500);

/// Both clocks of a process, read at the same moment.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// Never goes back, and may be paused with the process.
    pub steady: Instant,
    /// Off by at most the error of the settings, in either direction.
    pub time_of_day: SystemTime,
}

/// How long a leader may act and renew leases, from the renewals of its own lease.
#[derive(Debug, Clone)]
pub struct Authority {
    /// How long it may act after a renewal was sent.
    acting_period: Duration,
    /// How much longer it may renew workers' leases.
    renewal_grace: Duration,
    /// Error of the time of day.
    clock_error: Duration,
    /// When the last successful renewal was sent.
    renewal_sent: ClockReading,
    /// When a pause of the process ended, unless a renewal was sent after it.
    resumed_at: Option<Instant>,
}

/// The durations that an authority is computed from.
#[derive(Debug, Clone, Copy)]
pub struct AuthorityLimits {
    /// Life of the leader's lease at the state service.
    pub leader_lease: Duration,
    /// Life of a worker's lease.
    pub worker_lease: Duration,
    /// Time within which a cancelled job's tasks must be gone.
    pub cancel_deadline: Duration,
    /// Error of the time of day.
    pub clock_error: Duration,
}

impl Authority {
    /// The authority of a leader whose lease was granted, or last renewed, by a request
    /// sent at `sent`.
    pub fn new(limits: &AuthorityLimits, sent: ClockReading) -> Self {
        let lease = limits.leader_lease;
        // Drift of both clocks, and a margin.
        let acting_period = (lease - lease / 1000).saturating_sub(Duration::from_millis(50));
        // Two readings may be off in opposite directions, and so may their allowance.
        let margin = CANCELLATION_MARGIN.max(limits.clock_error * 4 + DRIFT_MARGIN);
        Self {
            acting_period,
            renewal_grace: limits
                .cancel_deadline
                .saturating_sub(limits.worker_lease + margin),
            clock_error: limits.clock_error,
            renewal_sent: sent,
            resumed_at: None,
        }
    }

    /// A renewal that was sent at `sent` has succeeded, whenever its response came. The
    /// bounds count from the sending: the lease lasts from then at the earliest.
    pub fn renewed(&mut self, sent: ClockReading) {
        if sent.steady >= self.renewal_sent.steady {
            self.renewal_sent = sent;
        }
        self.resumed_at = self.resumed_at.filter(|resumed| sent.steady <= *resumed);
    }

    /// The process was paused until now. The leader may act as its clocks say, but
    /// renews no worker's lease before a renewal sent after the pause has succeeded:
    /// a newer leader may have taken over, and its workers would be kept here.
    pub fn resumed_after_pause(&mut self, now: Instant) {
        self.resumed_at = Some(now);
    }

    /// Whether it may act as the leader: place and start tasks, rent and release
    /// machines, respond from memory.
    pub fn may_act(&self, now: ClockReading) -> bool {
        self.since_renewal(now) < self.acting_period
    }

    /// Whether it may respond to heartbeats, without starts, so that workers' leases
    /// outlast an outage of the state service. Another leader may have confirmed
    /// meanwhile that a cancelled job is gone in time, hence the bound.
    pub fn may_renew_leases(&self, now: ClockReading) -> bool {
        self.resumed_at.is_none() && self.since_renewal(now) < self.acting_period + self.renewal_grace
    }

    /// How long ago the last successful renewal was sent, by the clock that has
    /// advanced further.
    pub fn since_renewal(&self, now: ClockReading) -> Duration {
        let steady = now.steady.saturating_duration_since(self.renewal_sent.steady);
        let time_of_day = now.time_of_day.duration_since(self.renewal_sent.time_of_day);
        let at_least = time_of_day
            .unwrap_or_default()
            .saturating_sub(self.clock_error * 2);
        steady.max(at_least)
    }
}
