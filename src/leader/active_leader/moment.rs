//! Converts stored times of day to instants of this process's steady clock.

use std::time::{Duration, Instant};

use crate::clock::unix_time_ms;

/// One moment as both clocks show it: the steady clock and the time of day.
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

    /// The instant of a stored time of day, given in milliseconds since the Unix epoch.
    /// A time after this moment yields this moment; one before the steady clock
    /// began yields `None`.
    pub(super) fn instant_of(self, stored_unix_time_ms: u64) -> Option<Instant> {
        let age = Duration::from_millis(self.unix_time_ms.saturating_sub(stored_unix_time_ms));
        self.steady.checked_sub(age)
    }
}
