//! How long a leader may act, and how long it may renew leases after that.
//!
//! Every bound is counted from when a renewal of its lease at the state service
//! was *sent*, on the leader's own clocks: by the steady one, and by the time of
//! day where that has gone further. A process may stand still together with its
//! steady clock; the time of day is kept within the error of the settings all the
//! same. The argument for the numbers is in docs/design.md under "The bound on
//! leases".

use std::time::{Duration, Instant, SystemTime};

/// Kept free between the last renewal of a worker's lease and the end of what a
/// cancellation is given: for clocks that drift, and a lease that is ended by a
/// timer.
pub const MARGIN: Duration = Duration::from_secs(4);
/// Kept free beside the error of the time of day, where that is large.
const DRIFT_MARGIN: Duration = Duration::from_millis(500);

/// Both clocks of a process, read at the same moment.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// Never goes back, and may stand still with the process.
    pub steady: Instant,
    /// Off by the error of the settings at the most, in either direction.
    pub time_of_day: SystemTime,
}

/// What a leader may still do.
#[derive(Debug, Clone)]
pub struct Authority {
    /// How long it may act after a renewal was sent.
    term_of_renewal: Duration,
    /// How much longer it may renew workers' leases.
    grace: Duration,
    /// Error of the time of day.
    clock_error: Duration,
    /// When the last successful renewal was sent.
    renewal_sent: ClockReading,
    resumed_at: Option<Instant>,
}

/// The spans that an authority rests on.
#[derive(Debug, Clone, Copy)]
pub struct AuthorityLimits {
    /// Life of the leader's lease at the state service.
    pub lease: Duration,
    /// Life of a worker's lease.
    pub worker_lease: Duration,
    /// Time for a cancellation.
    pub cancel: Duration,
    /// Error of the time of day.
    pub clock_error: Duration,
}

impl Authority {
    /// Of a leader whose lease was granted, or last renewed, by a request sent then.
    pub fn new(limits: &AuthorityLimits, sent: ClockReading) -> Self {
        let lease = limits.lease;
        // Drift of both clocks, and a margin.
        let term_of_renewal = (lease - lease / 1000).saturating_sub(Duration::from_millis(50));
        // Two readings may be off in opposite directions, and so may their allowance.
        let margin = MARGIN.max(limits.clock_error * 4 + DRIFT_MARGIN);
        Self {
            term_of_renewal,
            grace: limits.cancel.saturating_sub(limits.worker_lease + margin),
            clock_error: limits.clock_error,
            renewal_sent: sent,
            resumed_at: None,
        }
    }

    /// A renewal that was sent then has succeeded, whenever its answer came.
    pub fn renewed(&mut self, sent: ClockReading) {
        if sent.steady >= self.renewal_sent.steady {
            self.renewal_sent = sent;
        }
        self.resumed_at = self.resumed_at.filter(|w| sent.steady <= *w);
    }

    /// The process has stood still until now. The authority holds by the clock
    /// as ever, but leases are not renewed beyond it before the state service
    /// has answered anew: a newer leader's workers would be held here.
    pub fn resumed_after_pause(&mut self, now: Instant) {
        self.resumed_at = Some(now);
    }

    /// Whether it may act as the leader: start, place, rent, answer from memory.
    pub fn may_act(&self, now: ClockReading) -> bool {
        self.since_renewal(now) < self.term_of_renewal
    }

    /// Whether it may answer reports, without starts, so that leases live
    /// through an outage. Another may have promised meanwhile that a cancelled
    /// job is gone in time, hence the bound.
    pub fn may_renew_leases(&self, now: ClockReading) -> bool {
        self.resumed_at.is_none() && self.since_renewal(now) < self.term_of_renewal + self.grace
    }

    /// How long ago the last successful renewal was sent, by the clock that has
    /// gone further.
    pub fn since_renewal(&self, now: ClockReading) -> Duration {
        let steady = now.steady.saturating_duration_since(self.renewal_sent.steady);
        let time_of_day = now.time_of_day.duration_since(self.renewal_sent.time_of_day);
        let at_least = time_of_day
            .unwrap_or_default()
            .saturating_sub(self.clock_error * 2);
        steady.max(at_least)
    }
}
