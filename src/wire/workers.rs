//! Bodies of the protocol with the workers: heartbeats (`POST /v1/report` at a
//! controller) and commands (in the response, or `POST /commands` at the worker).

use serde::{Deserialize, Serialize};

use super::ids::{MachineId, TaskId};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Its image is being fetched.
    #[serde(rename = "fetching")]
    Fetching,
    /// Has its image and waits for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It was stopped by a command and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// It ended, see [`ExitReason`]; listed until it is acknowledged.
    #[serde(rename = "ended")]
    Ended,
}

/// Why an attempt of a task ended, or was not started.
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
    InsufficientResources,
    /// Refused: another attempt of it is on the machine.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// Refused: the worker has no such attempt.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Another task of its gang ended or was lost.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The other tasks of its gang did not come in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// A reason that this version does not know; treated as a failure.
    #[serde(other, rename = "other")]
    Other,
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// The task.
    #[serde(rename = "lot")]
    pub task: TaskId,
    /// The attempt; each start of the task has another number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it ended, if it did.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether it saved a checkpoint, if it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat, the body of `POST /v1/report`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of its machine.
    #[serde(rename = "rack")]
    pub machine: MachineId,
    /// Address (host and port) at which it takes commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of its machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Name of its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Incarnation of the worker: the agent's process.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number within the incarnation; a lower one is outdated.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen; it refuses lower ones.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Time until the cloud reclaims a spot machine, in seconds, once it is announced.
    #[serde(rename = "recall_s", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "lots", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A command to a worker about one attempt of a task.
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
    /// Stop an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "lot")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that it has for a checkpoint, in seconds.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// List an ended attempt in no more heartbeats.
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

/// Response to a [`Heartbeat`] (200); it renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response to a [`Heartbeat`] that another controller is to get (421).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller that heartbeats are to be sent to, if one is known.
    #[serde(rename = "answer_to", skip_serializing_if = "Option::is_none", default)]
    pub report_to: Option<String>,
}

/// Body of `POST /commands`: commands sent to the worker directly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Incarnation that they are meant for; another one refuses them.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
