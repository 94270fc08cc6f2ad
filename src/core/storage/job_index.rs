//! An index of the stored records of unfinished jobs: what each job depends on, and whether
//! it is cancelled.
//!
//! It is made from a listing of the records and brought up to date by the changes since. So
//! it takes one request to the state service to find out whether a job that another one
//! depends on is cancelled, however many jobs there are in between.

use std::collections::{HashMap, HashSet};

use crate::core::storage::record::{JobRecord, JOB_PREFIX};
use crate::wire::{JobId, JobKind, KeyValue, WatchResponse};

/// What the index keeps of a stored job.
#[derive(Debug, Clone, PartialEq)]
enum IndexedJob {
    Readable {
        kind: JobKind,
        awaits: Vec<JobId>,
        cancelled: bool,
    },
    /// The record can't be parsed.
    Unreadable,
}

impl IndexedJob {
    fn parse(record: &serde_json::Value) -> Self {
        match <JobRecord as serde::Deserialize>::deserialize(record) {
            Ok(record) => Self::Readable {
                kind: record.spec.kind,
                awaits: record.spec.awaits,
                cancelled: record.cancelled,
            },
            Err(_) => Self::Unreadable,
        }
    }
}

/// What the index says about jobs and all that they depend on, directly or indirectly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DependencyCheck {
    /// One of them is cancelled.
    Cancelled,
    /// The record of this one can't be parsed, so that it is not known.
    Unreadable(JobId),
    /// No unfinished one is cancelled. These are not unfinished, as far as the index knows:
    /// their outcomes decide.
    NotIndexed(Vec<JobId>),
}

/// The unfinished jobs as they were stored at some revision of the state service.
#[derive(Debug, Default)]
pub struct JobIndex {
    revision: u64,
    jobs: HashMap<JobId, IndexedJob>,
}

impl JobIndex {
    /// Makes the index from all keys with the prefix [`JOB_PREFIX`]. It is up to date once
    /// the changes after `revision` have been applied, when the listing began: later pages
    /// may show later revisions than earlier ones.
    pub fn new(items: &[KeyValue], revision: u64) -> Self {
        let mut index = Self {
            revision,
            jobs: HashMap::with_capacity(items.len()),
        };
        for item in items {
            index.put(&item.key, &item.value);
        }
        index
    }

    /// The revision that the index is up to date with.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies the changes of keys with the prefix [`JOB_PREFIX`] after the present revision,
    /// or after an earlier one. Changes that end at an earlier revision are ignored, as they
    /// are part of the index already.
    pub fn apply(&mut self, changes: &WatchResponse) {
        if changes.revision <= self.revision {
            return;
        }
        self.revision = changes.revision;
        for event in &changes.events {
            if let Some(key) = &event.put {
                self.put(key, &event.value);
            }
            if let Some(id) = event.delete.as_deref().and_then(id_of_key) {
                self.jobs.remove(&id);
            }
        }
    }

    fn put(&mut self, key: &str, record: &serde_json::Value) {
        if let Some(id) = id_of_key(key) {
            self.jobs.insert(id, IndexedJob::parse(record));
        }
    }

    /// The kind of an unfinished job, if its record is readable.
    pub fn kind(&self, id: JobId) -> Option<JobKind> {
        match self.jobs.get(&id)? {
            IndexedJob::Readable { kind, .. } => Some(*kind),
            IndexedJob::Unreadable => None,
        }
    }

    /// Whether an unfinished job depends on others.
    pub fn has_dependencies(&self, id: JobId) -> bool {
        matches!(self.jobs.get(&id), Some(IndexedJob::Readable { awaits, .. }) if !awaits.is_empty())
    }

    /// Checks these jobs and those that they depend on, directly or indirectly, except for
    /// those in `visited` and for what finished jobs depend on. Adds them to `visited`.
    pub fn check_dependencies(&self, jobs: &[JobId], visited: &mut HashSet<JobId>) -> DependencyCheck {
        let mut to_visit: Vec<JobId> = jobs.to_vec();
        let mut not_indexed = Vec::new();
        while let Some(id) = to_visit.pop() {
            if !visited.insert(id) {
                continue;
            }
            match self.jobs.get(&id) {
                Some(IndexedJob::Readable { cancelled: true, .. }) => return DependencyCheck::Cancelled,
                Some(IndexedJob::Readable { awaits, .. }) => to_visit.extend(awaits),
                Some(IndexedJob::Unreadable) => return DependencyCheck::Unreadable(id),
                None => not_indexed.push(id),
            }
        }
        DependencyCheck::NotIndexed(not_indexed)
    }
}

fn id_of_key(key: &str) -> Option<JobId> {
    key.strip_prefix(JOB_PREFIX)?.parse().ok()
}
