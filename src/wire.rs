//! Typed JSON bodies of the four protocols. The deployment's field names are
//! renamed onto the field's standard terms: team, task, priority, zone, token,
//! lease and so on.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Largest request body.
pub const BODY_LIMIT: u64 = 64 * 1024;

// ---- identifiers -------------------------------------------------------

/// A job's id: `job-` and digits. Two ids that differ in leading zeros differ.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId {
    number: u64,
    digits: u8,
}

/// The text is not an id of the wanted form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed id")]
pub struct BadId;

impl FromStr for JobId {
    type Err = BadId;
    fn from_str(s: &str) -> Result<Self, BadId> {
        let d = s.strip_prefix("job-").ok_or(BadId)?;
        if d.is_empty() || d.len() > 18 || !d.bytes().all(|b| b.is_ascii_digit()) {
            return Err(BadId);
        }
        Ok(Self {
            number: d.parse().map_err(|_| BadId)?,
            digits: d.len() as u8,
        })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:0width$}", self.number, width = self.digits as usize)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A task: its job and its number in it, `job-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Its number, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = BadId;
    fn from_str(s: &str) -> Result<Self, BadId> {
        let (job, index) = s.split_once('/').ok_or(BadId)?;
        Ok(Self {
            job: job.parse()?,
            index: index.parse().map_err(|_| BadId)?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

macro_rules! serde_by_text {
    ($($t:ty),*) => {$(
        impl Serialize for $t {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }
        impl<'de> Deserialize<'de> for $t {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                std::borrow::Cow::<'de, str>::deserialize(d)?
                    .parse()
                    .map_err(serde::de::Error::custom)
            }
        }
    )*};
}
serde_by_text!(JobId, TaskId);

/// Name of a machine, given by the cloud.
pub type MachineId = Arc<str>;

// ---- users -------------------------------------------------------------

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
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

/// A submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Class of jobs it belongs to.
    #[serde(rename = "lot_class")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "desk")]
    pub team: String,
    /// Array or service.
    #[serde(rename = "sort")]
    pub kind: Kind,
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
    /// Memory of each task.
    pub memory_gb: f64,
    /// Image that a machine must have.
    #[serde(rename = "kit")]
    pub image: String,
    /// Its size.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types, or any.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in the same zone.
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Owner's estimate of a task's run time.
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    /// Interval of checkpoints, 0 for none.
    #[serde(rename = "tally_s")]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// When the job should be complete, from its submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts.
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
pub const MOST_TASKS: u32 = 100_000;

impl JobSpec {
    /// Time to save that a task is given when it is stopped: none if it never saves.
    pub fn grace(&self) -> std::time::Duration {
        let s = if self.checkpoint_s > 0.0 { self.save_s } else { 0.0 };
        std::time::Duration::from_secs_f64(s)
    }

    /// Checks the values; the error names the field.
    pub fn check(&self) -> Result<(), &'static str> {
        let amounts = [
            ("accelerators", self.gpus),
            ("memory_gb", self.memory_gb),
            ("size_gb", self.image_gb),
            ("expected_s", self.estimate_s),
            ("tally_s", self.checkpoint_s),
            ("stow_s", self.save_s),
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
        if self.tasks == 0 || self.tasks > MOST_TASKS {
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
        if let Some(types) = &self.types {
            if types.is_empty() || types.iter().any(|t| t.is_empty() || t.len() > 256) {
                return Err("rigs");
            }
        }
        Ok(())
    }
}

/// State of a job as told to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// No task runs.
    Queued,
    /// A task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

/// Answer to a user about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: Standing,
    /// Tasks done, for display.
    pub done: u32,
    /// Tasks running, for display.
    pub running: u32,
}

// ---- workers -----------------------------------------------------------

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
    /// Ended, see [`Why`].
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: not enough free resources.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: here with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: not known to the worker.
    #[serde(rename = "no_such")]
    Unknown,
    /// Another task of its gang is gone.
    #[serde(rename = "mates_gone")]
    Peers,
    /// The other tasks of its gang did not come in time.
    #[serde(rename = "alone")]
    Alone,
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
    pub why: Option<Why>,
    /// Whether it saved its progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
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
    pub session: u64,
    /// Sequence in the session.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "recall_s", default, skip_serializing_if = "Option::is_none")]
    pub notice_s: Option<f64>,
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
    Forget {
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
pub struct ReportReply {
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
pub struct Commands {
    /// Token.
    #[serde(rename = "gavel")]
    pub token: u64,
    /// Session they are meant for.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

// ---- cloud -------------------------------------------------------------

/// A machine type on offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory.
    pub memory_gb: f64,
    /// Room for images.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Speed of image fetches.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Current spot price an hour.
    #[serde(default)]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones it is offered in.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Response of `GET /machine_types`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// Body of `POST /hosts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rental {
    /// Name of the request, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type wanted.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone wanted.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Machine names, as response to a rental and as body of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machines {
    /// The names.
    #[serde(rename = "racks")]
    pub machines: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloudState {
    /// Not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "name_id")]
    pub id: MachineId,
    /// Where it takes commands.
    #[serde(rename = "endpoint", default)]
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
    /// Its state.
    #[serde(rename = "standing")]
    pub state: CloudState,
    /// Its age at the time of the list.
    #[serde(default)]
    pub age_s: f64,
}

/// Response of `GET /hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "racks")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

// ---- state service -----------------------------------------------------

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<V = serde_json::Value> {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: V,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response of a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The items.
    #[serde(rename = "pairs")]
    pub items: Vec<Item>,
    /// Whether more follow.
    #[serde(rename = "has_next", default)]
    pub more: bool,
    /// Revision of the store.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The version it must have, 0 for none.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key.
        put: String,
        /// Its value.
        #[serde(rename = "v")]
        value: serde_json::Value,
        /// The lease it is attached to.
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        delete: String,
    },
}

impl Change {
    /// The key that changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Delete { delete } => delete,
        }
    }
}

/// Body of `POST /multi`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    #[serde(rename = "guards")]
    pub conditions: Vec<Guard>,
    /// What is then done.
    #[serde(rename = "writes")]
    pub changes: Vec<Change>,
}

/// Response of `POST /multi` and of a missing key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Revision of the store.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Response of `POST /holds`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease's number.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// Response of `GET /watch`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Watched {
    /// Revision up to which it tells.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes.
    #[serde(rename = "log", default)]
    pub events: Vec<WatchEvent>,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value written.
    #[serde(rename = "v", default)]
    pub value: serde_json::Value,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}
