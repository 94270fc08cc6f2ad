//! Detects stalls and overload of this process. A controller may stand still for
//! seconds while its clocks run on, or get less of the processor than it needs;
//! both show in how late its own timer fires.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Interval of the timer.
pub const TIMER_INTERVAL: Duration = Duration::from_millis(100);
/// A tick that is so late means that the process stood still.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// So late, it has more to do than it can: polls are put off, at once and before
/// they cost much. Submissions, cancellations and reports never are: what can't be
/// stored in time is refused by the store's backlog. A further step at a later tick
/// would never be reached, as that counts as a standstill.
const OVERLOADED_AFTER: Duration = Duration::from_millis(400);

/// The last tick, and how late it was.
#[derive(Debug)]
pub struct StallDetector {
    last: Mutex<(Instant, Duration)>,
}

impl StallDetector {
    /// Starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            last: Mutex::new((now, Duration::ZERO)),
        }
    }

    /// The timer fired.
    pub fn timer_fired(&self, now: Instant) {
        let mut last = self.last.lock();
        let late = now.saturating_duration_since(last.0 + TIMER_INTERVAL);
        *last = (last.0.max(now), late);
    }

    /// If the process has stood still until now: for how long. Says so once.
    pub fn take_stall(&self, now: Instant) -> Option<Duration> {
        let mut last = self.last.lock();
        let late = now.saturating_duration_since(last.0 + TIMER_INTERVAL);
        (late > STALLED_AFTER).then(|| {
            *last = (now, Duration::ZERO);
            late
        })
    }

    /// Whether there is more to do than can be done, by how late the timer fires
    /// or is due.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        let last = self.last.lock();
        last.1.max(now.saturating_duration_since(last.0 + TIMER_INTERVAL)) > OVERLOADED_AFTER
    }
}
