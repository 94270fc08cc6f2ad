//! Checks whether a command may still be sent.
//!
//! A command is decided in a scheduling round and sent later, as it may wait for a socket
//! behind machines that hang. The state that the decision was based on may be outdated by
//! then, so the command is checked again at the moment of sending. Only that check creates
//! the [`SendPermit`] that is needed for sending.

use std::collections::BTreeMap;

use crate::core::state::dependencies::Dependencies;
use crate::core::state::job::Job;
use crate::core::state::machine::MachinePhase;
use crate::core::state::model::ClusterModel;
use crate::wire::{Command, CommandBatch, JobId, MachineId, TaskId};

/// Permission to send one batch of commands now. Only [`ClusterModel::permit_send`]
/// creates one; sending consumes it.
#[derive(Debug)]
pub struct SendPermit(());

impl SendPermit {
    /// Consumes the permit when the batch is sent.
    pub fn consume(self) {}
}

/// Why a task may not be started. A start is refused whenever the model doesn't know
/// that it is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    /// The model has no such unfinished job.
    #[error("its job is unknown")]
    JobUnknown,
    /// The job is cancelled, or its cancellation is being stored.
    #[error("its job is cancelled")]
    JobCancelled,
    /// A job that its job depends on is not known to be done.
    #[error("its job waits for dependencies")]
    DependenciesNotDone,
    /// The machine is unknown or being released, or has no slot for this attempt.
    #[error("this attempt is not placed on the machine")]
    NotPlaced,
    /// A stop of this attempt is ordered.
    #[error("this attempt is to be stopped")]
    Stopping,
}

/// Why a batch of commands is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The leader may no longer act, see [`crate::core::evidence::authority`].
    #[error("the leader may no longer act")]
    NoAuthority,
    /// The batch would start a task that may not be started any more.
    #[error("task {0} may not be started: {1}")]
    Start(TaskId, StartRefusal),
}

/// Checks whether a job's tasks may be started, as far as that depends on the job and
/// its dependencies and not on any machine.
pub(in crate::core) fn check_job_startable(
    jobs: &BTreeMap<JobId, Job>,
    dependencies: &Dependencies,
    id: JobId,
) -> Result<(), StartRefusal> {
    let job = jobs.get(&id).ok_or(StartRefusal::JobUnknown)?;
    if job.cancelled {
        return Err(StartRefusal::JobCancelled);
    }
    if !dependencies.is_ready(id) {
        return Err(StartRefusal::DependenciesNotDone);
    }
    Ok(())
}

impl ClusterModel {
    /// Checks commands that were decided earlier against the present state. `may_act` says
    /// whether the leader may still act, which is all that stops and acknowledgements need.
    pub fn permit_send(
        &self,
        machine: &MachineId,
        commands: &CommandBatch,
        may_act: bool,
    ) -> Result<SendPermit, SendRefusal> {
        if !may_act {
            return Err(SendRefusal::NoAuthority);
        }
        for command in &commands.commands {
            if let Command::Start { task, attempt } = *command {
                self.check_start(machine, task, attempt)
                    .map_err(|refusal| SendRefusal::Start(task, refusal))?;
            }
        }
        Ok(SendPermit(()))
    }

    /// Checks whether an attempt that was placed may be started now.
    fn check_start(&self, machine: &MachineId, task: TaskId, attempt: u64) -> Result<(), StartRefusal> {
        check_job_startable(&self.jobs, &self.dependencies, task.job)?;
        let machine = self
            .machines
            .get(machine)
            .filter(|machine| machine.phase != MachinePhase::Releasing);
        let slot = machine.and_then(|machine| machine.slots.get(&task));
        let slot = slot
            .filter(|slot| slot.attempt == attempt)
            .ok_or(StartRefusal::NotPlaced)?;
        if slot.stop_grace.is_some() {
            return Err(StartRefusal::Stopping);
        }
        Ok(())
    }

    /// Records that a batch of commands was not sent after all. The worker can't have
    /// executed it, so nothing is in doubt, and the next batch may be due at once.
    pub fn batch_withheld(&mut self, machine: &MachineId) {
        if let Some(state) = self.machines.get_mut(machine) {
            state.batch_in_flight = false;
            self.command_candidates.insert(machine.clone());
        }
    }
}
