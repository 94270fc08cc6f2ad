//! The requests of the protocol and their responses.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::wire::*;
use serde_json::{json, Value};
use tokio::time::sleep;

use super::super::Json;
use super::data::{Data, LateWrites};
use super::State;

impl State {
    pub(super) fn with<T>(&self, f: impl FnOnce(&mut Data) -> (u16, T)) -> Json
    where
        Value: From<T>,
    {
        let mut d = self.0.lock();
        if d.down {
            return (503, json!({"error": "trouble"}));
        }
        let now = Instant::now();
        let expired: Vec<u64> = d
            .leases
            .iter()
            .filter(|(_, h)| h.1 < now)
            .map(|(i, _)| *i)
            .collect();
        expired.into_iter().for_each(|id| d.end_lease(id));
        let (status, body) = f(&mut d);
        (status, body.into())
    }

    pub(super) fn get(&self, key: &str) -> Json {
        self.0.lock().reads += 1;
        self.with(|d| match d.keys.get(key) {
            Some((v, stamp, _)) => (200, json!({"path": key, "v": v, "stamp": stamp})),
            None => (404, json!({"ledger": d.revision})),
        })
    }

    pub(super) fn list(&self, q: &HashMap<String, String>) -> Json {
        self.with(|d| {
            let (starts, since) = (&q["starts"], q.get("since").cloned().unwrap_or_default());
            let limit: usize = q["limit"].parse().expect("a number");
            let all: Vec<_> = d
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(starts.as_str()) && **k > since)
                .map(|(k, (v, s, _))| json!({"path": k, "v": v, "stamp": s}))
                .collect();
            let more = all.len() > limit;
            let pairs: Vec<_> = all.into_iter().take(limit).collect();
            (
                200,
                json!({"pairs": pairs, "has_next": more, "ledger": d.revision}),
            )
        })
    }

    pub(super) fn multi(&self, t: &Transaction) -> Json {
        self.with(|d| {
            if d.refuse_for_rate > 0 {
                d.refuse_for_rate -= 1;
                return (429, json!({"error": "too many changes"}));
            }
            if let Some((bytes, ops)) = d.size_limits {
                let large = |c: &Change| match c {
                    Change::Put { value, .. } => value.to_string().len() > bytes,
                    Change::Delete { .. } => false,
                };
                if t.changes.len() > ops || t.changes.iter().any(large) {
                    d.too_large += 1;
                    return (400, json!({"error": "too large"}));
                }
            }
            let failed: Vec<_> = t
                .conditions
                .iter()
                .filter(|g| d.keys.get(&g.key).map_or(0, |k| k.1) != g.version)
                .map(|g| g.key.clone())
                .collect();
            if !failed.is_empty() {
                return (409, json!({"failed": failed, "ledger": d.revision}));
            }
            for c in &t.changes {
                if let Change::Put { lease: Some(l), .. } = c {
                    if !d.leases.contains_key(l) {
                        return (400, json!({"error": "no such lease"}));
                    }
                }
            }
            d.revision += 1;
            let rev = d.revision;
            for c in &t.changes {
                match c {
                    Change::Put { put, value, lease } => {
                        d.keys.insert(put.clone(), (value.clone(), rev, *lease));
                        d.log.push((rev, put.clone(), Some(value.clone())));
                    }
                    Change::Delete { delete } => {
                        d.keys.remove(delete);
                        d.log.push((rev, delete.clone(), None));
                    }
                }
            }
            d.carried_out.push(t.clone());
            (200, json!({"ledger": rev}))
        })
    }

    pub(super) async fn multi_or_late(self: &Arc<Self>, t: &Transaction) -> Json {
        let late = {
            let mut d = self.0.lock();
            d.arrived += u64::from(d.late.is_some());
            let arrived = d.arrived;
            d.late.filter(|late| arrived.is_multiple_of(late.every))
        };
        let Some(LateWrites { delay, .. }) = late else {
            return self.multi(t);
        };
        let (s, t) = (self.clone(), t.clone());
        // Carried out whether its sender still waits or not.
        tokio::spawn(async move {
            sleep(delay).await;
            let status = s.multi(&t).0;
            let mut d = s.0.lock();
            d.late_outcomes.failed += u32::from(status != 200);
            d.late_outcomes.applied += u32::from(status == 200);
        });
        sleep(Duration::from_secs(30)).await;
        (500, json!({}))
    }

    pub(super) fn grant_lease(&self, ms: u64) -> Json {
        self.with(|d| {
            d.next_lease += 1;
            let life = Duration::from_millis(ms);
            d.leases.insert(d.next_lease, (life, Instant::now() + life));
            (200, json!({"tenancy": d.next_lease}))
        })
    }

    pub(super) fn renew_lease(&self, id: u64) -> Json {
        self.with(|d| match d.leases.get_mut(&id) {
            Some(h) => {
                h.1 = Instant::now() + h.0;
                (200, json!({}))
            }
            None => (404, json!({})),
        })
    }

    pub(super) fn end_lease(&self, id: u64) -> Json {
        self.with(|d| {
            d.end_lease(id);
            (200, json!({}))
        })
    }

    pub(super) async fn watch(&self, q: &HashMap<String, String>) -> Json {
        let since: u64 = q["since"].parse().expect("a number");
        let until = Instant::now() + Duration::from_millis(q["hold_ms"].parse().expect("a number"));
        loop {
            let (status, body) = self.with(|d| {
                let log: Vec<_> = d
                    .log
                    .iter()
                    .filter(|(r, k, _)| *r > since && k.starts_with(&q["starts"]))
                    .map(|(r, k, v)| match v {
                        Some(v) => json!({"put": k, "v": v, "stamp": r}),
                        None => json!({"drop": k, "stamp": r}),
                    })
                    .collect();
                (200, json!({"ledger": d.revision, "log": log}))
            });
            let empty = body["log"].as_array().is_none_or(Vec::is_empty);
            if status == 200 && (!empty || Instant::now() > until) {
                return (status, body);
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}
