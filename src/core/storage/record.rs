//! What is kept in the state service: enough for a new leader to know every
//! accepted job; what may be on which machine is in the log, see [`crate::core::storage::wal`].

use serde::{Deserialize, Serialize};

use crate::wire::{JobId, JobSpec, JobState};

/// Key of the leader's election.
pub const LEADER_KEY: &str = "leader";
/// Prefix of unfinished jobs.
pub const JOB_PREFIX: &str = "jobs/";
/// Prefix of finished jobs.
pub const FINAL_PREFIX: &str = "final/";
/// Prefix of the segments of the write-ahead log.
pub const SEGMENT_PREFIX: &str = "wal/";
/// Prefix of jobs stored by a follower, for the leader to pick up.
pub const INBOX_PREFIX: &str = "inbox/";
/// The teams' run-to-estimate ratios.
pub const RATIOS_KEY: &str = "ratios";
/// The machine types, once read.
pub const MACHINE_TYPES_KEY: &str = "types";

/// Key of an unfinished job.
pub fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}
/// Key of a finished job.
pub fn final_key(id: JobId) -> String {
    format!("{FINAL_PREFIX}{id}")
}
/// Key of a job's inbox mark.
pub fn inbox_key(id: JobId) -> String {
    format!("{INBOX_PREFIX}{id}")
}
/// Key of a segment of the log; their order is that of their numbers.
pub fn segment_key(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:012}")
}

/// The election.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leading controller.
    pub host: String,
    /// Drawn by each process, to tell it from its earlier self.
    pub nonce: u64,
}

/// An unfinished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What its user submitted.
    pub spec: JobSpec,
    /// When, in milliseconds of the time of day.
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// Cancelled; tasks may still have to go.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
}

/// A finished job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// `done` or `cancelled`.
    pub state: JobState,
    /// Tasks done.
    pub done: u32,
    /// When it ended, in milliseconds of the time of day: the times of jobs that
    /// wait for it count from then, also for a later leader. Earlier versions
    /// neither write nor need it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<u64>,
}
