//! Admission: whether a submitted job can ever run on the cluster.

use std::collections::HashMap;

use crate::core::state::resources::{Resources, AMOUNT_TOLERANCE};
use crate::settings::Team;
use crate::wire::{JobId, JobKind, JobSpec, MachineType};

/// Why a job can never run. The text goes to the user who submitted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// Its team is not in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that it allows is large enough for a task, in its zone.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// It names itself among the jobs that it waits for.
    #[error("a job can't wait for itself")]
    DependsOnItself,
    /// It waits for a job that was never accepted.
    #[error("waits for {0}, which was never accepted")]
    UnknownDependency(JobId),
    /// It waits for a service, which is never done.
    #[error("waits for {0}, a service, which is never done")]
    DependsOnService(JobId),
    /// A task of an array, or all tasks of another job, need more than the team's limit.
    #[error("needs more than the team's limit")]
    ExceedsTeamLimit,
}

/// Checks whether a job can ever run, given teams and machine types. Its dependencies
/// are checked elsewhere.
pub fn check_admission(
    spec: &JobSpec,
    teams: &HashMap<String, Team>,
    types: &[MachineType],
) -> Result<(), AdmissionError> {
    let team = teams.get(&spec.team).ok_or(AdmissionError::UnknownTeam)?;
    let fits = types
        .iter()
        .any(|machine_type| fits_machine_type(spec, machine_type) && offered_in_zone(spec, machine_type));
    if !fits {
        return Err(AdmissionError::FitsNoMachineType);
    }
    if exceeds_team_limit(spec, team) {
        return Err(AdmissionError::ExceedsTeamLimit);
    }
    Ok(())
}

/// Whether a task fits an empty machine of a type that its job allows.
pub fn fits_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let allowed = spec.types.as_ref();
    allowed.is_none_or(|names| names.contains(&machine_type.name))
        && Resources::of_task(spec).fits_into(&Resources::of_type(machine_type))
}

/// Whether a type is offered in the zone that the job names, if it names one. A type
/// without zones is offered everywhere.
fn offered_in_zone(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let zones = &machine_type.zones;
    spec.zone
        .as_ref()
        .is_none_or(|zone| zones.is_empty() || zones.contains(zone))
}

/// Whether what has to run at once is more than the team's limit. Tasks of an array may
/// run one after the other.
fn exceeds_team_limit(spec: &JobSpec, team: &Team) -> bool {
    let at_once = if spec.kind == JobKind::Array {
        1.0
    } else {
        f64::from(spec.tasks)
    };
    let exceeds = |per_task: f64, limit: f64| limit > 0.0 && per_task * at_once > limit + AMOUNT_TOLERANCE;
    exceeds(spec.cpus, team.cpu_limit) || exceeds(spec.gpus, team.gpu_limit)
}
