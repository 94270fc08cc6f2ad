//! The cluster model: jobs, machines, and which task may be on which machine.
//!
//! The model keeps the rule on which safety rests: an attempt of a task on a machine has
//! a [`Slot`](crate::core::state::slot::Slot) as long as it may exist. The slot is made
//! before the start is logged, and removed only on evidence that the attempt is gone: it
//! ended; it is absent from a heartbeat of a worker that has seen a token at least as
//! high as the last start's; the worker's incarnation is a later one; or the cloud has
//! confirmed the release of the machine.
//!
//! The methods are split by concern: `jobs` (from acceptance to removal), `places` (slots
//! of tasks), `machines` (from rental to release), `replay` (loading what earlier terms
//! stored).
//!
//! Only modules of [`crate::core`] change the fields. All others read them, and report
//! events by calling the public methods.

mod jobs;
mod machines;
mod places;
mod replay;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

pub use self::replay::LoadedJob;
use crate::core::state::config::SchedulerConfig;
use crate::core::state::dependencies::Dependencies;
use crate::core::state::fleet_state::FleetState;
use crate::core::state::job::Job;
use crate::core::state::machine::Machine;
use crate::core::state::tombstones::Tombstones;
use crate::core::storage::wal::WriteAheadLog;
use crate::wire::{JobId, MachineId, MachineType};

/// Lower bound of the run-to-estimate ratios of the Last Model: after a job that ended
/// at once, the team's long jobs must not be predicted to take no time.
pub const MIN_RUN_TIME_RATIO: f64 = 0.1;

/// The cluster as the leader of one term knows it.
#[derive(Debug)]
pub struct ClusterModel {
    /// The settings that the model's rules read.
    pub(in crate::core) config: Arc<SchedulerConfig>,
    /// Term of the leader that the model belongs to.
    pub(in crate::core) term: u64,
    /// The machine types that the cloud offers; empty until known.
    pub(in crate::core) machine_types: Vec<MachineType>,
    /// Unfinished jobs by id.
    pub(in crate::core) jobs: BTreeMap<JobId, Job>,
    /// Which of the unfinished jobs wait for which other jobs.
    pub(in crate::core) dependencies: Dependencies,
    /// Rented machines by id, until the cloud confirms their release.
    pub(in crate::core) machines: BTreeMap<MachineId, Machine>,
    /// Run-to-estimate ratio of each team's last finished job (Last Model).
    pub(in crate::core) run_time_ratios: BTreeMap<String, f64>,
    /// Whether the ratios changed since they were last taken to be stored.
    pub(in crate::core) run_time_ratios_changed: bool,
    /// When the ratios were last taken to be stored.
    pub(in crate::core) run_time_ratios_taken_at: Option<Instant>,
    /// The write-ahead log of this term, with what it loaded of earlier ones.
    pub(in crate::core) log: WriteAheadLog,
    /// When an append was last taken from the log.
    pub(in crate::core) log_append_taken_at: Option<Instant>,
    /// Machines that a command may be due for.
    pub(in crate::core) command_candidates: BTreeSet<MachineId>,
    /// Released machines, whose late heartbeats are ignored.
    pub(in crate::core) released_machines: Tombstones,
    /// Whether some slot may be backfilled, so that there may be shadow load.
    pub(in crate::core) may_have_shadow_load: bool,
    /// When this process last resumed after a pause, during which it may have missed
    /// heartbeats; `None` if it was never paused in this term.
    pub(in crate::core) listening_since: Option<Instant>,
    /// Number of attempt numbers issued in this term.
    issued_attempts: u64,
    /// Pending rentals and suspended offers.
    pub(in crate::core) fleet: FleetState,
}

impl ClusterModel {
    /// The model of an empty cluster for a leader's term.
    pub fn new(config: Arc<SchedulerConfig>, term: u64) -> Self {
        Self {
            log: WriteAheadLog::new(config.max_value_bytes),
            log_append_taken_at: None,
            command_candidates: BTreeSet::new(),
            config,
            term,
            machine_types: Vec::new(),
            jobs: BTreeMap::new(),
            dependencies: Dependencies::default(),
            machines: BTreeMap::new(),
            run_time_ratios: BTreeMap::new(),
            run_time_ratios_changed: false,
            run_time_ratios_taken_at: None,
            released_machines: Tombstones::default(),
            may_have_shadow_load: false,
            listening_since: None,
            issued_attempts: 0,
            fleet: FleetState::default(),
        }
    }

    /// The settings that the model's rules read.
    pub fn config(&self) -> &SchedulerConfig {
        &self.config
    }

    /// The term of the leader that the model belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The machine types that the cloud offers; empty until known.
    pub fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// Replaces the machine types by those that the cloud or the state service lists.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.machine_types = machine_types;
    }

    /// The unfinished jobs by id, cancelled ones included.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// The dependencies between the unfinished jobs.
    pub fn dependencies(&self) -> &Dependencies {
        &self.dependencies
    }

    /// The rented machines, until the cloud confirms their release.
    pub fn machines(&self) -> &BTreeMap<MachineId, Machine> {
        &self.machines
    }

    /// The Last Model: run-to-estimate ratio of each team's last finished job.
    pub fn run_time_ratios(&self) -> &BTreeMap<String, f64> {
        &self.run_time_ratios
    }
}
