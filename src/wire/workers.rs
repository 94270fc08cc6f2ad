//! Bodies of the protocol with the workers: heartbeats (`POST /v1/report` to a controller)
//! and commands (in the response to a heartbeat, or `POST /commands` to the worker).

use serde::{Deserialize, Serialize};

use super::ids::{MachineId, TaskId};

/// State of an attempt of a task, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The machine fetches its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Its image is there; it waits for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// Its program runs on the machine.
    #[serde(rename = "running")]
    Running,
    /// It was ordered to stop and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// It ended for an [`ExitReason`]; it is reported until it is acknowledged.
    #[serde(rename = "ended")]
    Ended,
}

/// Why an attempt of a task ended, or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// It ran to completion, so its task is done.
    #[serde(rename = "done")]
    Done,
    /// A command stopped it, before it was done.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed, without a command.
    #[serde(rename = "error")]
    Failed,
    /// The start was refused: the machine lacks free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The start was refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The command was refused: the worker has no such attempt.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Another task of its gang ended or is gone.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The other tasks of its gang were not ready in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// A reason that this version doesn't know; it counts as a failure.
    #[serde(other, rename = "other")]
    Other,
}

/// An attempt of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Id of the task that the attempt is of.
    #[serde(rename = "lot")]
    pub task: TaskId,
    /// Number of the attempt; each start of the task has a different one.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt when the heartbeat was sent.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it ended; absent until then.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether it saved a checkpoint; absent until it ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat, the body of `POST /v1/report`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the worker's machine.
    #[serde(rename = "rack")]
    pub machine: MachineId,
    /// Address (host and port) at which the worker takes commands.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Name of the machine's type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Name of the machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Incarnation of the worker's process; incremented when the worker restarts or its
    /// lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number within the incarnation; a message with a lower one is outdated.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen; it refuses lower ones.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Time until the cloud reclaims the machine, in seconds; absent before a spot notice.
    #[serde(rename = "recall_s", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, with those that ended and are not acknowledged.
    #[serde(rename = "lots", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A command to a worker about one attempt of a task.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Command {
    /// Start an attempt of a task.
    Start {
        /// Id of the task to start.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the new attempt; the same when the command is repeated.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt, with a grace time to save a checkpoint.
    #[serde(rename = "kill")]
    Stop {
        /// Id of the task to stop.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the attempt to stop; no other is affected.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace time that it has to save a checkpoint, in seconds.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Acknowledge an ended attempt: the worker forgets it and reports it no more.
    #[serde(rename = "reap")]
    Acknowledge {
        /// Id of the task whose attempt ended.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the attempt that ended.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The leader's response to a [`Heartbeat`] (status 200); it renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token; the worker refuses tokens lower than it has seen.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response to a [`Heartbeat`] that must go to another controller (status 421).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller to send heartbeats to, if it is known.
    #[serde(rename = "answer_to", skip_serializing_if = "Option::is_none", default)]
    pub report_to: Option<String>,
}

/// Body of `POST /commands`: commands sent to the worker directly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Fencing token that is issued for this batch only.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Worker incarnation that the commands are meant for; any other refuses them.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
