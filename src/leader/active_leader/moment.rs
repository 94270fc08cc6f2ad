//! The relation between the steady clock and the time of day, by which stored
//! times become times of this process.

use std::time::{Duration, Instant};

use crate::clock::unix_time_ms;

/// One moment by both clocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Moment {
    /// The moment on the steady clock.
    pub(super) steady: Instant,
    unix_time_ms: u64,
}

impl Moment {
    pub(super) fn now() -> Self {
        Self {
            steady: Instant::now(),
            unix_time_ms: unix_time_ms(),
        }
    }

    /// The instant of a stored time of day, in milliseconds since the Unix epoch.
    /// Times after this moment count as this moment; `None`: before the steady
    /// clock began.
    pub(super) fn instant_of(self, stored_unix_time_ms: u64) -> Option<Instant> {
        let age = Duration::from_millis(self.unix_time_ms.saturating_sub(stored_unix_time_ms));
        self.steady.checked_sub(age)
    }
}
