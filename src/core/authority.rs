//! How long a leader may act, and how long it may renew leases after that.
//!
//! Every bound is one on the leader's own steady clock, counted from when a
//! renewal of its lease at the state service was *sent*. The argument for the
//! numbers is in docs/design.md under "The bound on leases".

use std::time::{Duration, Instant};

/// Kept free between the last renewal of a worker's lease and the end of what a
/// cancellation is given: for clocks that drift, and a lease that is ended by a
/// timer.
pub const MARGIN: Duration = Duration::from_secs(4);

/// What a leader may still do.
#[derive(Debug, Clone)]
pub struct Authority {
    lease: Duration,
    grace: Duration,
    until: Instant,
    woke: Option<Instant>,
}

impl Authority {
    /// Of a leader whose lease at the state service lives for `lease` and was
    /// renewed by a request sent at `sent`; workers' leases and cancellations
    /// last as the settings say.
    pub fn new(lease: Duration, worker_lease: Duration, cancel: Duration, sent: Instant) -> Self {
        let mut a = Self {
            lease,
            grace: cancel.saturating_sub(worker_lease + MARGIN),
            until: sent,
            woke: None,
        };
        a.renewed(sent);
        a
    }

    /// A renewal that was sent then has succeeded, whenever its answer came.
    pub fn renewed(&mut self, sent: Instant) {
        // Drift of both clocks, and a margin.
        let sure = (self.lease - self.lease / 1000).saturating_sub(Duration::from_millis(50));
        self.until = self.until.max(sent + sure);
        self.woke = self.woke.filter(|w| sent <= *w);
    }

    /// The process has stood still until now. The authority holds by the clock
    /// as ever, but leases are not renewed beyond it before the state service
    /// has answered anew: a newer leader's workers would be held here.
    pub fn woke(&mut self, now: Instant) {
        self.woke = Some(now);
    }

    /// Whether it may act as the leader: start, place, rent, answer from memory.
    pub fn may_act(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Whether it may answer reports, without starts, so that leases live
    /// through an outage. Another may have promised meanwhile that a cancelled
    /// job is gone in time, hence the bound.
    pub fn may_renew_leases(&self, now: Instant) -> bool {
        self.woke.is_none() && now < self.until + self.grace
    }
}
