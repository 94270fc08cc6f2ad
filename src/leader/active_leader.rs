//! The leader of one term: takeover, scheduling rounds, and answers.

use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::cloud::CloudError;
use crate::core::authority::Authority;
use crate::core::fleet::FleetAction;
use crate::core::machine::Phase;
use crate::core::record::{self, JobRecord};
use crate::core::store_plan::Write;
use crate::core::worker_reports::ReportOutcome;
use crate::core::Model;
use crate::node::{accepted, view_reply, wall_ms, Lookup, Node, Role};
use crate::peer::Reply;
use crate::store::{CommitError, StoreError, Unit, Writer};
use crate::wire::{JobId, JobSpec, MachineId, Report, ReportReply};
use crate::worker::{self, Commanded};

/// Pause between two readings of all unfinished jobs.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(15);
/// Machines without other orders that are sent a command in one round at the
/// most, to learn what is on them: a new leader has to ask them all, and its
/// renewal of the lease must not wait behind them.
const PROBES: usize = 64;

/// Share of the state service's requests that may go into confirming answers.
const CONFIRMING: f64 = 0.1;
/// How long an answer may wait to be confirmed.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(500);

/// How long a user's change may take to be stored.
const STORED_WITHIN: Duration = Duration::from_millis(2500);

/// A worker that came back from the controller it was sent to is not sent
/// there again for so long.
const AVOID: Duration = Duration::from_secs(30);

/// Where workers were sent, to see who comes back.
#[derive(Debug, Default)]
struct Redirects {
    to: HashMap<MachineId, (String, Instant)>,
    avoid: HashMap<(MachineId, String), Instant>,
}

/// The leader of one term.
#[derive(Debug)]
pub struct ActiveLeader {
    /// The term.
    pub term: u64,
    node: Arc<Node>,
    lease: u64,
    model: Mutex<Model>,
    writer: Arc<Writer>,
    authority: Mutex<Authority>,
    /// Renewals of the lease begun so far, and the latest that ended, with its success.
    renewals: AtomicU64,
    renewed: watch::Sender<(u64, bool)>,
    /// Somebody waits for a renewal.
    wanted: Notify,
    loaded: AtomicBool,
    /// The state was loaded then, and not all workers known from it obey yet.
    load_ended: Mutex<Option<Instant>>,
    over: AtomicBool,
    ended: Notify,
    wake: Notify,
    sent: Mutex<Redirects>,
}

impl ActiveLeader {
    /// A term that was just won by a request sent at `sent`.
    pub fn new(node: Arc<Node>, term: u64, lease: u64, sent: Instant) -> Arc<Self> {
        let most = node.platform.params.state.txn_ops;
        let writer = Writer::new(node.store.clone(), record::LEADER, term, most);
        let model = Model::new(node.config.clone(), term);
        let workers = &node.platform.params.workers;
        Arc::new(Self {
            term,
            lease,
            model: Mutex::new(model),
            writer,
            authority: Mutex::new(Authority::new(
                node.tuning.leader_lease,
                workers.lease,
                workers.cancel,
                sent,
            )),
            renewals: AtomicU64::new(0),
            renewed: watch::Sender::new((0, false)),
            wanted: Notify::new(),
            loaded: AtomicBool::new(false),
            load_ended: Mutex::new(None),
            over: AtomicBool::new(false),
            ended: Notify::new(),
            wake: Notify::new(),
            sent: Mutex::default(),
            node,
        })
    }

    /// The process has stood still: what it did not hear meanwhile is no silence.
    pub fn woke(&self, now: Instant) {
        self.authority.lock().woke(now);
        self.model.lock().listen_from(now);
    }

    /// Whether this controller may act as the leader now.
    pub fn may_act(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
            && !self.over.load(Ordering::Relaxed)
            && !self.writer.is_over()
            && self.authority.lock().may_act(Instant::now())
    }

    /// Whether reports may still be answered, see [`Authority::may_renew_leases`].
    fn may_renew_leases(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
            && !self.over.load(Ordering::Relaxed)
            && self.authority.lock().may_renew_leases(Instant::now())
    }

    /// Ends the term here.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
        self.writer.end();
        self.ended.notify_one();
    }

    /// Leads until the term is over.
    pub async fn lead(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().keep_lease());
        tasks.spawn(self.writer.clone().run());
        let loading = self.clone();
        let run = async {
            let began = Instant::now();
            while !loading.over.load(Ordering::Relaxed) {
                match loading.load().await {
                    Ok(()) => break,
                    Err(e) => {
                        info!(error = %e, "can't read the state yet");
                        sleep(Duration::from_millis(200)).await;
                    }
                }
            }
            *loading.load_ended.lock() = Some(Instant::now());
            loading.loaded.store(true, Ordering::Relaxed);
            loading.node.set_role(Role::Leading(loading.clone()));
            {
                let m = loading.model.lock();
                info!(
                    term = loading.term,
                    jobs = m.jobs.len(),
                    machines = m.machines.len(),
                    took_ms = began.elapsed().as_millis() as u64,
                    "state loaded"
                );
            }
            let mut loops = JoinSet::new();
            loops.spawn(loading.clone().watch_inbox());
            loops.spawn(loading.clone().reconcile_jobs());
            loops.spawn(loading.clone().refresh_machine_types());
            loops.spawn(loading.clone().list_machines());
            loops.spawn(loading.clone().rounds());
            loops.spawn(loading.clone().keep_fleet());
            while loops.join_next().await.is_some() {}
        };
        tokio::select! {
            () = run => {}
            () = self.ended.notified() => {}
        }
        self.end();
        tasks.abort_all();
        let node = self.node.clone();
        let lease = self.lease;
        tokio::spawn(async move {
            let _ = node.store.revoke_lease(lease).await;
        });
    }

    async fn keep_lease(self: Arc<Self>) {
        let life = self.node.tuning.leader_lease;
        let spacing = Duration::from_secs_f64(1.0 / (self.node.platform.params.state.rps * CONFIRMING));
        loop {
            let sent = Instant::now();
            let number = self.renewals.fetch_add(1, Ordering::Relaxed) + 1;
            let wait = match self.node.store.renew_lease(self.lease, life / 3).await {
                Ok(()) => {
                    self.authority.lock().renewed(sent);
                    self.renewed.send_replace((number, true));
                    life / 5
                }
                Err(StoreError::NoLease) => {
                    info!(term = self.term, "the lease is over");
                    return self.end();
                }
                Err(e) => {
                    debug!(error = %e, "renewal failed");
                    self.renewed.send_replace((number, false));
                    life / 15
                }
            };
            // Sooner if somebody waits for it, within a share of the requests.
            let _ = timeout(wait, self.wanted.notified()).await;
            sleep(spacing.min(wait).saturating_sub(sent.elapsed())).await;
        }
    }

    /// Whether this one still led after the call: a renewal that began later has
    /// succeeded. A process may stand still together with its clocks, and then
    /// no time tells that what it knows is old; a user who has been told of a
    /// newer state by another leader must not be told of an older one.
    async fn confirm(&self) -> bool {
        let before = self.renewals.load(Ordering::Relaxed);
        let mut renewed = self.renewed.subscribe();
        self.wanted.notify_one();
        let later = renewed.wait_for(|r| r.0 > before);
        let done = timeout(CONFIRMED_WITHIN, later).await;
        done.is_ok_and(|r| r.is_ok_and(|r| r.1))
    }

    // ---- takeover ------------------------------------------------------

    async fn load(&self) -> Result<(), StoreError> {
        let store = &self.node.store;
        let (jobs, _) = store.list(record::JOBS).await?;
        let (segments, _) = store.list(record::WAL).await?;
        let ratios = store.get(record::RATIOS).await?;
        let types = store.get(record::TYPES).await?;
        let now = Instant::now();
        let wall = wall_ms();
        let mut m = self.model.lock();
        for item in jobs {
            self.writer.know(&item.key, item.version);
            let Ok(r) = serde_json::from_value::<JobRecord>(item.value) else {
                info!(key = item.key, "an unreadable job record is left alone");
                continue;
            };
            let age = Duration::from_millis(wall.saturating_sub(r.at));
            m.add_job(r, now.checked_sub(age).unwrap_or(now));
        }
        for item in segments {
            self.writer.know(&item.key, item.version);
            let number = item.key.trim_start_matches(record::WAL).parse();
            let read = number.is_ok_and(|n| m.log.load(n, item.value));
            if !read {
                // What it names is unknown: nothing may be placed.
                info!(key = item.key, "a segment of the log can't be read");
                return Err(StoreError::Unanswered);
            }
        }
        m.load_log(now);
        if let Ok(item) = ratios {
            self.writer.know(record::RATIOS, item.version);
            if let Ok(r) = serde_json::from_value(item.value) {
                m.ratios = r;
            }
        }
        if let Ok(item) = types {
            self.writer.know(record::TYPES, item.version);
            if let Ok(t) = serde_json::from_value(item.value) {
                m.types = t;
                *self.node.types.lock() = Arc::new(m.types.clone());
            }
        }
        Ok(())
    }

    // ---- loops ---------------------------------------------------------

    /// Picks up the jobs that followers stored.
    async fn watch_inbox(self: Arc<Self>) {
        loop {
            let Ok((items, revision)) = self.node.store.list(record::INBOX).await else {
                sleep(Duration::from_millis(300)).await;
                continue;
            };
            let mut since = revision;
            let mut all = true;
            for i in items {
                all &= self.clone().admit_from_inbox(&i.key, i.version).await;
            }
            // What couldn't be picked up is listed again soon.
            while all {
                match self
                    .node
                    .store
                    .watch(record::INBOX, since, Duration::from_secs(20))
                    .await
                {
                    Ok(w) => {
                        since = since.max(w.revision);
                        for e in w.events {
                            if let Some(key) = e.put {
                                all &= self.clone().admit_from_inbox(&key, e.version).await;
                            }
                        }
                    }
                    Err(StoreError::TooOld) => break,
                    Err(_) => sleep(Duration::from_millis(300)).await,
                }
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    /// Reads all unfinished jobs again from time to time: whatever mark, watch
    /// or answer was lost, no accepted job stays unknown for longer.
    async fn reconcile_jobs(self: Arc<Self>) {
        let mut unreadable = HashSet::new();
        loop {
            sleep(RECONCILE_INTERVAL).await;
            let Ok((items, _)) = self.node.store.list(record::JOBS).await else {
                continue;
            };
            for i in items {
                let known = i
                    .key
                    .trim_start_matches(record::JOBS)
                    .parse::<JobId>()
                    .is_ok_and(|id| {
                        self.model.lock().jobs.contains_key(&id) || self.node.finals.lock().view(id).is_some()
                    });
                if known {
                    continue;
                }
                match serde_json::from_value::<JobRecord>(i.value) {
                    Ok(r) => self.admit(r, i.version),
                    Err(e) if unreadable.insert((i.key.clone(), i.version)) => {
                        info!(key = i.key, error = %e, "a job record can't be read; it is tried again");
                    }
                    Err(_) => {}
                }
            }
        }
    }

    /// False: it has to be tried again.
    async fn admit_from_inbox(self: Arc<Self>, key: &str, version: u64) -> bool {
        let Ok(id) = key.trim_start_matches(record::INBOX).parse::<JobId>() else {
            return true;
        };
        if !self.load_job(id).await {
            return false;
        }
        self.writer.know(key, version);
        let unit = Unit {
            changes: vec![(key.to_owned(), None)],
            absent: Vec::new(),
            urgent: false,
        };
        tokio::spawn(async move {
            let _ = self.writer.commit(unit).await;
        });
        true
    }

    /// Reads a job that is not known here. False: it could not be read.
    async fn load_job(&self, id: JobId) -> bool {
        if self.model.lock().jobs.contains_key(&id) || self.node.finals.lock().view(id).is_some() {
            return true;
        }
        match self.node.lookup(id).await {
            Ok(Lookup::Active(r, version)) => {
                self.admit(*r, version);
                true
            }
            Ok(_) => true,
            Err(_) => false,
        }
    }

    fn admit(&self, r: JobRecord, version: u64) {
        let id = r.spec.id;
        let now = Instant::now();
        let age = Duration::from_millis(wall_ms().saturating_sub(r.at));
        let mut m = self.model.lock();
        // Between the reading and now it may have become known or finished.
        if m.jobs.contains_key(&id) || self.node.finals.lock().view(id).is_some() {
            return;
        }
        self.writer.know(&record::job_key(id), version);
        info!(job = %id, "picked up");
        m.add_job(r, now.checked_sub(age).unwrap_or(now));
        drop(m);
        self.wake.notify_one();
    }

    async fn refresh_machine_types(self: Arc<Self>) {
        loop {
            let wait = match self.node.cloud.machine_types().await {
                Ok(types) if !types.is_empty() => {
                    let known = self.model.lock().types.clone();
                    if known != types {
                        let shape = |t: &[crate::wire::MachineType]| {
                            t.iter()
                                .map(|t| (t.name.clone(), t.cpus, t.zones.clone()))
                                .collect::<Vec<_>>()
                        };
                        let new = shape(&known) != shape(&types);
                        self.model.lock().types = types.clone();
                        *self.node.types.lock() = Arc::new(types.clone());
                        if new {
                            info!(types = types.len(), "machine types read");
                            let value = serde_json::to_value(&types).unwrap_or(Value::Null);
                            if value.to_string().len() < self.node.config.value_bytes {
                                let changes = vec![(record::TYPES.to_owned(), Some(value))];
                                let _ = self
                                    .writer
                                    .commit(Unit {
                                        changes,
                                        absent: Vec::new(),
                                        urgent: true,
                                    })
                                    .await;
                            }
                        }
                        self.wake.notify_one();
                    }
                    Duration::from_secs(30)
                }
                _ => Duration::from_secs(1),
            };
            sleep(wait).await;
        }
    }

    async fn list_machines(self: Arc<Self>) {
        loop {
            let mut pages = 1;
            if let Ok(list) = self.node.cloud.machines().await {
                pages += list.len() as u32 / 500;
                self.model.lock().listed(&list, Instant::now());
                self.wake.notify_one();
            }
            // A long list is read less often: rentals and releases share the
            // cloud's rate with it.
            sleep(Duration::from_secs(4) * pages).await;
        }
    }

    async fn keep_fleet(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(1000)).await;
            self.node.check_for_stall();
            if !self.may_act() {
                continue;
            }
            if self.node.links.iter().any(|l| l.alive()) && self.model.lock().cut_from_workers(Instant::now())
            {
                info!(term = self.term, "resigning: workers take no commands from here");
                return self.end();
            }
            let actions = self.model.lock().fleet(Instant::now());
            for action in actions {
                let active_leader = self.clone();
                tokio::spawn(async move { active_leader.grant(action).await });
            }
        }
    }

    async fn grant(&self, action: FleetAction) {
        let cloud = &self.node.cloud;
        match action {
            FleetAction::Rent(rental) => {
                let mut tries = 0;
                loop {
                    if !self.may_act() {
                        break self.model.lock().rental_failed(&rental, false, Instant::now());
                    }
                    match cloud.rent(&rental, || self.may_act()).await {
                        Ok(ids) => {
                            info!(request = rental.request, got = ids.len(), "rented");
                            self.model.lock().rental_done(&rental, &ids, Instant::now());
                            break;
                        }
                        // The same request may be sent again.
                        Err(CloudError::Unanswered | CloudError::Unavailable) if tries < 3 => {
                            tries += 1;
                            sleep(Duration::from_millis(500)).await;
                        }
                        Err(e) => {
                            info!(request = rental.request, error = %e, "not rented");
                            let none = e == CloudError::NoCapacity;
                            self.model.lock().rental_failed(&rental, none, Instant::now());
                            break;
                        }
                    }
                }
            }
            FleetAction::Release(ids) => {
                let ok = match cloud.release(&ids, || self.may_act()).await {
                    Ok(()) => true,
                    Err(e) => {
                        info!(machines = ids.len(), error = %e, "not released yet");
                        false
                    }
                };
                self.model.lock().release_done(&ids, ok, Instant::now());
            }
        }
        self.wake.notify_one();
    }

    async fn rounds(self: Arc<Self>) {
        loop {
            let _ = timeout(Duration::from_millis(500), self.wake.notified()).await;
            self.node.check_for_stall();
            let began = Instant::now();
            if self.may_act() {
                self.round();
            }
            // A round that took long is followed by a longer pause, so that
            // users and workers are answered meanwhile.
            let pause = self.node.tuning.plan_pause;
            sleep(pause.max((began.elapsed() * 4).min(pause * 10))).await;
        }
    }

    fn round(self: &Arc<Self>) {
        let now = Instant::now();
        let mut m = self.model.lock();
        let r = m.plan(now);
        if r != crate::core::plan::Round::default() {
            debug!(?r, "round");
        }
        let mut load_ended = self.load_ended.lock();
        if let Some(t) = load_ended.filter(|_| m.all_fenced()) {
            info!(
                took_ms = (now - t).as_millis() as u64,
                "all workers obey this term"
            );
            *load_ended = None;
        }
        drop(load_ended);
        let writes = m.take_writes(now);
        let commands = m.commands(now, PROBES.min(self.node.sockets.commands_free() / 2));
        drop(m);
        for w in writes {
            let active_leader = self.clone();
            tokio::spawn(async move { active_leader.write(w).await });
        }
        for (id, addr, c) in commands {
            let active_leader = self.clone();
            tokio::spawn(async move {
                let sockets = &active_leader.node.sockets;
                let outcome = worker::command(sockets, &addr, &c, || active_leader.may_act()).await;
                let report = match &outcome {
                    Commanded::Done(r) | Commanded::Refused(r) => Some(r),
                    Commanded::Unknown => None,
                };
                if let Commanded::Refused(r) = &outcome {
                    debug!(machine = %id, token = c.token, seen = r.token, session = r.session, "command refused");
                }
                active_leader.model.lock().commanded(&id, report, Instant::now());
                active_leader.wake.notify_one();
            });
        }
    }

    async fn write(&self, w: Write) {
        let unit = w.unit();
        let result = self.writer.commit(unit).await;
        if let Err(CommitError::Conflict(keys)) = &result {
            info!(?keys, "a write met a changed key");
            if matches!(w, Write::Log(_)) {
                // The log is this term's alone: what it holds is in doubt now,
                // and the next term reads it anew.
                return self.end();
            }
        }
        let ok = result.is_ok();
        if let (true, Write::Final { id, record }) = (ok, &w) {
            // Before the job leaves the model, so that no answer falls between.
            self.node.finals.lock().keep(*id, record.state, record.done);
            debug!(job = %id, state = ?record.state, "finished");
        }
        self.model.lock().written(&w, ok, Instant::now());
        self.wake.notify_one();
    }

    // ---- users ---------------------------------------------------------

    /// A submission.
    pub async fn submit(self: &Arc<Self>, body: &[u8]) -> Reply {
        let id = match self.node.id_of(body) {
            Ok(id) => id,
            Err(r) => return r,
        };
        if let Some(r) = self.known_for_sure(id).await {
            return r;
        }
        let types = self.node.types.lock().clone();
        let spec = match self.node.judge(body, &types) {
            Ok(s) => s,
            // Only an unknown job is judged: a follower may have stored it.
            Err(bad) => return self.unless_known(id, bad).await,
        };
        let rec = JobRecord {
            spec,
            at: wall_ms(),
            cancelled: false,
        };
        if !self.node.record_fits(&rec) {
            let bad = Reply::error(400, "the job's description is too long");
            return self.unless_known(id, bad).await;
        }
        // What can't be stored in time is refused at once.
        let within = self.node.store.changes_within(STORED_WITHIN);
        if self.writer.urgent_waiting() as f64 > within {
            return Reply::later("too many jobs are being stored");
        }
        let active_leader = self.clone();
        let stored = tokio::spawn(async move { active_leader.accept(rec).await });
        match timeout(STORED_WITHIN, stored).await {
            Ok(Ok(Ok(()))) => accepted(id, 201),
            Ok(Ok(Err(CommitError::Conflict(_)))) => {
                let other = Reply::later("the job's state can't be read now");
                self.unless_known(id, other).await
            }
            _ => Reply::later("the job can't be stored now"),
        }
    }

    async fn accept(&self, rec: JobRecord) -> Result<(), CommitError> {
        let id = rec.spec.id;
        let value = serde_json::to_value(&rec).unwrap_or(Value::Null);
        let key = record::job_key(id);
        let unit = Unit {
            changes: vec![(key.clone(), Some(value))],
            absent: vec![key, record::final_key(id)],
            urgent: true,
        };
        self.writer.commit(unit).await?;
        let s: &JobSpec = &rec.spec;
        debug!(job = %id, team = s.team, class = s.class, tasks = s.tasks, cpus = s.cpus, "accepted");
        self.model.lock().add_job(rec, Instant::now());
        self.wake.notify_one();
        Ok(())
    }

    /// The answer for a job known here.
    fn known(&self, id: JobId) -> Option<Reply> {
        if !self.may_act() {
            return Some(Reply::later("leadership is in doubt"));
        }
        let active = self.model.lock().view(id);
        let view = active.or_else(|| self.node.finals.lock().view(id))?;
        Some(Reply::json(200, &view))
    }

    /// The same, if it can't be older than what another leader has told since:
    /// final states never are.
    async fn known_for_sure(&self, id: JobId) -> Option<Reply> {
        if let Some(view) = self.node.finals.lock().view(id) {
            return Some(Reply::json(200, &view));
        }
        let reply = self.known(id)?;
        if reply.status == 200 && !self.confirm().await {
            return Some(Reply::later("leadership can't be confirmed now"));
        }
        Some(reply)
    }

    async fn unless_known(&self, id: JobId, otherwise: Reply) -> Reply {
        match self.node.lookup(id).await {
            Ok(Lookup::Absent) => otherwise,
            Ok(Lookup::Active(r, version)) => {
                let reply = view_reply(id, &Lookup::Active(r.clone(), version));
                self.admit(*r, version);
                reply
            }
            Ok(l) => view_reply(id, &l),
            Err(_) => Reply::later("the job's state can't be read now"),
        }
    }

    /// A poll.
    pub async fn poll(&self, id: JobId) -> Reply {
        match self.known_for_sure(id).await {
            Some(r) => r,
            None => self.unless_known(id, Reply::error(404, "no such job")).await,
        }
    }

    /// A cancellation.
    pub async fn cancel(self: &Arc<Self>, id: JobId) -> Reply {
        if !self.may_act() {
            return Reply::later("leadership is in doubt");
        }
        if !self.load_job(id).await {
            return Reply::later("the job's state can't be read now");
        }
        let active_leader = self.clone();
        let work = tokio::spawn(async move { active_leader.cancel_stored(id).await });
        match timeout(STORED_WITHIN, work).await {
            Ok(Ok(reply)) => reply,
            _ => Reply::later("the cancellation can't be stored now"),
        }
    }

    async fn cancel_stored(self: Arc<Self>, id: JobId) -> Reply {
        // A job whose last task is done is about to be stored as done.
        for _ in 0..100 {
            let finishing = self
                .model
                .lock()
                .jobs
                .get(&id)
                .is_some_and(|j| j.complete() && !j.cancelled);
            if !finishing {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let record = {
            let mut m = self.model.lock();
            match m.jobs.get(&id) {
                None => {
                    drop(m);
                    return match self.node.finals.lock().view(id) {
                        Some(v) => Reply::json(200, &v),
                        None => Reply::error(404, "no such job"),
                    };
                }
                Some(j) if j.complete() && !j.cancelled => return Reply::later("the job is ending"),
                Some(j) if j.cancelled && j.cancel_stored => None,
                Some(_) => {
                    m.cancel(id, Instant::now());
                    m.jobs.get(&id).map(|j| j.record())
                }
            }
        };
        self.wake.notify_one();
        if let Some(record) = record {
            if !self.store_cancellation(id, &record).await {
                return Reply::later("the cancellation can't be stored now");
            }
            info!(job = %id, "cancelled");
            self.model.lock().cancel_stored(id);
            self.wake.notify_one();
        }
        match self.known(id) {
            Some(r) => r,
            None => Reply::later("the job's state can't be told now"),
        }
    }

    /// Stores a cancellation that the model has taken already: its tasks are
    /// being stopped, so there is no way back but the end of the term. A key
    /// that was not as expected is read again, or the job would be neither run
    /// nor cancelled for as long as this term lasts.
    async fn store_cancellation(&self, id: JobId, record: &JobRecord) -> bool {
        let key = record::job_key(id);
        let value = serde_json::to_value(record).unwrap_or(Value::Null);
        loop {
            let unit = Unit {
                changes: vec![(key.clone(), Some(value.clone()))],
                absent: Vec::new(),
                urgent: true,
            };
            match self.writer.commit(unit).await {
                Ok(()) => return true,
                Err(CommitError::Deposed) => return false,
                Err(CommitError::Conflict(_)) => match self.node.lookup(id).await {
                    Ok(Lookup::Active(r, _)) if r.cancelled => return true,
                    Ok(Lookup::Active(_, version)) => self.writer.know(&key, version),
                    Ok(_) => {
                        info!(job = %id, "cancelled here, yet not unfinished in the state service");
                        self.end();
                        return false;
                    }
                    Err(_) => {}
                },
            }
            sleep(Duration::from_millis(150)).await;
        }
    }

    // ---- workers -------------------------------------------------------

    /// The controller that a machine is to report to.
    fn owner(&self, machine: &MachineId) -> String {
        let sent = self.sent.lock();
        let now = Instant::now();
        let weigh = |host: &String| {
            let mut h = DefaultHasher::new();
            (machine, host).hash(&mut h);
            h.finish()
        };
        self.node
            .connected()
            .into_iter()
            .filter(|h| {
                sent.avoid
                    .get(&(machine.clone(), h.clone()))
                    .is_none_or(|t| now.duration_since(*t) > AVOID)
            })
            .max_by_key(weigh)
            .unwrap_or_else(|| self.node.host().to_owned())
    }

    /// A report that reached the controller `via`.
    pub fn report(&self, body: &[u8], via: &str) -> Reply {
        if !self.may_renew_leases() {
            return Reply::later("leadership is in doubt");
        }
        let r: Report = match serde_json::from_slice(body) {
            Ok(r) => r,
            Err(e) => return Reply::error(400, &e.to_string()),
        };
        let now = Instant::now();
        let may_act = self.may_act();
        let (heard, answer, stops) = {
            let mut m = self.model.lock();
            let heard = m.apply_report(&r, now);
            let known = m.machines.get(&r.machine);
            if known.is_some_and(|m| m.phase == Phase::Releasing) {
                return Reply::later("this machine is being returned");
            }
            match heard {
                ReportOutcome::MachineGone => return Reply::later("this machine was returned"),
                // A command's answer has overtaken it, or it is a late copy,
                // whose answer reaches nobody.
                ReportOutcome::Outdated
                    if known.is_none_or(|m| m.newest.0 != r.session || m.session_over(r.session)) =>
                {
                    return Reply::later("an older report")
                }
                ReportOutcome::Outdated | ReportOutcome::Applied => {}
            }
            (heard, m.reply(&r.machine, r.token, now), m.stops(&r))
        };
        if heard == ReportOutcome::Applied {
            self.wake.notify_one();
        }
        let Some((token, commands)) = answer else {
            // Only an elected one gives out such tokens.
            info!(
                term = self.term,
                token = r.token,
                "a newer leader has spoken to a worker"
            );
            self.end();
            return Reply::later("a newer leader has spoken to this worker");
        };
        if let Some(to) = self.redirect(&r.machine, via, now) {
            return Node::elsewhere(&to);
        }
        let mut commands = if may_act { commands } else { Vec::new() };
        commands.extend(stops);
        Reply::json(200, &ReportReply { token, commands })
    }

    fn redirect(&self, machine: &MachineId, via: &str, now: Instant) -> Option<String> {
        {
            let mut sent = self.sent.lock();
            if let Some((to, at)) = sent.to.remove(machine) {
                if to != via && now.duration_since(at) < Duration::from_secs(15) {
                    // It was sent there and is back here: it can't reach it.
                    sent.avoid.insert((machine.clone(), to), now);
                }
            }
        }
        let owner = self.owner(machine);
        if owner == via {
            return None;
        }
        self.sent.lock().to.insert(machine.clone(), (owner.clone(), now));
        Some(owner)
    }
}
