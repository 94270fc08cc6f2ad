//! Renewal of the leader's lease, and confirmation that this controller still
//! leads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::clock::read_clocks;
use crate::response::MAX_POLL_TIME;
use crate::store::StoreError;

use super::ActiveLeader;

/// Share of the state service's request rate that may be used for renewals sent
/// early because a confirmation waits for one.
const CONFIRMATION_SHARE: f64 = 0.1;
/// The timeout of a renewal is the lifetime of the lease divided by this.
const RENEWAL_TIMEOUT_DIVISOR: u32 = 3;
/// The pause after a successful renewal is the lifetime divided by this.
const RENEWAL_INTERVAL_DIVISOR: u32 = 5;
/// The pause after a failed renewal is the lifetime divided by this.
const RETRY_INTERVAL_DIVISOR: u32 = 15;

/// Whether a renewal succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RenewalOutcome {
    /// The state service has renewed the lease.
    Renewed,
    /// The state service refused or did not answer; the lease may still be valid.
    Failed,
}

/// Number and outcome of the renewal that finished last.
#[derive(Debug, Clone, Copy)]
struct FinishedRenewal {
    /// Number of the renewal within the term, from 1; 0: none has finished yet.
    number: u64,
    outcome: RenewalOutcome,
}

/// The renewals of one term's lease, for tasks that wait for one.
#[derive(Debug)]
pub(super) struct LeaseRenewals {
    /// How many renewals have begun.
    begun: AtomicU64,
    last_finished: watch::Sender<FinishedRenewal>,
    /// Wakes `renew_lease`: a confirmation waits for a renewal that begins later.
    renewal_requested: Notify,
}

impl LeaseRenewals {
    pub(super) fn new() -> Self {
        Self {
            begun: AtomicU64::new(0),
            last_finished: watch::Sender::new(FinishedRenewal {
                number: 0,
                outcome: RenewalOutcome::Failed,
            }),
            renewal_requested: Notify::new(),
        }
    }

    /// Counts a renewal that is about to be sent; returns its number.
    fn begin(&self) -> u64 {
        self.begun.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn finish(&self, number: u64, outcome: RenewalOutcome) {
        self.last_finished
            .send_replace(FinishedRenewal { number, outcome });
    }

    /// Requests a renewal and waits for one that begins after this call, so that its
    /// success shows that this controller still led at the time of the call. `None`: none
    /// has finished within [`MAX_POLL_TIME`]. Before that renewal begins, one in progress has
    /// to finish, so the wait is up to twice as long as the state service takes to respond.
    async fn wait_for_new_renewal(&self) -> Option<RenewalOutcome> {
        let begun_before = self.begun.load(Ordering::Relaxed);
        let mut last_finished = self.last_finished.subscribe();
        self.renewal_requested.notify_one();
        let new_renewal = last_finished.wait_for(|renewal| renewal.number > begun_before);
        let renewal = timeout(MAX_POLL_TIME, new_renewal).await.ok()?.ok()?;
        Some(renewal.outcome)
    }
}

impl ActiveLeader {
    /// Renews the lease periodically. Ends the term once the state service no longer
    /// has the lease.
    pub(super) async fn renew_lease(self: Arc<Self>) {
        let lifetime = self.controller.operator_settings().leader_lease;
        let request_rate = self.controller.deployment().cluster.state.rps;
        let min_interval = Duration::from_secs_f64(1.0 / (request_rate * CONFIRMATION_SHARE));
        loop {
            let sent = read_clocks();
            let number = self.renewals.begin();
            let renewal = self
                .controller
                .store()
                .renew_lease(self.lease, lifetime / RENEWAL_TIMEOUT_DIVISOR);
            let pause = match renewal.await {
                Ok(()) => {
                    let took_ms = sent.steady.elapsed().as_millis() as u64;
                    debug!(number, took_ms, "leader's lease renewed");
                    self.authority.lock().renewed(sent);
                    self.renewals.finish(number, RenewalOutcome::Renewed);
                    lifetime / RENEWAL_INTERVAL_DIVISOR
                }
                Err(StoreError::LeaseNotFound { .. }) => {
                    info!(term = self.term, "the leader's lease has expired; the term ends");
                    return self.end_term();
                }
                Err(error) => {
                    let took_ms = sent.steady.elapsed().as_millis() as u64;
                    debug!(number, took_ms, %error, "renewal of the leader's lease failed, retrying");
                    self.renewals.finish(number, RenewalOutcome::Failed);
                    lifetime / RETRY_INTERVAL_DIVISOR
                }
            };
            // A waiting confirmation ends the pause early, but not earlier than
            // CONFIRMATION_SHARE allows.
            let _ = timeout(pause, self.renewals.renewal_requested.notified()).await;
            sleep(min_interval.min(pause).saturating_sub(sent.steady.elapsed())).await;
        }
    }

    /// Whether this controller still led when this was called: a renewal that began
    /// later has succeeded. The clocks can't show that, as they may be paused together
    /// with the process. Without the confirmation, a user to whom another leader has
    /// confirmed a newer state could get an older one from here.
    pub(super) async fn confirm_leadership(&self) -> bool {
        let began = Instant::now();
        let outcome = self.renewals.wait_for_new_renewal().await;
        let is_confirmed = outcome == Some(RenewalOutcome::Renewed);
        if !is_confirmed {
            let waited_ms = began.elapsed().as_millis() as u64;
            debug!(
                term = self.term,
                waited_ms,
                ?outcome,
                "leadership could not be confirmed"
            );
        }
        is_confirmed
    }
}
