//! Detection of stalls and overload of this process.
//!
//! A process may be paused for seconds while its clocks run on, or get less of the
//! processor than it needs. Both show in how late its own timer fires.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Interval of the timer.
pub const TIMER_INTERVAL: Duration = Duration::from_millis(100);
/// A timer that is later than this means that the process was paused.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// A timer that is later than this means that the process has more to do than it can.
/// Polls are refused then, at once and before they cost much. Submissions,
/// cancellations and heartbeats never are: what can't be stored in time is refused for
/// the length of the writer's queue. A further step at a later timer would hardly ever
/// be reached, as [`STALLED_AFTER`] is so close.
const OVERLOADED_AFTER: Duration = Duration::from_millis(400);

/// Keeps track of the timer, which has to report each time that it fires.
#[derive(Debug)]
pub struct StallDetector {
    latest: Mutex<TimerRun>,
}

/// One firing of the timer.
#[derive(Debug, Clone, Copy)]
struct TimerRun {
    fired_at: Instant,
    /// How late that was.
    delay: Duration,
}

impl TimerRun {
    /// How long the next firing is overdue.
    fn overdue(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.fired_at + TIMER_INTERVAL)
    }
}

impl StallDetector {
    /// A detector whose timer starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            latest: Mutex::new(TimerRun {
                fired_at: now,
                delay: Duration::ZERO,
            }),
        }
    }

    /// The timer fired.
    pub fn timer_fired(&self, now: Instant) {
        let mut latest = self.latest.lock();
        *latest = TimerRun {
            fired_at: latest.fired_at.max(now),
            delay: latest.overdue(now),
        };
    }

    /// If the process has been paused until now, for how long. Each pause is returned
    /// once.
    pub fn take_stall(&self, now: Instant) -> Option<Duration> {
        let mut latest = self.latest.lock();
        let overdue = latest.overdue(now);
        (overdue > STALLED_AFTER).then(|| {
            *latest = TimerRun {
                fired_at: now,
                delay: Duration::ZERO,
            };
            overdue
        })
    }

    /// Whether the process has more to do than it can, by how late the timer fired or
    /// is now.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        let latest = self.latest.lock();
        latest.delay.max(latest.overdue(now)) > OVERLOADED_AFTER
    }
}
