//! Mutable access to the model's parts, for tests that need a state which takes many
//! events to reach. No other module of the program uses it.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::state::job::Job;
use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::wire::{JobId, MachineId};

/// The parts of a [`ClusterModel`] that tests change directly. The test has to keep
/// them consistent with each other.
pub struct ModelSetUp<'a> {
    /// The term of the leader that the model belongs to.
    pub term: &'a mut u64,
    /// The unfinished jobs, as in [`ClusterModel::jobs`].
    pub jobs: &'a mut BTreeMap<JobId, Job>,
    /// The rented machines, as in [`ClusterModel::machines`].
    pub machines: &'a mut BTreeMap<MachineId, Machine>,
    /// Machines that a command may be due for.
    pub command_candidates: &'a mut BTreeSet<MachineId>,
}

impl ClusterModel {
    /// The model's parts, for the set-up of tests only: changes made here bypass the rules
    /// by which messages and decisions change the state.
    pub fn set_up(&mut self) -> ModelSetUp<'_> {
        ModelSetUp {
            term: &mut self.term,
            jobs: &mut self.jobs,
            machines: &mut self.machines,
            command_candidates: &mut self.command_candidates,
        }
    }
}
