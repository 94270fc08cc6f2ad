//! The requests of the state service's protocol and their responses.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::wire::*;
use serde_json::{json, Value};
use tokio::time::sleep;

use super::super::JsonResponse;
use super::data::{Data, LateWrites};
use super::StateService;

impl StateService {
    /// Answers a request by `respond` after ending the expired leases, or with 503 during an
    /// outage.
    pub(super) fn respond<T>(&self, respond: impl FnOnce(&mut Data) -> (u16, T)) -> JsonResponse
    where
        Value: From<T>,
    {
        let mut data = self.0.lock();
        if data.is_down {
            return (503, json!({"error": "trouble"}));
        }
        let now = Instant::now();
        let expired: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, lease)| lease.1 < now)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|id| data.end_lease(id));
        let (status, body) = respond(&mut data);
        (status, body.into())
    }

    pub(super) fn get(&self, key: &str) -> JsonResponse {
        self.0.lock().key_reads += 1;
        self.respond(|data| match data.keys.get(key) {
            Some((value, revision, _)) => (200, json!({"path": key, "v": value, "stamp": revision})),
            None => (404, json!({"ledger": data.revision})),
        })
    }

    /// Counts a request that lists or watches keys.
    fn count_range_read(&self, query: &HashMap<String, String>) {
        let mut data = self.0.lock();
        *data.range_reads.entry(query["starts"].clone()).or_default() += 1;
    }

    pub(super) fn list(&self, query: &HashMap<String, String>) -> JsonResponse {
        self.count_range_read(query);
        self.respond(|data| {
            let (prefix, after) = (&query["starts"], query.get("since").cloned().unwrap_or_default());
            let limit: usize = query["limit"].parse().expect("a number");
            let all: Vec<_> = data
                .keys
                .iter()
                .filter(|(key, _)| key.starts_with(prefix.as_str()) && **key > after)
                .map(|(key, (value, revision, _))| json!({"path": key, "v": value, "stamp": revision}))
                .collect();
            let has_next = all.len() > limit;
            let pairs: Vec<_> = all.into_iter().take(limit).collect();
            (
                200,
                json!({"pairs": pairs, "has_next": has_next, "ledger": data.revision}),
            )
        })
    }

    /// Applies a transaction, unless it is refused for its rate or size, one of its conditions
    /// doesn't hold or a lease that it uses doesn't exist.
    pub(super) fn apply_transaction(&self, transaction: &Transaction) -> JsonResponse {
        self.respond(|data| {
            if data.rate_limit_next > 0 {
                data.rate_limit_next -= 1;
                return (429, json!({"error": "too many changes"}));
            }
            if let Some((max_bytes, max_changes)) = data.size_limits {
                let is_too_large = |change: &Change| match change {
                    Change::Put { value, .. } => value.to_string().len() > max_bytes,
                    Change::Delete { .. } => false,
                };
                if transaction.changes.len() > max_changes || transaction.changes.iter().any(is_too_large) {
                    data.oversized_transactions += 1;
                    return (400, json!({"error": "too large"}));
                }
            }
            let failed: Vec<_> = transaction
                .conditions
                .iter()
                .filter(|condition| {
                    data.keys.get(&condition.key).map_or(0, |stored| stored.1) != condition.version
                })
                .map(|condition| condition.key.clone())
                .collect();
            if !failed.is_empty() {
                return (409, json!({"failed": failed, "ledger": data.revision}));
            }
            for change in &transaction.changes {
                if let Change::Put {
                    lease: Some(lease), ..
                } = change
                {
                    if !data.leases.contains_key(lease) {
                        return (400, json!({"error": "no such lease"}));
                    }
                }
            }
            data.revision += 1;
            let revision = data.revision;
            for change in &transaction.changes {
                match change {
                    Change::Put { put, value, lease } => {
                        data.keys.insert(put.clone(), (value.clone(), revision, *lease));
                        data.changes.push((revision, put.clone(), Some(value.clone())));
                    }
                    Change::Delete { delete } => {
                        data.keys.remove(delete);
                        data.changes.push((revision, delete.clone(), None));
                    }
                }
            }
            data.applied.push(transaction.clone());
            (200, json!({"ledger": revision}))
        })
    }

    /// Applies a transaction at once, or if `late_writes` selects it, after the delay. The
    /// sender of a late one gets its response, a 500, only after 30 s.
    pub(super) async fn apply_or_delay(self: &Arc<Self>, transaction: &Transaction) -> JsonResponse {
        let late = {
            let mut data = self.0.lock();
            data.arrived += u64::from(data.late_writes.is_some());
            let arrived = data.arrived;
            data.late_writes.filter(|late| arrived.is_multiple_of(late.every))
        };
        let Some(LateWrites { delay, .. }) = late else {
            return self.apply_transaction(transaction);
        };
        let (state, transaction) = (self.clone(), transaction.clone());
        // In a task of its own, so that it is carried out even if the sender gives up waiting.
        tokio::spawn(async move {
            sleep(delay).await;
            let status = state.apply_transaction(&transaction).0;
            let mut data = state.0.lock();
            data.late_outcomes.failed += u32::from(status != 200);
            data.late_outcomes.applied += u32::from(status == 200);
        });
        sleep(Duration::from_secs(30)).await;
        (500, json!({}))
    }

    pub(super) fn grant_lease(&self, duration_ms: u64) -> JsonResponse {
        self.respond(|data| {
            data.last_lease += 1;
            let duration = Duration::from_millis(duration_ms);
            data.leases
                .insert(data.last_lease, (duration, Instant::now() + duration));
            (200, json!({"tenancy": data.last_lease}))
        })
    }

    pub(super) fn renew_lease(&self, id: u64) -> JsonResponse {
        self.respond(|data| match data.leases.get_mut(&id) {
            Some(lease) => {
                lease.1 = Instant::now() + lease.0;
                (200, json!({}))
            }
            None => (404, json!({})),
        })
    }

    pub(super) fn end_lease(&self, id: u64) -> JsonResponse {
        self.respond(|data| {
            data.end_lease(id);
            (200, json!({}))
        })
    }

    /// Returns the changes after the revision `since`; waits up to `hold_ms` for the first one,
    /// and in an outage until its end.
    pub(super) async fn watch(&self, query: &HashMap<String, String>) -> JsonResponse {
        self.count_range_read(query);
        let since: u64 = query["since"].parse().expect("a number");
        let deadline = Instant::now() + Duration::from_millis(query["hold_ms"].parse().expect("a number"));
        loop {
            let (status, body) = self.respond(|data| {
                let changes: Vec<_> = data
                    .changes
                    .iter()
                    .filter(|(revision, key, _)| *revision > since && key.starts_with(&query["starts"]))
                    .map(|(revision, key, value)| match value {
                        Some(value) => json!({"put": key, "v": value, "stamp": revision}),
                        None => json!({"drop": key, "stamp": revision}),
                    })
                    .collect();
                (200, json!({"ledger": data.revision, "log": changes}))
            });
            let is_empty = body["log"].as_array().is_none_or(Vec::is_empty);
            if status == 200 && (!is_empty || Instant::now() > deadline) {
                return (status, body);
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}
