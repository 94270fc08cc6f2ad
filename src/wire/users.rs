//! Bodies of the users' API: the job that is submitted, and its status.

use serde::{Deserialize, Deserializer, Serialize};

use super::ids::JobId;

/// How a job's tasks run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// Tasks that run only together: placed whole.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority; the greater comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Runs in what is left over.
    #[serde(rename = "best_effort")]
    Low,
    /// The ordinary one.
    #[serde(rename = "standard")]
    Normal,
    /// Before the ordinary one.
    #[serde(rename = "high")]
    High,
    /// Before all others.
    #[serde(rename = "critical")]
    Production,
}

/// A job as its user submits it: the body of `POST /v2/runs`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by the user; a repeated submission is recognized by it.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Job class, by which objectives apply.
    #[serde(rename = "lot_class")]
    pub class: String,
    /// Team whose quota and limit apply.
    #[serde(rename = "desk")]
    pub team: String,
    /// How its tasks run.
    #[serde(rename = "sort")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "lots")]
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Accelerators of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of each task in GB.
    pub memory_gb: f64,
    /// Image that a machine must have.
    #[serde(rename = "kit")]
    pub image: String,
    /// The image's size in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Names of the allowed machine types; `None`: all.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Name of the only allowed zone; `None`: all.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in the same zone.
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds.
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    /// Interval between two checkpoints of a task in seconds; 0: it saves none.
    #[serde(rename = "tally_s")]
    pub checkpoint_s: f64,
    /// Time that a task needs for a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_grace_s: f64,
    /// Deadline for the whole job, in seconds from its submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Ids of the jobs that must be done before any task of this one starts.
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

/// Most tasks of a job.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

impl JobSpec {
    /// Time that a task is given for a checkpoint when it is stopped: none if it saves
    /// none.
    pub fn grace(&self) -> std::time::Duration {
        let s = if self.checkpoint_s > 0.0 {
            self.checkpoint_grace_s
        } else {
            0.0
        };
        std::time::Duration::from_secs_f64(s)
    }

    /// Checks the values; the error is the JSON name of the first field that is out of
    /// its bounds.
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

/// State of a job in a response to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task runs.
    Queued,
    /// A task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

/// Response to a user about a job: to its submission, its cancellation and
/// `GET /v2/runs/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Number of tasks done, for display only.
    pub done: u32,
    /// Number of tasks running, for display only.
    pub running: u32,
}
