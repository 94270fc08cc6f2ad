//! Whether a command may still be sent.
//!
//! A command is decided in a scheduling round and sent later: it may wait for a socket
//! behind machines that hang. What it was decided on is old by then, so it is checked
//! again at the moment of sending. Only that check makes the [`SendPermit`] that sending
//! takes.

use std::collections::BTreeMap;

use crate::core::state::dependencies::Dependencies;
use crate::core::state::job::Job;
use crate::core::state::machine::MachinePhase;
use crate::core::state::model::ClusterModel;
use crate::wire::{Command, CommandBatch, JobId, MachineId, TaskId};

/// The right to send one batch of commands now. Only [`ClusterModel::permit_send`] makes
/// one; sending consumes it.
#[derive(Debug)]
pub struct SendPermit(());

impl SendPermit {
    /// Uses the permit up, when the batch is sent.
    pub fn consume(self) {}
}

/// Why a task may not be started. What is not known counts as not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    /// No such unfinished job is known.
    #[error("its job is not known")]
    JobUnknown,
    /// The job is cancelled, or its cancellation is being stored.
    #[error("its job is cancelled")]
    JobCancelled,
    /// A job that it depends on is not known to be done.
    #[error("its job waits for others")]
    DependenciesNotDone,
    /// The task has no slot on that machine, or one of another attempt.
    #[error("it has no place there")]
    NotPlaced,
    /// It is to be stopped there.
    #[error("it is to be stopped")]
    Stopping,
}

/// Why a command is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The right to act has ended.
    #[error("the right to act has ended")]
    NoAuthority,
    /// It would start a task that may not be started any more.
    #[error("{0} may not be started: {1}")]
    Start(TaskId, StartRefusal),
}

/// Whether a job's tasks may be started, as far as that depends on the job and its
/// dependencies and not on any machine.
pub(in crate::core) fn check_job(
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
    /// Checks commands that were decided earlier by what is known now; `may_act` says
    /// whether the leader may still act. Stops and acknowledgements need only that.
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

    /// Whether an attempt that was placed may be started now.
    fn check_start(&self, machine: &MachineId, task: TaskId, attempt: u64) -> Result<(), StartRefusal> {
        check_job(&self.jobs, &self.dependencies, task.job)?;
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

    /// A command was not sent after all: nothing is in doubt, and the next may be due at
    /// once.
    pub fn command_withheld(&mut self, machine: &MachineId) {
        if let Some(state) = self.machines.get_mut(machine) {
            state.command_in_flight = false;
            self.command_candidates.insert(machine.clone());
        }
    }
}
