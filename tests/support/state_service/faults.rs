//! The faults of the state service that tests inject.

use std::time::Instant;

use serde_json::Value;

use super::{LateWrites, State};

impl State {
    /// Makes it refuse everything, or serve again with all leases renewed.
    pub fn outage(&self, down: bool) {
        let mut d = self.0.lock();
        d.down = down;
        let now = Instant::now();
        d.leases.values_mut().for_each(|h| h.1 = now + h.0);
    }

    /// From now on larger values and transactions get 400.
    pub fn limit_sizes(&self, value_bytes: usize, txn_ops: usize) {
        self.0.lock().size_limits = Some((value_bytes, txn_ops));
    }

    /// Refuses so many of the next transactions for their rate.
    pub fn refuse_for_rate(&self, transactions: u32) {
        self.0.lock().refuse_for_rate = transactions;
    }

    /// Refuses one controller while others are served, or serves it again.
    pub fn refuse(&self, who: usize, refused: bool) {
        let mut d = self.0.lock();
        if refused {
            d.refused.insert(who);
        } else {
            d.refused.remove(&who);
        }
    }

    /// Writes a key that no controller has written.
    pub fn plant(&self, key: &str, value: Value) {
        let mut d = self.0.lock();
        d.revision += 1;
        let revision = d.revision;
        d.keys.insert(key.to_owned(), (value, revision, None));
    }

    /// Ends every lease: whoever leads is deposed.
    pub fn end_leases(&self) {
        let ids: Vec<u64> = self.0.lock().leases.keys().copied().collect();
        for id in ids {
            self.end_lease(id);
        }
    }

    /// From now on some transactions are carried out late and get no response.
    pub fn late_writes(&self, late: Option<LateWrites>) {
        self.0.lock().late = late;
    }

    /// Late copies of all transactions that were carried out arrive; how many
    /// are carried out once more.
    pub fn repeat_all(&self) -> usize {
        let all = self.0.lock().carried_out.clone();
        all.iter().filter(|t| self.multi(t).0 == 200).count()
    }
}
