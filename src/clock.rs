//! Readings of this process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::core::evidence::authority::ClockReading;

/// The time of day in milliseconds since the Unix epoch; 0 if the clock is set before it.
/// It may jump: durations within this process are measured with [`Instant`].
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Reads the steady clock and the time of day, in this order.
pub fn read_clocks() -> ClockReading {
    ClockReading {
        steady: Instant::now(),
        time_of_day: SystemTime::now(),
    }
}
