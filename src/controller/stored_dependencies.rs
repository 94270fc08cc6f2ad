//! Dependencies of jobs as they are stored, for responses that can't come from the leader's
//! model.
//!
//! The number of requests that a response waits for, one after the other, does not depend on
//! how many jobs a job depends on, or on how long the chains of these are. One request brings
//! the index of unfinished jobs up to date; the outcomes of the finished jobs next to them are
//! read at the same time, each of them once, as they never change.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::sync::OnceCell;
use tracing::debug;

use crate::controller::Controller;
use crate::core::storage::job_index::{DependencyCheck, JobIndex};
use crate::core::storage::record::{self, JOB_PREFIX};
use crate::store::StoreError;
use crate::wire::{JobId, JobState};

use super::job_lookup::StoredJob;

/// The index of unfinished jobs, shared by all responses of a controller.
pub type SharedJobIndex = Arc<Mutex<JobIndex>>;

/// The index of a controller, loaded when it is first needed, by one caller for all that wait
/// for it.
pub(super) type JobIndexCell = Arc<OnceCell<SharedJobIndex>>;

impl Controller {
    /// The index of unfinished jobs, with all that was stored before this call.
    pub(super) async fn up_to_date_job_index(&self) -> Result<SharedJobIndex, StoreError> {
        match self.update_job_index().await {
            Err(StoreError::RevisionTooOld { .. }) => {
                // The changes since the index was last used are no longer kept.
                *self.job_index.lock() = JobIndexCell::default();
                self.update_job_index().await
            }
            result => result,
        }
    }

    async fn update_job_index(&self) -> Result<SharedJobIndex, StoreError> {
        let cell = self.job_index.lock().clone();
        let index = cell.get_or_try_init(|| self.load_job_index()).await?;
        let since = index.lock().revision();
        let changes = self.store.changes_for_user(JOB_PREFIX, since).await?;
        index.lock().apply(&changes);
        Ok(index.clone())
    }

    async fn load_job_index(&self) -> Result<SharedJobIndex, StoreError> {
        let listing = self.store.list(JOB_PREFIX).await?;
        debug!(jobs = listing.items.len(), "index of unfinished jobs loaded");
        let index = JobIndex::new(&listing.items, listing.first_revision);
        Ok(Arc::new(Mutex::new(index)))
    }

    /// The up-to-date index if a job is already known to depend on others, so that its
    /// response will need it; `None` if not, or if the index can't be read.
    pub(super) async fn prefetch_job_index(&self, id: JobId) -> Option<SharedJobIndex> {
        let cell = self.job_index.lock().clone();
        if !cell.get()?.lock().has_dependencies(id) {
            return None;
        }
        self.up_to_date_job_index().await.ok()
    }

    /// Whether one of the jobs, or any job that they depend on directly or indirectly, is
    /// cancelled. `index` is used if the caller has an up-to-date one.
    pub(super) async fn any_cancelled(
        &self,
        jobs: &[JobId],
        index: Option<SharedJobIndex>,
    ) -> Result<bool, StoreError> {
        if jobs.is_empty() {
            return Ok(false);
        }
        let began = Instant::now();
        let index = match index {
            Some(index) => index,
            None => self.up_to_date_job_index().await?,
        };
        let mut visited = HashSet::new();
        let mut unchecked = jobs.to_vec();
        let mut outcomes = 0;
        // Nearly always one pass: only jobs that were accepted after the index was brought up
        // to date cause another.
        while !unchecked.is_empty() {
            let check = index.lock().check_dependencies(&unchecked, &mut visited);
            let not_indexed = match check {
                DependencyCheck::Cancelled => return Ok(true),
                DependencyCheck::Unreadable(id) => return Err(unreadable_record(id)),
                DependencyCheck::NotIndexed(jobs) => jobs,
            };
            outcomes += not_indexed.len();
            unchecked.clear();
            for found in self.look_up_likely_finished_jobs(&not_indexed).await? {
                match found {
                    StoredJob::Finished(status) if status.state == JobState::Cancelled => return Ok(true),
                    StoredJob::Unfinished(record, _) if record.cancelled => return Ok(true),
                    StoredJob::Unfinished(record, _) => unchecked.extend(record.spec.awaits),
                    StoredJob::Finished(_) | StoredJob::NeverAccepted => {}
                }
            }
        }
        let took_ms = began.elapsed().as_millis() as u64;
        debug!(
            visited = visited.len(),
            outcomes, took_ms, "stored dependencies of a job checked"
        );
        Ok(false)
    }

    /// Looks up jobs that are most likely finished, all at the same time; returns them in the
    /// same order. Those whose final states are cached cost no request. All look-ups are
    /// completed even if one of them fails, so that the outcomes are cached for the next time.
    pub(super) async fn look_up_likely_finished_jobs(
        &self,
        jobs: &[JobId],
    ) -> Result<Vec<StoredJob>, StoreError> {
        let lookups = jobs.iter().map(|id| self.cached_or_looked_up(*id));
        join_all(lookups).await.into_iter().collect()
    }

    async fn cached_or_looked_up(&self, id: JobId) -> Result<StoredJob, StoreError> {
        let cached = self.final_states().status(id);
        match cached {
            Some(status) => Ok(StoredJob::Finished(status)),
            None => self.look_up_likely_finished_job(id).await,
        }
    }

    /// [`Self::look_up_job`] for a job that is most likely finished: reads its final state
    /// first, and nothing else if that exists.
    pub async fn look_up_likely_finished_job(&self, id: JobId) -> Result<StoredJob, StoreError> {
        match self.read_final_state(id).await? {
            Some(status) => Ok(StoredJob::Finished(status)),
            None => self.look_up_job(id).await,
        }
    }
}

fn unreadable_record(id: JobId) -> StoreError {
    StoreError::UnreadableValue {
        key: record::job_key(id),
        source: None,
    }
}
