//! A cache of the final states of jobs.

use std::collections::{HashMap, VecDeque};

use crate::core::storage::record::FinalRecord;
use crate::wire::{JobId, JobStatus};

/// Maximum number of cached final states; others are read from the state service.
const MAX_RECORDS: usize = 50_000;

/// The final states that this process has read or stored, those of the `MAX_RECORDS` jobs
/// that were inserted last. A final state never changes, so a cached one is never out of
/// date.
#[derive(Debug, Default)]
pub struct FinalStates {
    records: HashMap<JobId, FinalRecord>,
    /// The jobs of `records`, the one inserted first in front.
    insertion_order: VecDeque<JobId>,
}

impl FinalStates {
    /// Inserts a final state; beyond `MAX_RECORDS`, the one inserted first is removed. If
    /// `record` has no time of the end, a time that is cached already stays.
    pub fn insert(&mut self, id: JobId, record: FinalRecord) {
        let ended_at = record.ended_at;
        match self.records.insert(id, record) {
            None => self.insertion_order.push_back(id),
            // A record made from another controller's response has no time of the end.
            Some(old) if ended_at.is_none() => {
                self.records
                    .entry(id)
                    .and_modify(|record| record.ended_at = old.ended_at);
            }
            Some(_) => {}
        }
        if self.insertion_order.len() > MAX_RECORDS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }

    /// The record of a finished job, if it is cached.
    pub fn final_record(&self, id: JobId) -> Option<&FinalRecord> {
        self.records.get(&id)
    }

    /// The status of a finished job, if it is cached.
    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        self.records.get(&id).map(|record| final_status(id, record))
    }
}

/// The status that users get of a finished job.
pub(super) fn final_status(id: JobId, record: &FinalRecord) -> JobStatus {
    JobStatus {
        id,
        state: record.state,
        done: record.done,
        running: 0,
    }
}
