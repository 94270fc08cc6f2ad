//! Limits of the state service: those that hold, and those that are announced.

use serde::Deserialize;

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct StateLimits {
    /// Requests a second, over all controllers.
    pub rps: f64,
    /// Puts and deletes a second, over all controllers.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that hold from some later moment on, without notice.
    pub next: NextStateLimits,
}

/// Limits of the state service that are announced; those that aren't stay.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct NextStateLimits {
    /// Requests a second, over all controllers.
    pub rps: Option<f64>,
    /// Puts and deletes a second, over all controllers.
    pub write_rps: Option<f64>,
    /// Largest value, in KiB.
    pub value_kb: Option<f64>,
    /// Most puts and deletes in a transaction.
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Largest value in bytes that is taken now and later.
    pub fn value_bytes(&self) -> usize {
        let kb = self
            .next
            .value_kb
            .map_or(self.value_kb, |kb| kb.min(self.value_kb));
        (kb * 1024.0) as usize
    }

    /// Most puts and deletes in a transaction that is taken now and later.
    pub fn min_txn_ops(&self) -> usize {
        let ops = self.next.txn_ops.unwrap_or(self.txn_ops);
        ops.min(self.txn_ops)
    }

    /// Requests a second that are taken now and later.
    pub fn min_rps(&self) -> f64 {
        self.next.rps.map_or(self.rps, |rps| rps.min(self.rps))
    }

    /// Changes a second that are taken now and later.
    pub fn min_write_rps(&self) -> f64 {
        let rps = self.next.write_rps.unwrap_or(self.write_rps);
        rps.min(self.write_rps)
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
