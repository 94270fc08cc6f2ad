//! Whether a job can ever run on the cluster.

use std::collections::HashMap;

use crate::core::state::resources::AMOUNT_TOLERANCE;
use crate::settings::Team;
use crate::wire::{JobId, JobKind, JobSpec, MachineType};

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// No such team.
    #[error("unknown team")]
    UnknownTeam,
    /// A task fits no allowed machine type.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// It waits for itself.
    #[error("a job can't wait for itself")]
    DependsOnItself,
    /// It waits for a job that was never accepted.
    #[error("waits for {0}, which was never accepted")]
    UnknownDependency(JobId),
    /// It waits for a service, which is never done.
    #[error("waits for {0}, a service, which is never done")]
    DependsOnService(JobId),
    /// It needs more than the team's limit.
    #[error("needs more than the team's limit")]
    ExceedsTeamLimit,
}

/// Whether a job can ever run, given teams and machine types.
pub fn check_admission(
    spec: &JobSpec,
    teams: &HashMap<String, Team>,
    types: &[MachineType],
) -> Result<(), AdmissionError> {
    let team = teams.get(&spec.team).ok_or(AdmissionError::UnknownTeam)?;
    let fits = types.iter().any(|t| {
        fits_machine_type(spec, t)
            && spec
                .zone
                .as_ref()
                .is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
    });
    if !fits {
        return Err(AdmissionError::FitsNoMachineType);
    }
    let n = if spec.kind == JobKind::Array {
        1.0
    } else {
        f64::from(spec.tasks)
    };
    let over = |need: f64, most: f64| most > 0.0 && need * n > most + AMOUNT_TOLERANCE;
    if over(spec.cpus, team.cpu_limit) || over(spec.gpus, team.gpu_limit) {
        return Err(AdmissionError::ExceedsTeamLimit);
    }
    Ok(())
}

/// Whether a task fits an empty machine of a type that its job allows.
pub fn fits_machine_type(spec: &JobSpec, t: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
        && spec.cpus <= t.cpus + AMOUNT_TOLERANCE
        && spec.gpus <= t.gpus + AMOUNT_TOLERANCE
        && spec.memory_gb <= t.memory_gb + AMOUNT_TOLERANCE
}
