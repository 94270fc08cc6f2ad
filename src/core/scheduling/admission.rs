//! Admission: whether a submitted job can ever run on the cluster.

use std::collections::HashMap;

use crate::core::state::resources::{Resources, AMOUNT_TOLERANCE};
use crate::settings::Team;
use crate::wire::{JobId, JobKind, JobSpec, MachineType};

/// Why a job can never run. The message is returned to the user who submitted the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The settings don't list the job's team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that the job allows, and that its zone offers, is large enough for
    /// one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The job depends on itself.
    #[error("a job can't wait for itself")]
    DependsOnItself,
    /// The job depends on a job that was never accepted.
    #[error("waits for {0}, which was never accepted")]
    UnknownDependency(JobId),
    /// The job depends on a service, which is never done.
    #[error("waits for {0}, a service, which is never done")]
    DependsOnService(JobId),
    /// One task of an array, or all tasks of a gang or service together, need more than the
    /// team's limit.
    #[error("needs more than the team's limit")]
    ExceedsTeamLimit,
}

/// Checks whether a job can ever run, given the teams and machine types. The caller
/// checks its dependencies.
pub fn check_admission(
    spec: &JobSpec,
    teams: &HashMap<String, Team>,
    types: &[MachineType],
) -> Result<(), AdmissionError> {
    let team = teams.get(&spec.team).ok_or(AdmissionError::UnknownTeam)?;
    let fits = types
        .iter()
        .any(|machine_type| fits_machine_type(spec, machine_type) && is_offered_in_zone(spec, machine_type));
    if !fits {
        return Err(AdmissionError::FitsNoMachineType);
    }
    if exceeds_team_limit(spec, team) {
        return Err(AdmissionError::ExceedsTeamLimit);
    }
    Ok(())
}

/// Whether the job allows the machine type and one of its tasks fits an empty machine of
/// that type.
pub fn fits_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let allowed = spec.machine_types.as_ref();
    allowed.is_none_or(|names| names.contains(&machine_type.name))
        && Resources::of_task(spec).fits_into(&Resources::of_type(machine_type))
}

/// Whether a machine type is offered in the zone that the job requires, if any. A type
/// without zones is offered in all zones.
fn is_offered_in_zone(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let zones = &machine_type.zones;
    spec.zone
        .as_ref()
        .is_none_or(|zone| zones.is_empty() || zones.contains(zone))
}

/// Whether the tasks that have to run concurrently need more than the team's limit. A
/// limit of 0 means unlimited. Tasks of an array may run one after the other.
fn exceeds_team_limit(spec: &JobSpec, team: &Team) -> bool {
    let concurrent_tasks = if spec.kind == JobKind::Array {
        1.0
    } else {
        f64::from(spec.tasks)
    };
    let exceeds =
        |per_task: f64, limit: f64| limit > 0.0 && per_task * concurrent_tasks > limit + AMOUNT_TOLERANCE;
    exceeds(spec.cpus, team.cpu_limit) || exceeds(spec.gpus, team.gpu_limit)
}
