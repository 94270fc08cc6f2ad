//! Records in the state service, from which a new leader learns every accepted job. Which
//! task may be on which machine is in the log, see [`crate::core::storage::wal`].

use serde::{Deserialize, Serialize};

use crate::wire::{JobId, JobSpec, JobState};

/// Key of the leader's election, a [`LeaderRecord`].
pub const LEADER_KEY: &str = "leader";
/// Prefix of the keys of unfinished jobs, each a [`JobRecord`].
pub const JOB_PREFIX: &str = "jobs/";
/// Prefix of the keys of finished jobs, each a [`FinalRecord`].
pub const FINAL_PREFIX: &str = "final/";
/// Prefix of the keys of the write-ahead log's segments.
pub const SEGMENT_PREFIX: &str = "wal/";
/// Prefix of the inbox marks: one for each job that a follower stored, for the leader to
/// pick up.
pub const INBOX_PREFIX: &str = "inbox/";
/// Key of the teams' run-to-estimate ratios.
pub const RATIOS_KEY: &str = "ratios";
/// Key of the machine types, stored once a leader has read them from the cloud.
pub const MACHINE_TYPES_KEY: &str = "types";

/// Key of an unfinished job, a [`JobRecord`].
pub fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}
/// Key of a finished job, a [`FinalRecord`].
pub fn final_key(id: JobId) -> String {
    format!("{FINAL_PREFIX}{id}")
}
/// Key of a job's inbox mark.
pub fn inbox_key(id: JobId) -> String {
    format!("{INBOX_PREFIX}{id}")
}
/// Key of a segment of the log. The number is padded, so that keys sort by it.
pub fn segment_key(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:012}")
}

/// The elected leader: the value of [`LEADER_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leading controller.
    pub host: String,
    /// Random number of its process, to tell a restarted controller from its earlier
    /// process.
    pub nonce: u64,
}

/// An unfinished job, from its acceptance until its final state is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// Whether the job is cancelled; some of its tasks may not have ended yet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
}

/// A finished job: its final state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Either `done` or `cancelled`.
    pub state: JobState,
    /// How many of its tasks are done.
    pub done: u32,
    /// When the job ended, in milliseconds since the Unix epoch. The times of jobs that
    /// depend on it, such as their waiting time, count from then, also for a later leader.
    /// Earlier versions neither write nor need this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<u64>,
}
