//! What is kept in the state service: enough for a new leader to know every
//! accepted job and every machine that can hold a task.

use serde::{Deserialize, Serialize};

use crate::wire::{JobId, JobSpec, Standing, TaskId};

/// Key of the leader's election.
pub const LEADER: &str = "leader";
/// Prefix of unfinished jobs.
pub const JOBS: &str = "jobs/";
/// Prefix of done-pages of jobs too large for one record.
pub const BITS: &str = "bits/";
/// Prefix of finished jobs.
pub const FINALS: &str = "final/";
/// Prefix of machines.
pub const MACHINES: &str = "machines/";
/// Prefix of jobs stored by a follower, for the leader to pick up.
pub const INBOX: &str = "inbox/";
/// The teams' run-to-estimate ratios.
pub const RATIOS: &str = "ratios";
/// The machine types, once read.
pub const TYPES: &str = "types";

/// Key of an unfinished job.
pub fn job_key(id: JobId) -> String {
    format!("{JOBS}{id}")
}
/// Key of a finished job.
pub fn final_key(id: JobId) -> String {
    format!("{FINALS}{id}")
}
/// Key of a job's inbox mark.
pub fn inbox_key(id: JobId) -> String {
    format!("{INBOX}{id}")
}
/// Key of a done-page.
pub fn bits_key(id: JobId, page: u32) -> String {
    format!("{BITS}{id}/{page}")
}
/// Key of a machine.
pub fn machine_key(id: &str) -> String {
    format!("{MACHINES}{id}")
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
    pub at: u64,
    /// Cancelled; tasks may still have to go.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Done tasks of a job of one page.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub done: String,
}

/// A finished job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// `done` or `cancelled`.
    pub state: Standing,
    /// Tasks done.
    pub done: u32,
}

/// A machine, and each task that may be on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Where it takes commands; empty if not known yet.
    #[serde(default)]
    pub addr: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its tasks and their attempts.
    pub tasks: Vec<(TaskId, u64)>,
}
