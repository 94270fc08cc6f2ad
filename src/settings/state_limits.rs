//! Limits of the state service: those that hold now, and those that are announced.

use serde::Deserialize;

const BYTES_PER_KIB: f64 = 1024.0;

/// Limits of the state service that hold now, and those that are announced to hold
/// later.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that hold from some later moment on, which is not notified.
    pub next: NextStateLimits,
}

/// Announced limits of the state service; a limit that is absent stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct NextStateLimits {
    /// Requests per second, of all controllers together.
    pub rps: Option<f64>,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: Option<f64>,
    /// Largest value, in KiB.
    pub value_kb: Option<f64>,
    /// Most puts and deletes in a transaction.
    pub txn_ops: Option<usize>,
}

/// The lower of a limit and the one announced for it.
fn lower<T: Copy>(limit: T, next: Option<T>, min: impl FnOnce(T, T) -> T) -> T {
    next.map_or(limit, |next| min(next, limit))
}

impl StateLimits {
    /// Largest value, in bytes, that is taken now and later.
    pub fn max_value_bytes(&self) -> usize {
        let kib = lower(self.value_kb, self.next.value_kb, f64::min);
        (kib * BYTES_PER_KIB) as usize
    }

    /// Most puts and deletes in a transaction that is taken now and later.
    pub fn max_transaction_changes(&self) -> usize {
        lower(self.txn_ops, self.next.txn_ops, usize::min)
    }

    /// Requests per second that are taken now and later.
    pub fn max_requests_per_s(&self) -> f64 {
        lower(self.rps, self.next.rps, f64::min)
    }

    /// Puts and deletes per second that are taken now and later.
    pub fn max_changes_per_s(&self) -> f64 {
        lower(self.write_rps, self.next.write_rps, f64::min)
    }
}

impl Default for StateLimits {
    fn default() -> Self {
        Self {
            rps: 100.0,
            write_rps: 20.0,
            value_kb: 4.0,
            txn_ops: 8,
            next: NextStateLimits::default(),
        }
    }
}
