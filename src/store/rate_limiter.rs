//! Rate limiter: a token bucket that limits requests or changes per second.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::time::sleep;

/// Shortest non-zero wait that [`RateLimiter::take_above_reserve`] returns, so that a
/// caller that retries in a loop doesn't spin.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Tokens that may be missing due to floating-point rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket that refills at a constant rate, up to the size of a burst. A token
/// stands for one request, or for one put or delete.
#[derive(Debug)]
pub struct RateLimiter {
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Tokens that the bucket earns per second.
    rate: f64,
    /// Most tokens that are available at once.
    burst: f64,
    /// Tokens available; negative if tokens were taken in advance.
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let earned = now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.refilled_at = now;
    }

    /// Time until this many tokens are available.
    fn time_until(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(((tokens - self.tokens) / self.rate).max(0.0))
    }
}

impl RateLimiter {
    /// Creates a full bucket that refills at `rate` tokens per second, up to `burst`
    /// tokens (at least 1).
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            bucket: Mutex::new(Bucket {
                rate,
                burst,
                tokens: burst,
                refilled_at: Instant::now(),
            }),
        }
    }

    /// The rate, in tokens per second.
    pub fn rate(&self) -> f64 {
        self.bucket.lock().rate
    }

    /// Lowers the rate, and sets the burst to the tokens of one second (at least 1).
    /// Returns false and changes nothing if the rate is already as low.
    pub fn lower_rate(&self, rate: f64, now: Instant) -> bool {
        let mut bucket = self.bucket.lock();
        if rate >= bucket.rate {
            return false;
        }
        bucket.refill(now);
        bucket.rate = rate;
        bucket.burst = rate.max(1.0);
        bucket.tokens = bucket.tokens.min(bucket.burst);
        true
    }

    /// Takes tokens even if they are not available yet. Returns how long the caller has
    /// to wait before it uses them.
    pub fn take(&self, tokens: f64, now: Instant) -> Duration {
        let mut bucket = self.bucket.lock();
        bucket.refill(now);
        bucket.tokens -= tokens;
        bucket.time_until(0.0)
    }

    /// Takes tokens if `reserve`, a share of the burst (0 to 1), remains after that, and
    /// returns zero. Otherwise takes none, and returns how long the caller has to wait
    /// before it asks again.
    pub fn take_above_reserve(&self, tokens: f64, reserve: f64, now: Instant) -> Duration {
        let mut bucket = self.bucket.lock();
        bucket.refill(now);
        // More tokens than the burst less the reserve are granted once the bucket is full.
        let needed = (tokens + reserve * bucket.burst).min(bucket.burst);
        if bucket.tokens + ROUNDING_TOLERANCE >= needed {
            bucket.tokens -= tokens;
            return Duration::ZERO;
        }
        bucket.time_until(needed).max(MIN_WAIT)
    }

    /// Takes tokens and waits until they are available, if that takes at most `max_wait`;
    /// otherwise takes none and returns false at once.
    pub(super) async fn acquire_within(&self, tokens: f64, max_wait: Duration) -> bool {
        let wait = {
            let mut bucket = self.bucket.lock();
            bucket.refill(Instant::now());
            let wait = bucket.time_until(tokens);
            if wait > max_wait {
                return false;
            }
            bucket.tokens -= tokens;
            wait
        };
        sleep(wait).await;
        true
    }

    /// Takes tokens and waits until they are available. Callers are served in the order
    /// of their calls.
    pub async fn acquire(&self, tokens: f64) {
        let wait = self.take(tokens, Instant::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    /// Waits until tokens can be taken with the reserve left, and takes them; see
    /// [`RateLimiter::take_above_reserve`].
    pub(super) async fn acquire_above_reserve(&self, tokens: f64, reserve: f64) {
        loop {
            let wait = self.take_above_reserve(tokens, reserve, Instant::now());
            if wait.is_zero() {
                return;
            }
            sleep(wait).await;
        }
    }
}
