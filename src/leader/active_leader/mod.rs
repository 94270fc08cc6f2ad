//! The leader of one term: takeover, scheduling rounds, and answers.

mod dependency_lookup;
mod fleet_loop;
mod heartbeat_routing;
mod job_intake;
mod scheduling_loop;
mod takeover;
mod term_leader;
mod user_requests;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use super::redirects::RedirectHistory;
use crate::clock::read_clocks;
use crate::controller::{Controller, Role};
use crate::core::evidence::authority::{Authority, AuthorityLimits, ClockReading};
use crate::core::storage::record::{self};
use crate::core::ClusterModel;
use crate::store::writer::Writer;
use crate::store::StoreError;

/// Share of the state service's requests that may go into confirming answers.
const CONFIRMING: f64 = 0.1;
/// How long an answer may wait to be confirmed.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(500);

/// The leader of one term.
#[derive(Debug)]
pub struct ActiveLeader {
    /// The term.
    pub term: u64,
    controller: Arc<Controller>,
    lease: u64,
    model: Mutex<ClusterModel>,
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
    /// Jobs that others wait for are to be looked up.
    unresolved: Notify,
    redirects: Mutex<RedirectHistory>,
}

impl ActiveLeader {
    /// A term that was just won by a request sent at `sent`.
    pub fn new(controller: Arc<Controller>, term: u64, lease: u64, sent: ClockReading) -> Arc<Self> {
        let most = controller.config.txn_ops;
        let writer = Writer::new(controller.store.clone(), record::LEADER, term, most);
        let model = ClusterModel::new(controller.config.clone(), term);
        let workers = &controller.deployment.cluster.workers;
        let limits = AuthorityLimits {
            lease: controller.operator_settings.leader_lease,
            worker_lease: workers.lease,
            cancel: workers.cancel,
            clock_error: controller.deployment.cluster.clock_error,
        };
        Arc::new(Self {
            term,
            lease,
            model: Mutex::new(model),
            writer,
            authority: Mutex::new(Authority::new(&limits, sent)),
            renewals: AtomicU64::new(0),
            renewed: watch::Sender::new((0, false)),
            wanted: Notify::new(),
            loaded: AtomicBool::new(false),
            load_ended: Mutex::new(None),
            over: AtomicBool::new(false),
            ended: Notify::new(),
            wake: Notify::new(),
            unresolved: Notify::new(),
            redirects: Mutex::default(),
            controller,
        })
    }

    /// The process has stood still: what it did not hear meanwhile is no silence.
    pub fn resumed_after_pause(&self, now: Instant) {
        self.authority.lock().resumed_after_pause(now);
        self.model.lock().ignore_silence_before(now);
    }

    /// Whether this controller may act as the leader now.
    pub fn may_act(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
            && !self.over.load(Ordering::Relaxed)
            && !self.writer.has_ended()
            && self.authority.lock().may_act(read_clocks())
    }

    /// Whether reports may still be answered, see [`Authority::may_renew_leases`].
    fn may_renew_leases(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
            && !self.over.load(Ordering::Relaxed)
            && self.authority.lock().may_renew_leases(read_clocks())
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
            loading.controller.set_role(Role::Leading(loading.clone()));
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
            loops.spawn(loading.clone().look_up_dependencies());
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
        let controller = self.controller.clone();
        let lease = self.lease;
        tokio::spawn(async move {
            let _ = controller.store.revoke_lease(lease).await;
        });
    }

    async fn keep_lease(self: Arc<Self>) {
        let life = self.controller.operator_settings.leader_lease;
        let spacing =
            Duration::from_secs_f64(1.0 / (self.controller.deployment.cluster.state.rps * CONFIRMING));
        loop {
            let sent = read_clocks();
            let number = self.renewals.fetch_add(1, Ordering::Relaxed) + 1;
            let wait = match self.controller.store.renew_lease(self.lease, life / 3).await {
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
            sleep(spacing.min(wait).saturating_sub(sent.steady.elapsed())).await;
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
}
