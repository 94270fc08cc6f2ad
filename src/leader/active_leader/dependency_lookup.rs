//! Looking up how jobs ended that others wait for and that the model doesn't
//! know: after a takeover, and where a job names one that ended long ago.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};
use tracing::info;

use crate::clock::unix_time_ms;
use crate::controller::job_lookup::StoredJob;
use crate::core::state::dependencies::DependencyOutcome;
use crate::core::storage::record::{self, FinalRecord};
use crate::store::StoreError;
use crate::wire::{JobId, JobState};

use super::ActiveLeader;

/// Share of the state service's requests that lookups may take, so that they
/// delay neither starts nor users.
const LOOKUP_SHARE: f64 = 0.2;
/// Pause before what couldn't be looked up is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

impl ActiveLeader {
    /// Looks up unresolved jobs, one after the other, as long as the term lasts.
    pub(super) async fn look_up_dependencies(self: Arc<Self>) {
        let rps = self.controller.deployment().cluster.state.rps;
        let spacing = Duration::from_secs_f64(1.0 / (rps * LOOKUP_SHARE));
        loop {
            let unresolved: Vec<JobId> = {
                let model = self.model.lock();
                model.dependencies().unresolved().iter().copied().collect()
            };
            let mut failed = false;
            for id in unresolved {
                failed |= self.look_up_dependency(id).await.is_err();
                sleep(spacing).await;
            }
            if failed {
                sleep(RETRY_PAUSE).await;
            } else {
                let _ = timeout(Duration::from_secs(1), self.lookup_requested.notified()).await;
            }
        }
    }

    async fn look_up_dependency(&self, id: JobId) -> Result<(), StoreError> {
        match self.controller.lookup(id).await? {
            StoredJob::Unfinished(record, version) => self.admit(*record, version),
            StoredJob::Finished(_) => self.resolve(id),
            StoredJob::NeverAccepted => {
                info!(job = %id, "jobs wait for one that is not stored; it is looked up again");
                return Err(StoreError::NotFound {
                    key: record::job_key(id),
                });
            }
        }
        Ok(())
    }

    /// Resolves what final states at hand tell; the rest is looked up soon.
    pub(super) fn resolve_from_memory(&self) {
        let (now, wall) = (Instant::now(), unix_time_ms());
        let mut model = self.model.lock();
        let finals = self.controller.terminal_states();
        let unresolved: Vec<JobId> = model.dependencies().unresolved().iter().copied().collect();
        let mut resolved = 0;
        for id in &unresolved {
            // What passed by in an answer tells no time; the stored record may.
            let at_hand = |r: &&FinalRecord| r.state == JobState::Cancelled || r.ended_at.is_some();
            if let Some(record) = finals.record(*id).filter(at_hand) {
                model.resolve_dependency(*id, outcome_of(record, now, wall));
                resolved += 1;
            }
        }
        drop((finals, model));
        if resolved < unresolved.len() {
            self.lookup_requested.notify_one();
        }
        if resolved > 0 {
            self.request_round();
        }
    }

    /// Resolves a job whose final record has just been read.
    fn resolve(&self, id: JobId) {
        let (now, wall) = (Instant::now(), unix_time_ms());
        let mut model = self.model.lock();
        if let Some(record) = self.controller.terminal_states().record(id) {
            model.resolve_dependency(id, outcome_of(record, now, wall));
        }
        drop(model);
        self.request_round();
    }
}

/// What a final record tells of a job that others wait for.
fn outcome_of(record: &FinalRecord, now: Instant, unix_time_ms: u64) -> DependencyOutcome {
    if record.state == JobState::Cancelled {
        return DependencyOutcome::Cancelled;
    }
    // Earlier versions store no time; what they ended is older than any job
    // that could wait for it.
    let since = record.ended_at.and_then(|ended_at| {
        let age = Duration::from_millis(unix_time_ms.saturating_sub(ended_at));
        now.checked_sub(age)
    });
    DependencyOutcome::Done(since)
}
