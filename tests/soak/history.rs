//! The history of a run, as seen from outside: what workers ran and when, and which
//! responses users received.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use bitternfold::wire::{JobId, JobState, TaskId};

/// What a user submitted.
#[derive(Debug, Clone)]
pub struct Submitted {
    pub tasks: u32,
    pub cpus: f64,
    pub team: String,
    pub zone: Option<String>,
    pub awaits: Vec<JobId>,
}

/// What a response says of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatusResponse {
    Known(JobState),
    NotFound,
}

/// Something that was seen, at a time since the beginning.
#[derive(Debug, Clone)]
pub enum Event {
    /// A job was accepted.
    Accepted(JobId),
    /// A valid submission got 400 or 422.
    Refused { job: JobId, status: u16 },
    /// A user is about to send the first request for its cancellation.
    CancelRequested(JobId),
    /// A user received a response to a request that was sent at `sent`.
    Responded {
        job: JobId,
        sent: Duration,
        response: StatusResponse,
    },
    /// A worker started a task.
    Started {
        task: TaskId,
        machine: String,
        zone: String,
    },
    /// It is on its machine no longer; `done` says whether it had completed.
    Ended {
        task: TaskId,
        machine: String,
        done: bool,
    },
}

/// A broken rule and what shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub evidence: String,
}

/// All events of a run, in the order of time, and what the rules need to judge them.
#[derive(Debug, Default, Clone)]
pub struct History {
    pub jobs: BTreeMap<JobId, Submitted>,
    /// The quota of each team that has one, in CPUs.
    pub team_cpus: BTreeMap<String, f64>,
    /// How long a task may outlive the confirmed cancellation of its job.
    pub cancel: Duration,
    pub events: Vec<(Duration, Event)>,
    /// When the run ended; no task may run any more.
    pub end: Duration,
}
