//! The cluster model: jobs, machines, and which task may be on which machine.
//!
//! The safety rules hold here. An attempt of a task on a machine is a
//! [`Slot`](crate::core::state::slot::Slot). It is made before the log is written, and
//! removed only on evidence that the attempt is gone: it ended; it is absent from a
//! heartbeat of a worker that has seen a token at least as high as the last start's;
//! the worker's incarnation is a later one; or the cloud has confirmed the release of
//! the machine.
//!
//! The methods lie in a module for each concern: `jobs` (accepted to removed), `places`
//! (slots of tasks), `machines` (rented to released), `replay` (what earlier terms
//! stored).
//!
//! Only the modules of [`crate::core`] change the fields; all others read them and
//! send events, the methods that are public.

mod jobs;
mod machines;
mod places;
mod replay;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use crate::core::state::config::SchedulerConfig;
use crate::core::state::dependencies::Dependencies;
use crate::core::state::fleet_state::FleetState;
use crate::core::state::job::Job;
use crate::core::state::machine::Machine;
use crate::core::state::tombstones::Tombstones;
use crate::core::storage::wal::WriteAheadLog;
use crate::wire::{JobId, MachineId, MachineType};

/// Ratios of the Last Model are kept above this, so that a team's job of no
/// length doesn't make its long ones look like nothing.
pub const MIN_RUN_TIME_RATIO: f64 = 0.1;

/// The cluster as the leader of one term knows it.
#[derive(Debug)]
pub struct ClusterModel {
    /// The settings that its rules need.
    pub(in crate::core) config: Arc<SchedulerConfig>,
    /// The leader's term.
    pub(in crate::core) term: u64,
    /// Machine types; empty until known.
    pub(in crate::core) machine_types: Vec<MachineType>,
    /// Unfinished jobs.
    pub(in crate::core) jobs: BTreeMap<JobId, Job>,
    /// Which of them wait for which jobs.
    pub(in crate::core) dependencies: Dependencies,
    /// Machines.
    pub(in crate::core) machines: BTreeMap<MachineId, Machine>,
    /// Run-to-estimate ratio of each team's last finished job.
    pub(in crate::core) run_time_ratios: BTreeMap<String, f64>,
    /// The ratios changed since they were last taken for storing.
    pub(in crate::core) run_time_ratios_changed: bool,
    /// When they were last written.
    pub(in crate::core) run_time_ratios_taken_at: Option<Instant>,
    /// The write-ahead log.
    pub(in crate::core) log: WriteAheadLog,
    /// When an append was last taken from it.
    pub(in crate::core) log_append_taken_at: Option<Instant>,
    /// Machines that a command may be due for.
    pub(in crate::core) command_candidates: BTreeSet<MachineId>,
    /// Released machines, whose late heartbeats mean nothing.
    pub(in crate::core) released_machines: Tombstones,
    /// Some slot may be backfilled, so that there may be shadow load.
    pub(in crate::core) may_have_shadow_load: bool,
    /// Since when this process has listened without a pause of its own.
    pub(in crate::core) listening_since: Option<Instant>,
    /// Attempt numbers issued in this term.
    attempts: u64,
    /// Rentals under way and pauses, see [`FleetState`].
    pub(in crate::core) fleet: FleetState,
}

impl ClusterModel {
    /// An empty cluster.
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
            attempts: 0,
            fleet: FleetState::default(),
        }
    }

    /// What the settings say that its rules need.
    pub fn config(&self) -> &SchedulerConfig {
        &self.config
    }

    /// The term of the leader that it belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The machine types that the cloud offers; empty until known.
    pub fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// Takes the machine types as the cloud or the state service lists them.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.machine_types = machine_types;
    }

    /// The unfinished jobs.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Which of the unfinished jobs wait for which others.
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
