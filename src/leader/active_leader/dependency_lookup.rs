//! Resolves dependencies on jobs that the model doesn't know, by reading their outcomes:
//! after a takeover, and if a job depends on one that finished long ago.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{sleep, timeout};
use tracing::info;

use crate::controller::job_lookup::StoredJob;
use crate::core::state::dependencies::DependencyOutcome;
use crate::core::storage::record::{self, FinalRecord};
use crate::store::StoreError;
use crate::wire::{JobId, JobState};

use super::moment::Moment;
use super::ActiveLeader;

/// Share of the state service's request rate that lookups may use, so that they
/// delay neither starts nor users' requests.
const LOOKUP_SHARE: f64 = 0.2;
/// Pause before lookups that failed are repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for a request before unresolved jobs are looked up anyway.
const MAX_LOOKUP_INTERVAL: Duration = Duration::from_secs(1);

impl ActiveLeader {
    /// Looks up the jobs of unresolved dependencies until the term ends. The look-ups begin
    /// one after the other, and don't wait for each other: a slow state service delays each of
    /// them, but not their rate.
    pub(super) async fn look_up_dependencies(self: Arc<Self>) {
        let request_rate = self.controller.deployment().cluster.state.rps;
        let spacing = Duration::from_secs_f64(1.0 / (request_rate * LOOKUP_SHARE));
        loop {
            let unresolved: Vec<JobId> = {
                let model = self.model.lock();
                model.dependencies().unresolved().iter().copied().collect()
            };
            let delays = (0..).map(|n: u32| spacing * n);
            let lookups = unresolved
                .into_iter()
                .zip(delays)
                .map(|(id, delay)| self.look_up_dependency_after(delay, id));
            let any_failed = join_all(lookups).await.iter().any(Result::is_err);
            if any_failed {
                sleep(RETRY_PAUSE).await;
            } else {
                let _ = timeout(MAX_LOOKUP_INTERVAL, self.lookup_requested.notified()).await;
            }
        }
    }

    async fn look_up_dependency_after(&self, delay: Duration, id: JobId) -> Result<(), StoreError> {
        sleep(delay).await;
        match self.controller.look_up_likely_finished_job(id).await? {
            StoredJob::Unfinished(record, version) => self.add_stored_job(*record, version),
            StoredJob::Finished(_) => self.resolve_after_lookup(id),
            StoredJob::NeverAccepted => {
                info!(job = %id, "a job that others depend on is not stored; it is looked up again");
                return Err(StoreError::KeyNotFound {
                    key: record::job_key(id),
                });
            }
        }
        Ok(())
    }

    /// Resolves the dependencies whose final records are in memory; requests a
    /// lookup of the others.
    pub(super) fn resolve_from_memory(&self) {
        let now = Moment::now();
        let mut model = self.model.lock();
        let final_states = self.controller.final_states();
        let unresolved: Vec<JobId> = model.dependencies().unresolved().iter().copied().collect();
        let mut resolved = 0;
        for id in &unresolved {
            if let Some(record) = final_states
                .final_record(*id)
                .filter(|record| is_sufficient(record))
            {
                model.resolve_dependency(*id, outcome_of(record, now));
                resolved += 1;
            }
        }
        drop((final_states, model));
        if resolved < unresolved.len() {
            self.lookup_requested.notify_one();
        }
        if resolved > 0 {
            self.request_round();
        }
    }

    /// Resolves a dependency whose final record has just been read, even if the record
    /// has no end time: the state service has no other.
    fn resolve_after_lookup(&self, id: JobId) {
        let now = Moment::now();
        let mut model = self.model.lock();
        if let Some(record) = self.controller.final_states().final_record(id) {
            model.resolve_dependency(id, outcome_of(record, now));
        }
        drop(model);
        self.request_round();
    }
}

/// Whether a final record in memory resolves a dependency without a lookup. A record
/// learned from another controller's response has no end time; the stored one may.
fn is_sufficient(record: &FinalRecord) -> bool {
    record.state == JobState::Cancelled || record.ended_at.is_some()
}

/// The outcome of a finished job, for the jobs that depend on it.
fn outcome_of(record: &FinalRecord, now: Moment) -> DependencyOutcome {
    if record.state == JobState::Cancelled {
        return DependencyOutcome::Cancelled;
    }
    // Earlier versions of this program store no end time. Jobs that ended under them
    // are older than any job that could depend on them.
    DependencyOutcome::Done(record.ended_at.and_then(|ended_at| now.instant_of(ended_at)))
}
