//! A budget of requests or changes a second.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// A budget of so many units a second, with bursts of a second's worth.
#[derive(Debug)]
pub struct RateLimiter {
    state: Mutex<PaceState>,
}

#[derive(Debug)]
struct PaceState {
    rate: f64,
    burst: f64,
    /// Units at hand; below 0: owed.
    units: f64,
    refilled: Instant,
}

impl PaceState {
    fn refill(&mut self, now: Instant) {
        let earned = now.saturating_duration_since(self.refilled).as_secs_f64() * self.rate;
        self.units = (self.units + earned).min(self.burst);
        self.refilled = now;
    }

    /// How long until so many units are at hand.
    fn time_until(&self, units: f64) -> Duration {
        Duration::from_secs_f64(((units - self.units) / self.rate).max(0.0))
    }
}

impl RateLimiter {
    /// A full budget.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            state: Mutex::new(PaceState {
                rate,
                burst,
                units: burst,
                refilled: Instant::now(),
            }),
        }
    }

    /// Units a second.
    pub fn rate(&self) -> f64 {
        self.state.lock().rate
    }

    /// Slows down to a rate, if it is lower, with bursts of a second's worth.
    /// Whether it was.
    pub fn lower_rate(&self, rate: f64, now: Instant) -> bool {
        let mut s = self.state.lock();
        if rate >= s.rate {
            return false;
        }
        s.refill(now);
        s.rate = rate;
        s.burst = rate.max(1.0);
        s.units = s.units.min(s.burst);
        true
    }

    /// Takes units, and tells how long to wait before going on.
    pub fn take(&self, units: f64, now: Instant) -> Duration {
        let mut s = self.state.lock();
        s.refill(now);
        s.units -= units;
        s.time_until(0.0)
    }

    /// Takes units if as many are there and a part of the burst is left for
    /// what is urgent; else how long to wait before trying again.
    pub fn take_above_reserve(&self, units: f64, reserve: f64, now: Instant) -> Duration {
        let mut s = self.state.lock();
        s.refill(now);
        // What is larger than the rest of the burst goes when the budget is full.
        let need = (units + reserve * s.burst).min(s.burst);
        if s.units + 1e-9 >= need {
            s.units -= units;
            return Duration::ZERO;
        }
        s.time_until(need).max(Duration::from_millis(1))
    }

    /// Takes units once they are due, if that is soon; else takes none.
    pub(super) async fn acquire_within(&self, units: f64, soon: Duration) -> bool {
        let wait = {
            let mut s = self.state.lock();
            s.refill(Instant::now());
            let wait = s.time_until(units);
            if wait > soon {
                return false;
            }
            s.units -= units;
            wait
        };
        tokio::time::sleep(wait).await;
        true
    }

    /// Takes units once they are due.
    pub async fn acquire(&self, units: f64) {
        let wait = self.take(units, Instant::now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Takes units once they are there beside the reserve.
    pub(super) async fn acquire_above_reserve(&self, units: f64, reserve: f64) {
        loop {
            let wait = self.take_above_reserve(units, reserve, Instant::now());
            if wait.is_zero() {
                return;
            }
            tokio::time::sleep(wait).await;
        }
    }
}
