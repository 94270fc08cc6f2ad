//! Bodies of the users' API: the job that is submitted, and its status.

use serde::{Deserialize, Deserializer, Serialize};

use super::ids::JobId;

/// How the tasks of a job run: separately, together, or without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// Tasks that run only together: either all of them are placed or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority of a job, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on capacity that other jobs leave over.
    #[serde(rename = "best_effort")]
    Low,
    /// The usual priority.
    #[serde(rename = "standard")]
    Normal,
    /// Goes before `Normal`.
    #[serde(rename = "high")]
    High,
    /// Goes before all others.
    #[serde(rename = "critical")]
    Production,
}

/// A job as its user submits it: the body of `POST /v2/runs`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id that the user chose; a repeated submission is recognized by it.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Job class, which selects the objectives that apply.
    #[serde(rename = "lot_class")]
    pub class: String,
    /// Name of the team whose quota and limit apply.
    #[serde(rename = "desk")]
    pub team: String,
    /// How its tasks run: separately, together, or without end.
    #[serde(rename = "sort")]
    pub kind: JobKind,
    /// Priority that the user chose.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, at most [`MAX_TASKS_PER_JOB`].
    #[serde(rename = "lots")]
    pub tasks: u32,
    /// CPUs that each task takes.
    pub cpus: f64,
    /// Accelerators that each task takes.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of each task in GB.
    pub memory_gb: f64,
    /// Image that a machine needs to run a task.
    #[serde(rename = "kit")]
    pub image: String,
    /// The image's size in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Names of the allowed machine types; `None`: all types.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Name of the only allowed zone; `None`: all zones.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether its tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds.
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    /// Interval between two checkpoints of a task, in seconds; 0: its tasks save none.
    #[serde(rename = "tally_s")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_grace_s: f64,
    /// Deadline for the whole job, in seconds from its submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// The job's dependencies: ids of the jobs that must be done before its tasks start.
    #[serde(
        default,
        deserialize_with = "null_as_empty",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub awaits: Vec<JobId>,
}

fn null_as_empty<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<JobId>, D::Error> {
    Ok(Option::deserialize(d)?.unwrap_or_default())
}

/// Most tasks that a job may have.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

impl JobSpec {
    /// Grace time that a task has to save a checkpoint when it is stopped; zero if its
    /// job saves no checkpoints.
    pub fn grace(&self) -> std::time::Duration {
        let s = if self.checkpoint_s > 0.0 {
            self.checkpoint_grace_s
        } else {
            0.0
        };
        std::time::Duration::from_secs_f64(s)
    }

    /// Checks the bounds of the values; the error is the JSON name of the first field that
    /// is found out of its bounds.
    pub fn check(&self) -> Result<(), &'static str> {
        let amounts = [
            ("accelerators", self.gpus),
            ("memory_gb", self.memory_gb),
            ("size_gb", self.image_gb),
            ("expected_s", self.estimate_s),
            ("tally_s", self.checkpoint_s),
            ("stow_s", self.checkpoint_grace_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (name, v) in amounts {
            if !v.is_finite() || !(0.0..=1e9).contains(&v) {
                return Err(name);
            }
        }
        if !(self.cpus.is_finite() && self.cpus > 0.0 && self.cpus <= 1e9) {
            return Err("cpus");
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS_PER_JOB {
            return Err("lots");
        }
        for (name, s) in [
            ("lot_class", &self.class),
            ("desk", &self.team),
            ("kit", &self.image),
        ] {
            if s.is_empty() || s.len() > 256 {
                return Err(name);
            }
        }
        if self.zone.as_ref().is_some_and(|z| z.is_empty() || z.len() > 256) {
            return Err("yard");
        }
        if let Some(types) = &self.machine_types {
            if types.is_empty() || types.iter().any(|t| t.is_empty() || t.len() > 256) {
                return Err("rigs");
            }
        }
        Ok(())
    }
}

/// State of a job, as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task runs at present.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks are done; the state is final.
    Done,
    /// The job, or a job that it depends on, was cancelled; the state is final.
    Cancelled,
}

/// Status of a job: the response to its submission, to its cancellation and to
/// `GET /v2/runs/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id under which its user submitted it.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// State that is shown to the user.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Number of tasks that are done, for display only.
    pub done: u32,
    /// Number of tasks that run, for display only.
    pub running: u32,
}
