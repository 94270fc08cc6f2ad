//! Bodies of the protocol with workers: reports and commands.

use serde::{Deserialize, Serialize};

use super::ids::{MachineId, TaskId};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Has its image and waits for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended, see [`ExitReason`].
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Failed,
    /// Refused: not enough free resources.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: here with another attempt.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// Refused: not known to the worker.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Another task of its gang is gone.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The other tasks of its gang did not come in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// A reason that this version does not know; treated as a failure.
    #[serde(other, rename = "other")]
    Other,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// The task.
    #[serde(rename = "lot")]
    pub task: TaskId,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether it saved its progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "rack")]
    pub machine: MachineId,
    /// Where it takes commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Its type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session of the worker.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence in the session.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "recall_s", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "lots", default)]
    pub tasks: Vec<ReportedTask>,
}

/// What a worker is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Command {
    /// Start an attempt of a task.
    Start {
        /// The task.
        #[serde(rename = "lot")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop it.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "lot")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time it has to save.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Drop an ended attempt from the reports.
    #[serde(rename = "reap")]
    Acknowledge {
        /// The task.
        #[serde(rename = "lot")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Token.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of 421.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to report to.
    #[serde(rename = "answer_to", skip_serializing_if = "Option::is_none", default)]
    pub report_to: Option<String>,
}

/// Body of `POST /commands`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Token.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Session they are meant for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
