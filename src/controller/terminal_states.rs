//! A cache of the terminal states of jobs.

use std::collections::{HashMap, VecDeque};

use crate::core::storage::record::FinalRecord;
use crate::wire::{JobId, JobStatus};

/// Most terminal states that are kept; older ones are read from the state service.
const MAX_RECORDS: usize = 50_000;

/// The terminal states of the jobs that ended last, as far as this process has read or
/// stored them. A terminal state never changes, so that none of these is out of date.
#[derive(Debug, Default)]
pub struct TerminalStates {
    records: HashMap<JobId, FinalRecord>,
    /// The jobs in the order in which they were added.
    order: VecDeque<JobId>,
}

impl TerminalStates {
    /// Adds a terminal state; beyond `MAX_RECORDS`, the one added first goes. The time of
    /// the end is kept if it is known already and `record` has none.
    pub fn insert(&mut self, id: JobId, record: FinalRecord) {
        let ended_at = record.ended_at;
        match self.records.insert(id, record) {
            None => self.order.push_back(id),
            // A status that another controller sent has no time of the end.
            Some(old) if ended_at.is_none() => {
                self.records
                    .entry(id)
                    .and_modify(|record| record.ended_at = old.ended_at);
            }
            Some(_) => {}
        }
        if self.order.len() > MAX_RECORDS {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }

    /// The record of a job that ended, if it is kept here.
    pub fn record(&self, id: JobId) -> Option<&FinalRecord> {
        self.records.get(&id)
    }

    /// The status of a job that ended, if it is kept here.
    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        self.records.get(&id).map(|record| terminal_status(id, record))
    }
}

/// The status that users see of a job that ended.
pub(super) fn terminal_status(id: JobId, record: &FinalRecord) -> JobStatus {
    JobStatus {
        id,
        state: record.state,
        done: record.done,
        running: 0,
    }
}
