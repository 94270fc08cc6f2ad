//! Faults of the state service that tests inject.

use std::time::{Duration, Instant};

use bitternfold::wire::{Change, Transaction};
use serde_json::Value;

use super::{LateWrites, StateService};

impl StateService {
    /// Begins or ends an outage, in which every request gets the status 503, except watches,
    /// which wait for its end. Renews all leases either way.
    pub fn set_outage(&self, is_down: bool) {
        let mut data = self.0.lock();
        data.is_down = is_down;
        let now = Instant::now();
        data.leases.values_mut().for_each(|lease| lease.1 = now + lease.0);
    }

    /// Makes every request take this long from now on.
    pub fn set_latency(&self, latency: Duration) {
        self.0.lock().latency = latency;
    }

    /// From now on, transactions with a larger value or more changes get the status 400.
    pub fn limit_sizes(&self, max_value_bytes: usize, max_changes: usize) {
        self.0.lock().size_limits = Some((max_value_bytes, max_changes));
    }

    /// Makes this many of the next transactions get the status 429.
    pub fn rate_limit_next(&self, transactions: u32) {
        self.0.lock().rate_limit_next = transactions;
    }

    /// Refuses the requests of one controller from now on, or serves them again. Other
    /// controllers are served all the time.
    pub fn set_controller_refused(&self, controller: usize, is_refused: bool) {
        let mut data = self.0.lock();
        if is_refused {
            data.refused_controllers.insert(controller);
        } else {
            data.refused_controllers.remove(&controller);
        }
    }

    /// Writes a key on behalf of no controller. Watches don't report the change.
    pub fn put_directly(&self, key: &str, value: Value) {
        let mut data = self.0.lock();
        data.revision += 1;
        let revision = data.revision;
        data.keys.insert(key.to_owned(), (value, revision, None));
    }

    /// Writes a key on behalf of no controller. Watches report the change.
    pub fn put(&self, key: &str, value: Value) {
        self.change(Change::Put {
            put: key.to_owned(),
            value,
            lease: None,
        });
    }

    /// Deletes a key on behalf of no controller. Watches report the change.
    pub fn delete(&self, key: &str) {
        self.change(Change::Delete {
            delete: key.to_owned(),
        });
    }

    fn change(&self, change: Change) {
        let transaction = Transaction {
            conditions: Vec::new(),
            changes: vec![change],
        };
        let (status, body) = self.apply_transaction(&transaction);
        assert_eq!(status, 200, "{body}");
    }

    /// Ends every lease, which deposes the leader.
    pub fn end_leases(&self) {
        let ids: Vec<u64> = self.0.lock().leases.keys().copied().collect();
        for id in ids {
            self.end_lease(id);
        }
    }

    /// Makes some transactions late from now on; `None`: no further ones.
    pub fn set_late_writes(&self, late_writes: Option<LateWrites>) {
        self.0.lock().late_writes = late_writes;
    }

    /// Delivers all applied transactions once more. Returns how many are applied again.
    pub fn replay_transactions(&self) -> usize {
        let applied = self.0.lock().applied.clone();
        applied
            .iter()
            .filter(|transaction| self.apply_transaction(transaction).0 == 200)
            .count()
    }
}
