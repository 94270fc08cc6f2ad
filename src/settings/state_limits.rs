//! Limits of the state service: the current ones and the announced ones.

use serde::Deserialize;

const BYTES_PER_KIB: f64 = 1024.0;

/// Current limits of the state service, and those that are announced for later.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: f64,
    /// Largest value of a key, in KiB.
    pub value_kb: f64,
    /// Most puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Announced limits. When they begin to hold is not notified, so every limit in use is
    /// the stricter one of both.
    pub next: NextStateLimits,
}

/// Announced limits of the state service; a limit that is absent doesn't change.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct NextStateLimits {
    /// Requests per second, of all controllers together.
    pub rps: Option<f64>,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: Option<f64>,
    /// Largest value of a key, in KiB.
    pub value_kb: Option<f64>,
    /// Most puts and deletes in a transaction.
    pub txn_ops: Option<usize>,
}

/// The lower one of a current limit and the one announced for it, if there is one.
fn stricter_limit<T: Copy>(limit: T, next: Option<T>, min: impl FnOnce(T, T) -> T) -> T {
    next.map_or(limit, |next| min(next, limit))
}

impl StateLimits {
    /// Largest value, in bytes, that is accepted by the current and the announced limit.
    pub fn max_value_bytes(&self) -> usize {
        let kib = stricter_limit(self.value_kb, self.next.value_kb, f64::min);
        (kib * BYTES_PER_KIB) as usize
    }

    /// Most puts and deletes in a transaction by the current and the announced limit.
    pub fn max_transaction_changes(&self) -> usize {
        stricter_limit(self.txn_ops, self.next.txn_ops, usize::min)
    }

    /// Most requests per second by the current and the announced limit.
    pub fn max_requests_per_s(&self) -> f64 {
        stricter_limit(self.rps, self.next.rps, f64::min)
    }

    /// Most puts and deletes per second by the current and the announced limit.
    pub fn max_changes_per_s(&self) -> f64 {
        stricter_limit(self.write_rps, self.next.write_rps, f64::min)
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
