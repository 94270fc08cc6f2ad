//! How long a leader may act, and how long it may renew leases after that.
//!
//! Every bound counts from when the leader *sent* the last successful renewal of its
//! lease at the state service, by the leader's own clocks: the steady clock, or the time
//! of day if that has advanced further. The steady clock may stop while the process is
//! paused; the time of day stays within the configured clock error all the same. The
//! argument for the numbers is in docs/design.md under "The bound on leases".

use std::time::{Duration, Instant, SystemTime};

/// Least time between the expiry of the last worker lease that a leader renews and the
/// deadline of a cancellation. It allows for the drift of clocks, and for the worker's
/// timer that ends the lease.
pub const CANCELLATION_MARGIN: Duration = Duration::from_secs(4);
/// Added to the allowance for the error of the time of day, to cover clock drift.
const DRIFT_MARGIN: Duration = Duration::from_millis(500);

/// Both clocks of a process, read at the same moment.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// The steady clock, which may stop while the process is paused.
    pub steady: Instant,
    /// The time of day by the wall clock, off by at most the configured error in either
    /// direction.
    pub time_of_day: SystemTime,
}

/// Computes how long a leader may act and renew workers' leases, from the renewals of
/// its own lease.
#[derive(Debug, Clone)]
pub struct Authority {
    /// How long the leader may act after a renewal was sent.
    acting_period: Duration,
    /// How much longer than that it may renew workers' leases.
    renewal_grace: Duration,
    /// Largest error of the time of day.
    clock_error: Duration,
    /// When the last successful renewal was sent.
    renewal_sent: ClockReading,
    /// When the last pause of the process ended; `None` once a renewal that was sent
    /// later has succeeded.
    resumed_at: Option<Instant>,
}

/// The durations that an [`Authority`] is computed from.
#[derive(Debug, Clone, Copy)]
pub struct AuthorityLimits {
    /// Lifetime of the leader's lease at the state service.
    pub leader_lease: Duration,
    /// Lifetime of a worker's lease.
    pub worker_lease: Duration,
    /// Time within which a cancelled job's tasks must have ended.
    pub cancel_deadline: Duration,
    /// Largest error of the time of day.
    pub clock_error: Duration,
}

impl Authority {
    /// The authority of a leader whose lease was granted, or last renewed, by a request
    /// sent at `sent`.
    pub fn new(limits: &AuthorityLimits, sent: ClockReading) -> Self {
        let lease = limits.leader_lease;
        // Deducts 0.1 % for the drift of both clocks, and a margin of 50 ms.
        let acting_period = (lease - lease / 1000).saturating_sub(Duration::from_millis(50));
        // `since_renewal` may be short by four times the clock error: its two readings may
        // be off in opposite directions, and it deducts twice the error from the result.
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

    /// Records that a renewal sent at `sent` has succeeded. The bounds count from the
    /// sending, however late the response came: the state service renewed the lease then
    /// at the earliest.
    pub fn renewed(&mut self, sent: ClockReading) {
        if sent.steady >= self.renewal_sent.steady {
            self.renewal_sent = sent;
        }
        self.resumed_at = self.resumed_at.filter(|resumed| sent.steady <= *resumed);
    }

    /// Records that the process was paused until now. The leader may act if its clocks
    /// allow it, but renews no worker's lease until a renewal of its own lease, sent after
    /// the pause, has succeeded: a newer leader may have taken over, and renewing its
    /// workers' leases would keep them with this leader.
    pub fn resumed_after_pause(&mut self, now: Instant) {
        self.resumed_at = Some(now);
    }

    /// Whether the leader may act: place and start tasks, rent and release machines,
    /// respond to requests from memory.
    pub fn may_act(&self, now: ClockReading) -> bool {
        self.since_renewal(now) < self.acting_period
    }

    /// Whether the leader may respond to heartbeats, without starting tasks, so that
    /// workers' leases outlast an outage of the state service. The time is bounded
    /// because another leader may meanwhile have confirmed a cancellation to a user,
    /// after which the job's tasks must end within the cancellation deadline.
    pub fn may_renew_leases(&self, now: ClockReading) -> bool {
        self.resumed_at.is_none() && self.since_renewal(now) < self.acting_period + self.renewal_grace
    }

    /// How long ago the last successful renewal was sent, by the clock that has
    /// advanced further. Twice the clock error is deducted from the advance of the time of
    /// day, as each of the two readings may be off by the error.
    pub fn since_renewal(&self, now: ClockReading) -> Duration {
        let steady = now.steady.saturating_duration_since(self.renewal_sent.steady);
        let time_of_day = now.time_of_day.duration_since(self.renewal_sent.time_of_day);
        let at_least = time_of_day
            .unwrap_or_default()
            .saturating_sub(self.clock_error * 2);
        steady.max(at_least)
    }
}
