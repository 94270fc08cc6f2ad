//! A state service in memory, with the troubles that tests ask for.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::wire::*;
use parking_lot::Mutex;
use serde_json::{json, Value};
use tokio::time::sleep;
use warp::Filter;

use super::{answer, serve, Json};

#[derive(Default)]
struct Data {
    revision: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    holds: HashMap<u64, (Duration, Instant)>,
    log: Vec<(u64, String, Option<Value>)>,
    next_hold: u64,
    down: bool,
    /// Single keys that were read, and transactions that were carried out.
    reads: u64,
    carried_out: Vec<Transaction>,
    /// Each so-manyth transaction gets no answer and is carried out so late.
    late: Option<(u64, Duration)>,
    /// Transactions that came while `late` was set, and those that were late and
    /// then failed by their conditions, or applied after all.
    came: u64,
    late_outcomes: (u32, u32),
    /// Limits on a value's bytes and a transaction's changes, if it has any, and
    /// how many transactions were refused for them.
    size_limits: Option<(usize, usize)>,
    too_large: u32,
    /// Refuses so many of the next transactions for their rate.
    refuse_for_rate: u32,
    /// Controllers that alone are refused.
    refused: std::collections::BTreeSet<usize>,
}

/// A state service in memory.
#[derive(Default)]
pub struct State(Mutex<Data>);

impl State {
    /// Starts it for one controller; the address that this one is given.
    pub async fn start(self: &Arc<Self>, who: usize) -> SocketAddr {
        let s = self.clone();
        let gate = warp::any()
            .and_then(move || {
                let refused = s.0.lock().refused.contains(&who);
                async move {
                    if refused {
                        Err(warp::reject::reject())
                    } else {
                        Ok(())
                    }
                }
            })
            .untuple_one();
        let s = self.clone();
        let with = warp::any().map(move || s.clone());
        let query = warp::query::<HashMap<String, String>>();
        let list = warp::get()
            .and(warp::path!("kv"))
            .and(query)
            .and(with.clone())
            .map(|q: HashMap<String, String>, s: Arc<State>| answer(s.list(&q)));
        let get = warp::get()
            .and(warp::path("kv"))
            .and(warp::path::tail())
            .and(with.clone())
            .map(|t: warp::path::Tail, s: Arc<State>| answer(s.get(t.as_str())));
        let multi = warp::post()
            .and(warp::path!("multi"))
            .and(warp::body::json())
            .and(with.clone())
            .then(|t: Transaction, s: Arc<State>| async move { answer(s.multi_or_late(&t).await) });
        let hold = warp::post()
            .and(warp::path!("holds"))
            .and(warp::body::json())
            .and(with.clone())
            .map(|b: Value, s: Arc<State>| answer(s.hold(b["life_ms"].as_u64().unwrap_or(0))));
        let touch = warp::post()
            .and(warp::path!("holds" / u64 / "touch"))
            .and(with.clone())
            .map(|id, s: Arc<State>| answer(s.touch(id)));
        let end = warp::delete()
            .and(warp::path!("holds" / u64))
            .and(with.clone())
            .map(|id, s: Arc<State>| answer(s.end(id)));
        let watch = warp::get()
            .and(warp::path!("watch"))
            .and(query)
            .and(with)
            .then(|q: HashMap<String, String>, s: Arc<State>| async move { answer(s.watch(&q).await) });
        let routes = list.or(get).or(multi).or(hold).or(touch).or(end).or(watch);
        let refusal = |_| async { Ok::<_, warp::Rejection>(answer((503, json!({"error": "trouble"})))) };
        serve(gate.and(routes).recover(refusal)).await
    }

    /// Makes it refuse everything, or serve again with all holds renewed.
    pub fn outage(&self, down: bool) {
        let mut d = self.0.lock();
        d.down = down;
        let now = Instant::now();
        d.holds.values_mut().for_each(|h| h.1 = now + h.0);
    }

    /// From now on larger values and transactions get 400.
    pub fn limit_sizes(&self, value_bytes: usize, txn_ops: usize) {
        self.0.lock().size_limits = Some((value_bytes, txn_ops));
    }

    /// Transactions that were refused for their size.
    pub fn too_large(&self) -> u32 {
        self.0.lock().too_large
    }

    /// Refuses so many of the next transactions for their rate.
    pub fn refuse_for_rate(&self, transactions: u32) {
        self.0.lock().refuse_for_rate = transactions;
    }

    /// The largest value, and the most changes of a transaction, carried out so far.
    pub fn largest_written(&self) -> (usize, usize) {
        let d = self.0.lock();
        let puts = d.carried_out.iter().flat_map(|t| &t.changes);
        let bytes = puts.map(|c| match c {
            Change::Put { value, .. } => value.to_string().len(),
            Change::Delete { .. } => 0,
        });
        let ops = d.carried_out.iter().map(|t| t.changes.len());
        (bytes.max().unwrap_or(0), ops.max().unwrap_or(0))
    }

    /// How often a key was put.
    pub fn puts_of(&self, key: &str) -> usize {
        let d = self.0.lock();
        let puts = d.carried_out.iter().flat_map(|t| &t.changes);
        puts.filter(|c| matches!(c, Change::Put { put, .. } if put == key))
            .count()
    }

    /// Refuses one controller alone, or serves it again.
    pub fn refuse(&self, who: usize, refused: bool) {
        let mut d = self.0.lock();
        if refused {
            d.refused.insert(who);
        } else {
            d.refused.remove(&who);
        }
    }

    /// Writes a key past all controllers.
    pub fn plant(&self, key: &str, value: Value) {
        let mut d = self.0.lock();
        d.revision += 1;
        let revision = d.revision;
        d.keys.insert(key.to_owned(), (value, revision, None));
    }

    /// A key's value.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.0.lock().keys.get(key).map(|k| k.0.clone())
    }

    /// Whether the write-ahead log names this.
    pub fn log_names(&self, what: &str) -> bool {
        let data = self.0.lock();
        let mut log = data.keys.iter().filter(|(key, _)| key.starts_with("wal/"));
        log.any(|(_, (value, ..))| value.to_string().contains(what))
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.0.lock().keys.contains_key(key)
    }

    /// The name of the leader, if there is one.
    pub fn leader(&self) -> Option<String> {
        let d = self.0.lock();
        d.keys
            .get("leader")
            .and_then(|(v, ..)| Some(v["host"].as_str()?.to_owned()))
    }

    /// Ends every lease: whoever leads is deposed.
    pub fn end_leases(&self) {
        let ids: Vec<u64> = self.0.lock().holds.keys().copied().collect();
        for id in ids {
            self.end(id);
        }
    }

    /// How often a single key was read.
    pub fn reads(&self) -> u64 {
        self.0.lock().reads
    }

    /// Late copies of all transactions that were carried out arrive; how many
    /// are carried out once more.
    pub fn repeat_all(&self) -> usize {
        let all = self.0.lock().carried_out.clone();
        all.iter().filter(|t| self.multi(t).0 == 200).count()
    }

    /// Keys and their revisions.
    pub fn stamps(&self) -> BTreeMap<String, u64> {
        let d = self.0.lock();
        d.keys.iter().map(|(k, v)| (k.clone(), v.1)).collect()
    }

    fn with<T>(&self, f: impl FnOnce(&mut Data) -> (u16, T)) -> Json
    where
        Value: From<T>,
    {
        let mut d = self.0.lock();
        if d.down {
            return (503, json!({"error": "trouble"}));
        }
        let now = Instant::now();
        let over: Vec<u64> = d
            .holds
            .iter()
            .filter(|(_, h)| h.1 < now)
            .map(|(i, _)| *i)
            .collect();
        over.into_iter().for_each(|id| d.end(id));
        let (status, body) = f(&mut d);
        (status, body.into())
    }

    fn get(&self, key: &str) -> Json {
        self.0.lock().reads += 1;
        self.with(|d| match d.keys.get(key) {
            Some((v, stamp, _)) => (200, json!({"path": key, "v": v, "stamp": stamp})),
            None => (404, json!({"ledger": d.revision})),
        })
    }

    fn list(&self, q: &HashMap<String, String>) -> Json {
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

    fn multi(&self, t: &Transaction) -> Json {
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
                    if !d.holds.contains_key(l) {
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

    /// From now on each so-manyth transaction is carried out so late, unanswered.
    pub fn late_writes(&self, late: Option<(u64, Duration)>) {
        self.0.lock().late = late;
    }

    /// How many late transactions failed by their conditions, and how many were carried out.
    pub fn late_outcomes(&self) -> (u32, u32) {
        self.0.lock().late_outcomes
    }

    async fn multi_or_late(self: &Arc<Self>, t: &Transaction) -> Json {
        let late = {
            let mut d = self.0.lock();
            d.came += u64::from(d.late.is_some());
            let came = d.came;
            d.late.filter(|l| came.is_multiple_of(l.0))
        };
        let Some((_, late)) = late else {
            return self.multi(t);
        };
        let (s, t) = (self.clone(), t.clone());
        // Carried out whether its sender still waits or not.
        tokio::spawn(async move {
            sleep(late).await;
            let status = s.multi(&t).0;
            let mut d = s.0.lock();
            d.late_outcomes.0 += u32::from(status != 200);
            d.late_outcomes.1 += u32::from(status == 200);
        });
        sleep(Duration::from_secs(30)).await;
        (500, json!({}))
    }

    fn hold(&self, ms: u64) -> Json {
        self.with(|d| {
            d.next_hold += 1;
            let life = Duration::from_millis(ms);
            d.holds.insert(d.next_hold, (life, Instant::now() + life));
            (200, json!({"tenancy": d.next_hold}))
        })
    }

    fn touch(&self, id: u64) -> Json {
        self.with(|d| match d.holds.get_mut(&id) {
            Some(h) => {
                h.1 = Instant::now() + h.0;
                (200, json!({}))
            }
            None => (404, json!({})),
        })
    }

    fn end(&self, id: u64) -> Json {
        self.with(|d| {
            d.end(id);
            (200, json!({}))
        })
    }

    async fn watch(&self, q: &HashMap<String, String>) -> Json {
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

impl Data {
    fn end(&mut self, id: u64) {
        self.holds.remove(&id);
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.2 == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for k in gone {
            self.revision += 1;
            self.keys.remove(&k);
            self.log.push((self.revision, k, None));
        }
    }
}
