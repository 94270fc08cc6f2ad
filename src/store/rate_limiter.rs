//! A token bucket: a budget of requests or changes per second.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::time::sleep;

/// Shortest wait that [`RateLimiter::take_above_reserve`] asks for, so that a caller
/// who tries in a loop doesn't spin.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Units that rounding of sums may cost.
const ROUNDING: f64 = 1e-9;

/// A budget of units (requests, or puts and deletes) that refills at a rate, up to
/// the size of a burst.
#[derive(Debug)]
pub struct RateLimiter {
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Units per second.
    rate: f64,
    /// Most units at hand.
    burst: f64,
    /// Units at hand; below 0 if later ones are promised.
    units: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let earned = now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.units = (self.units + earned).min(self.burst);
        self.refilled_at = now;
    }

    /// How long until so many units are at hand.
    fn time_until(&self, units: f64) -> Duration {
        Duration::from_secs_f64(((units - self.units) / self.rate).max(0.0))
    }
}

impl RateLimiter {
    /// A full budget of `rate` units per second, in bursts of at most `burst` units
    /// (1 at least).
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            bucket: Mutex::new(Bucket {
                rate,
                burst,
                units: burst,
                refilled_at: Instant::now(),
            }),
        }
    }

    /// Units per second.
    pub fn rate(&self) -> f64 {
        self.bucket.lock().rate
    }

    /// Lowers the rate, with bursts of a second's worth. Returns false, and changes
    /// nothing, if the rate is as low already.
    pub fn lower_rate(&self, rate: f64, now: Instant) -> bool {
        let mut bucket = self.bucket.lock();
        if rate >= bucket.rate {
            return false;
        }
        bucket.refill(now);
        bucket.rate = rate;
        bucket.burst = rate.max(1.0);
        bucket.units = bucket.units.min(bucket.burst);
        true
    }

    /// Takes units, whether they are at hand or not; how long the caller has to wait
    /// before it uses them.
    pub fn take(&self, units: f64, now: Instant) -> Duration {
        let mut bucket = self.bucket.lock();
        bucket.refill(now);
        bucket.units -= units;
        bucket.time_until(0.0)
    }

    /// Takes units if they are at hand and `reserve`, a share of the burst (0 to 1),
    /// is left beside them; the wait is zero then. Otherwise takes none; how long the
    /// caller has to wait before it tries again.
    pub fn take_above_reserve(&self, units: f64, reserve: f64, now: Instant) -> Duration {
        let mut bucket = self.bucket.lock();
        bucket.refill(now);
        // What is larger than the burst without the reserve goes when the budget is full.
        let needed = (units + reserve * bucket.burst).min(bucket.burst);
        if bucket.units + ROUNDING >= needed {
            bucket.units -= units;
            return Duration::ZERO;
        }
        bucket.time_until(needed).max(MIN_WAIT)
    }

    /// Takes units and waits until they are at hand, if that is within `max_wait`;
    /// otherwise takes none and returns false at once.
    pub(super) async fn acquire_within(&self, units: f64, max_wait: Duration) -> bool {
        let wait = {
            let mut bucket = self.bucket.lock();
            bucket.refill(Instant::now());
            let wait = bucket.time_until(units);
            if wait > max_wait {
                return false;
            }
            bucket.units -= units;
            wait
        };
        sleep(wait).await;
        true
    }

    /// Takes units and waits until they are at hand, in the order of the calls.
    pub async fn acquire(&self, units: f64) {
        let wait = self.take(units, Instant::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    /// Waits until units are at hand beside the reserve, and takes them; see
    /// [`RateLimiter::take_above_reserve`].
    pub(super) async fn acquire_above_reserve(&self, units: f64, reserve: f64) {
        loop {
            let wait = self.take_above_reserve(units, reserve, Instant::now());
            if wait.is_zero() {
                return;
            }
            sleep(wait).await;
        }
    }
}
