//! Reads the two clocks of this process: the steady clock (monotonic, for durations) and
//! the wall clock (for the time of day).

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::core::evidence::authority::ClockReading;

/// The time of day in milliseconds since the Unix epoch; 0 if the wall clock is set
/// before the epoch. The wall clock may jump, so measure durations within this process
/// with [`Instant`].
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Reads the steady clock first, then the wall clock.
pub fn read_clocks() -> ClockReading {
    ClockReading {
        steady: Instant::now(),
        time_of_day: SystemTime::now(),
    }
}
