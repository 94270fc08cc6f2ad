//! Detection of stalls and overload of this process.
//!
//! A process stalls if it is paused for seconds while its clocks run on, and is overloaded
//! if it gets less processor time than it needs. In both cases its own timer fires late.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Interval at which the timer is set to fire.
pub const TIMER_INTERVAL: Duration = Duration::from_millis(100);
/// A timer delay above this counts as a stall: the process was paused.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// A timer delay above this counts as overload. Polls are then refused at once, before
/// they cost much. Overload never rejects submissions, cancellations or heartbeats: a
/// submission that can't be stored in time is rejected by the length of the writer's
/// queue. A second, higher level of overload would hardly ever be reached, because
/// `STALL_THRESHOLD` is so close.
const OVERLOAD_THRESHOLD: Duration = Duration::from_millis(400);

/// Detects stalls and overload from the delays of a timer. The task that runs the timer
/// calls [`timer_fired`](Self::timer_fired) each time that it fires.
#[derive(Debug)]
pub struct StallDetector {
    latest: Mutex<TimerFiring>,
}

/// The latest firing of the timer.
#[derive(Debug, Clone, Copy)]
struct TimerFiring {
    fired_at: Instant,
    /// How much later than scheduled it fired.
    delay: Duration,
}

impl TimerFiring {
    /// How long the next firing is overdue at `now`; 0 if it is not due yet.
    fn overdue(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.fired_at + TIMER_INTERVAL)
    }
}

impl StallDetector {
    /// Creates a detector whose timer is started at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            latest: Mutex::new(TimerFiring {
                fired_at: now,
                delay: Duration::ZERO,
            }),
        }
    }

    /// Records that the timer fired at `now`, and how late it was.
    pub fn timer_fired(&self, now: Instant) {
        let mut latest = self.latest.lock();
        *latest = TimerFiring {
            fired_at: latest.fired_at.max(now),
            delay: latest.overdue(now),
        };
    }

    /// Returns how long the process was paused, if the timer is overdue by more than
    /// `STALL_THRESHOLD`. Each stall is returned only once.
    pub fn take_stall(&self, now: Instant) -> Option<Duration> {
        let mut latest = self.latest.lock();
        let overdue = latest.overdue(now);
        (overdue > STALL_THRESHOLD).then(|| {
            *latest = TimerFiring {
                fired_at: now,
                delay: Duration::ZERO,
            };
            overdue
        })
    }

    /// Whether the process gets less processor time than it needs: the timer fired late
    /// the last time, or is overdue now, by more than `OVERLOAD_THRESHOLD`.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        let latest = self.latest.lock();
        latest.delay.max(latest.overdue(now)) > OVERLOAD_THRESHOLD
    }
}
