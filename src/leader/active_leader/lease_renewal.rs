//! Renewal of the leader's lease, and confirmation that this controller still
//! leads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::clock::read_clocks;
use crate::store::StoreError;

use super::ActiveLeader;

/// Share of the state service's requests that may go into renewals that a
/// confirmation waits for.
const CONFIRMATION_SHARE: f64 = 0.1;
/// How long a response may wait to be confirmed.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction of the lease that one renewal may take.
const RENEWAL_TIMEOUT_DIVISOR: u32 = 3;
/// Fraction of the lease between a renewal and the next one.
const RENEWAL_INTERVAL_DIVISOR: u32 = 5;
/// Fraction of the lease between a failed renewal and the next attempt.
const RETRY_INTERVAL_DIVISOR: u32 = 15;

/// How a renewal ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RenewalOutcome {
    /// The state service has renewed the lease.
    Renewed,
    /// It refused or did not answer; the lease may still hold.
    Failed,
}

/// A renewal that has ended.
#[derive(Debug, Clone, Copy)]
struct FinishedRenewal {
    /// Its number within the term, from 1; 0: none has ended yet.
    number: u64,
    outcome: RenewalOutcome,
}

/// The renewals of one term's lease, for those who wait for one.
#[derive(Debug)]
pub(super) struct LeaseRenewals {
    /// How many have begun.
    begun: AtomicU64,
    latest: watch::Sender<FinishedRenewal>,
    /// A confirmation waits for a renewal that begins from now on.
    renewal_requested: Notify,
}

impl LeaseRenewals {
    pub(super) fn new() -> Self {
        Self {
            begun: AtomicU64::new(0),
            latest: watch::Sender::new(FinishedRenewal {
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
        self.latest.send_replace(FinishedRenewal { number, outcome });
    }

    /// Asks for a renewal and waits for it: one that begins after this call, so
    /// that its success holds for everything known before. `None`: none has
    /// ended in time.
    async fn renewed_from_now(&self) -> Option<RenewalOutcome> {
        let begun_before = self.begun.load(Ordering::Relaxed);
        let mut latest = self.latest.subscribe();
        self.renewal_requested.notify_one();
        let begun_later = latest.wait_for(|renewal| renewal.number > begun_before);
        let renewal = timeout(CONFIRMATION_TIMEOUT, begun_later).await.ok()?.ok()?;
        Some(renewal.outcome)
    }
}

impl ActiveLeader {
    /// Renews the lease until the state service no longer has it, which ends the
    /// term.
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
                    self.authority.lock().renewed(sent);
                    self.renewals.finish(number, RenewalOutcome::Renewed);
                    lifetime / RENEWAL_INTERVAL_DIVISOR
                }
                Err(StoreError::LeaseNotFound { .. }) => {
                    info!(term = self.term, "the leader's lease has expired");
                    return self.end();
                }
                Err(error) => {
                    debug!(%error, "renewal of the leader's lease failed");
                    self.renewals.finish(number, RenewalOutcome::Failed);
                    lifetime / RETRY_INTERVAL_DIVISOR
                }
            };
            // Sooner if a confirmation waits, within its share of the requests.
            let _ = timeout(pause, self.renewals.renewal_requested.notified()).await;
            sleep(min_interval.min(pause).saturating_sub(sent.steady.elapsed())).await;
        }
    }

    /// Whether this controller still led after the call: a renewal that began
    /// later has succeeded. A process may be paused together with its clocks, and
    /// then no time shows that its state is outdated; a user to whom another
    /// leader has confirmed a newer state must not get an older one.
    pub(super) async fn confirm_leadership(&self) -> bool {
        self.renewals.renewed_from_now().await == Some(RenewalOutcome::Renewed)
    }
}
