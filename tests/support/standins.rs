//! Stand-ins for the outside: a state service, a cloud and its workers, by
//! their protocols, on loopback.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::http::Http;
use bitternfold::wire::*;
use bytes::Bytes;
use parking_lot::Mutex;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::time::sleep;
use warp::Filter;

type Json = (u16, Value);

fn answer((status, body): Json) -> impl warp::Reply {
    warp::reply::with_status(
        warp::reply::json(&body),
        warp::http::StatusCode::from_u16(status).expect("a status"),
    )
}

// ---- state service -------------------------------------------------------

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

async fn serve<F>(routes: F) -> SocketAddr
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    addr
}

// ---- cloud and workers ---------------------------------------------------

struct Task {
    attempt: u64,
    state: TaskState,
    why: Option<Why>,
    until: Instant,
}

/// A machine with its worker.
pub struct Machine {
    id: MachineId,
    addr: String,
    zone: String,
    spot: bool,
    seq: u64,
    token: u64,
    tasks: BTreeMap<TaskId, Task>,
    gone: bool,
}

/// A cloud whose machines are up at once and run every task for `run`.
pub struct Cloud {
    pub controllers: Vec<(String, SocketAddr)>,
    pub run: Duration,
    /// Jobs whose tasks run for hours.
    slow: Mutex<std::collections::BTreeSet<JobId>>,
    machines: Mutex<Vec<Arc<Mutex<Machine>>>>,
    requests: Mutex<HashMap<String, Vec<String>>>,
    /// Starts of each task, and whether any ran twice at a time.
    pub doubles: Mutex<Vec<TaskId>>,
    pub starts: Mutex<u32>,
    /// Commands that were carried out, reports that were answered, releases.
    carried_out: Mutex<Vec<(MachineId, Commands)>>,
    reported: Mutex<Vec<Vec<u8>>>,
    /// Commands get no answer and change nothing.
    pub no_commands: AtomicBool,
    /// Workers report nothing.
    pub mute: AtomicBool,
    /// Commands on their way at once, at the most.
    pub most_at_once: Mutex<(u32, u32)>,
}

impl Cloud {
    /// A cloud for controllers at these addresses.
    pub fn new(controllers: Vec<(String, SocketAddr)>, run: Duration) -> Arc<Self> {
        Arc::new(Self {
            controllers,
            run,
            slow: Mutex::default(),
            machines: Mutex::default(),
            requests: Mutex::default(),
            doubles: Mutex::default(),
            starts: Mutex::default(),
            carried_out: Mutex::default(),
            reported: Mutex::default(),
            no_commands: AtomicBool::new(false),
            mute: AtomicBool::new(false),
            most_at_once: Mutex::default(),
        })
    }

    /// Starts it on a port that was bound before.
    pub async fn start(self: &Arc<Self>) -> SocketAddr {
        let c = self.clone();
        let with = warp::any().map(move || c.clone());
        let types = warp::get()
            .and(warp::path!("machine_types"))
            .map(|| answer((200, json!({"rigs": crate::types()}))));
        let list = warp::get()
            .and(warp::path!("hosts"))
            .and(with.clone())
            .map(|c: Arc<Cloud>| {
                let all: Vec<Value> = c
                    .machines
                    .lock()
                    .iter()
                    .map(|m| m.lock())
                    .filter(|m| !m.gone)
                    .map(|m| {
                        json!({"name_id": m.id, "endpoint": m.addr, "rig": "small", "yard": m.zone,
                           "loaners": m.spot, "standing": "running", "age_s": 1.0})
                    })
                    .collect();
                answer((200, json!({"racks": all, "has_next": false})))
            });
        let rent = warp::post()
            .and(warp::path!("hosts"))
            .and(warp::body::json())
            .and(with.clone())
            .then(|r: Rental, c: Arc<Cloud>| async move { answer(c.rent(r).await) });
        let release = warp::post()
            .and(warp::path!("hosts" / "release"))
            .and(warp::body::json())
            .and(with)
            .map(|r: Machines, c: Arc<Cloud>| {
                for m in c.machines.lock().iter() {
                    let mut m = m.lock();
                    m.gone |= r.machines.contains(&m.id);
                }
                answer((200, json!({})))
            });
        serve(types.or(list).or(rent).or(release)).await
    }

    async fn rent(self: &Arc<Self>, r: Rental) -> Json {
        if let Some(got) = self.requests.lock().get(&r.request) {
            return (200, json!({"racks": got}));
        }
        let mut names = Vec::new();
        for _ in 0..r.count {
            names.push(self.boot(&r.zone, r.spot).await);
        }
        self.requests.lock().insert(r.request, names.clone());
        (200, json!({"racks": names}))
    }

    /// Late copies of all commands that were carried out arrive.
    pub fn repeat_commands(&self) {
        let machines = self.machines.lock().clone();
        for (id, c) in self.carried_out.lock().clone() {
            if let Some(m) = machines.iter().find(|m| m.lock().id == id) {
                let mut m = m.lock();
                if !m.gone && c.token >= m.token {
                    m.token = c.token;
                    c.commands.iter().for_each(|c| self.execute(&mut m, *c));
                }
            }
        }
    }

    /// Reports that were answered, oldest first.
    pub fn reported(&self) -> Vec<Vec<u8>> {
        self.reported.lock().clone()
    }

    /// Lets tasks of a job that start from now on run for hours.
    pub fn run_slowly(&self, job: &str) {
        self.slow.lock().insert(job.parse().expect("an id"));
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        let all = self.machines.lock();
        let there = all.iter().map(|m| m.lock()).filter(|m| !m.gone);
        there
            .map(|m| m.tasks.values().filter(|t| t.state == TaskState::Running).count())
            .sum()
    }

    /// The machines that are there.
    pub fn names(&self) -> Vec<String> {
        let all = self.machines.lock();
        let there = all.iter().map(|m| m.lock()).filter(|m| !m.gone);
        there.map(|m| m.id.to_string()).collect()
    }

    /// Boots a machine; its name.
    pub async fn boot(self: &Arc<Self>, zone: &str, spot: bool) -> String {
        let n = self.machines.lock().len();
        let id = format!("i-{n:06}");
        let machine = Arc::new(Mutex::new(Machine {
            id: id.as_str().into(),
            addr: String::new(),
            zone: zone.to_owned(),
            spot,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            gone: false,
        }));
        let (c, m) = (self.clone(), machine.clone());
        let with = warp::any().map(move || (c.clone(), m.clone()));
        let commands = warp::post()
            .and(warp::path!("commands"))
            .and(warp::body::json())
            .and(with)
            .then(
                |b: Commands, (c, m): (Arc<Cloud>, Arc<Mutex<Machine>>)| async move {
                    {
                        let mut n = c.most_at_once.lock();
                        n.0 += 1;
                        n.1 = n.1.max(n.0);
                    }
                    sleep(Duration::from_millis(5)).await;
                    let r = c.command(&m, &b);
                    c.most_at_once.lock().0 -= 1;
                    answer(r)
                },
            );
        let addr = serve(commands).await;
        machine.lock().addr = addr.to_string();
        self.machines.lock().push(machine.clone());
        tokio::spawn(self.clone().report(machine));
        id
    }

    fn command(&self, m: &Mutex<Machine>, b: &Commands) -> Json {
        let mut m = m.lock();
        if m.gone || self.no_commands.load(Ordering::Relaxed) {
            return (500, json!({}));
        }
        let ok = b.token >= m.token && b.session == 1;
        if ok {
            m.token = b.token;
            self.carried_out.lock().push((m.id.clone(), b.clone()));
            for c in &b.commands {
                self.execute(&mut m, *c);
            }
        }
        (
            if ok { 200 } else { 409 },
            serde_json::to_value(report_of(&mut m)).expect("json"),
        )
    }

    fn execute(&self, m: &mut Machine, c: Command) {
        match c {
            Command::Start { task, attempt } => {
                if m.tasks.contains_key(&task) {
                    return;
                }
                *self.starts.lock() += 1;
                let slow = self.slow.lock().contains(&task.job);
                let run = if slow { Duration::from_secs(7200) } else { self.run };
                let until = Instant::now() + run;
                m.tasks.insert(
                    task,
                    Task {
                        attempt,
                        state: TaskState::Running,
                        why: None,
                        until,
                    },
                );
                let here = m.id.clone();
                let twice = self.machines.lock().iter().any(|o| {
                    // Its own lock is held; the others are asked in turn.
                    o.try_lock().is_some_and(|o| {
                        o.id != here
                            && !o.gone
                            && o.tasks.get(&task).is_some_and(|t| t.state == TaskState::Running)
                    })
                });
                if twice {
                    self.doubles.lock().push(task);
                }
            }
            Command::Stop { task, attempt, .. } => {
                if let Some(t) = m.tasks.get_mut(&task) {
                    if t.attempt == attempt && t.state != TaskState::Exited {
                        (t.state, t.why) = (TaskState::Exited, Some(Why::Stopped));
                    }
                }
            }
            Command::Forget { task, attempt } => {
                if m.tasks.get(&task).is_some_and(|t| t.attempt == attempt) {
                    m.tasks.remove(&task);
                }
            }
        }
    }

    async fn report(self: Arc<Self>, m: Arc<Mutex<Machine>>) {
        let http = Http::default();
        let mut at = 0;
        loop {
            sleep(Duration::from_millis(150)).await;
            if self.mute.load(Ordering::Relaxed) {
                continue;
            }
            let body = {
                let mut m = m.lock();
                if m.gone {
                    return;
                }
                let now = Instant::now();
                for t in m.tasks.values_mut() {
                    if t.state == TaskState::Running && t.until <= now {
                        (t.state, t.why) = (TaskState::Exited, Some(Why::Done));
                    }
                }
                serde_json::to_vec(&report_of(&mut m)).expect("json")
            };
            let to = self.controllers[at % self.controllers.len()].1.to_string();
            let r = http
                .call(
                    hyper::Method::POST,
                    &to,
                    "/v1/report",
                    Some(body.clone()),
                    Duration::from_secs(2),
                )
                .await;
            match r {
                Ok(r) if r.status == 200 => {
                    self.reported.lock().push(body);
                    let reply: ReportReply = serde_json::from_slice(&r.body).expect("a reply");
                    let mut m = m.lock();
                    if reply.token < m.token {
                        continue;
                    }
                    m.token = reply.token;
                    for c in reply.commands {
                        self.execute(&mut m, c);
                    }
                }
                Ok(r) if r.status == 421 => {
                    let to = serde_json::from_slice::<Redirect>(&r.body)
                        .expect("a body")
                        .report_to;
                    at = self
                        .controllers
                        .iter()
                        .position(|c| Some(&c.0) == to.as_ref())
                        .unwrap_or(at + 1);
                }
                _ => at += 1,
            }
        }
    }
}

fn report_of(m: &mut Machine) -> Report {
    m.seq += 1;
    Report {
        machine: m.id.clone(),
        addr: m.addr.clone(),
        machine_type: "small".into(),
        zone: m.zone.clone(),
        spot: m.spot,
        session: 1,
        seq: m.seq,
        token: m.token,
        notice_s: None,
        tasks: m
            .tasks
            .iter()
            .map(|(t, x)| ReportedTask {
                task: *t,
                attempt: x.attempt,
                state: x.state,
                why: x.why,
                saved: None,
            })
            .collect(),
    }
}

/// A user's request: status, Retry-After, body.
pub async fn ask(method: &str, addr: SocketAddr, path: &str, body: Option<Value>) -> (u16, Value) {
    let http = Http::default();
    let method = hyper::Method::from_bytes(method.as_bytes()).expect("a method");
    let body = body.map(|b| Bytes::from(b.to_string()).to_vec());
    match http
        .call(method, &addr.to_string(), path, body, Duration::from_secs(5))
        .await
    {
        Ok(r) => (r.status, serde_json::from_slice(&r.body).unwrap_or(Value::Null)),
        Err(_) => (0, Value::Null),
    }
}
