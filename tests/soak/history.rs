//! The history of a run as observed from outside: what the workers ran and when, and
//! which responses the users received.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use bitternfold::wire::{JobId, JobState, TaskId};

/// The properties of a submitted job that the rules need.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    pub tasks: u32,
    pub cpus: f64,
    pub team: String,
    pub zone: Option<String>,
    /// Jobs that it depends on directly.
    pub awaits: Vec<JobId>,
}

/// What a response says about a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatusResponse {
    Known(JobState),
    NotFound,
}

/// Something that was observed during a run.
#[derive(Debug, Clone)]
pub enum Event {
    /// A job was accepted.
    Accepted(JobId),
    /// A valid submission was refused with 400 or 422.
    Refused { job: JobId, status: u16 },
    /// A user is about to send the first request to cancel this job.
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
    /// A task is no longer on its machine; `done` says whether it had completed.
    Ended {
        task: TaskId,
        machine: String,
        done: bool,
    },
}

/// A broken rule and the observation that shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub evidence: String,
}

/// All events of a run, and what the rules need to judge them.
#[derive(Debug, Default, Clone)]
pub struct History {
    pub jobs: BTreeMap<JobId, SubmittedJob>,
    /// The quota of each team that has one, in CPUs.
    pub team_cpus: BTreeMap<String, f64>,
    /// How long a task may run on after the cancellation of its job was confirmed.
    pub cancel_deadline: Duration,
    /// Each with its time since the start of the run, and sorted by it.
    pub events: Vec<(Duration, Event)>,
    /// When the run ended, after which no task may run.
    pub end: Duration,
}
