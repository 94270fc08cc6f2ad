//! Checks submissions, in the same way at the leader and at every other controller.

use crate::clock::unix_time_ms;
use crate::core::scheduling::admission::{check_admission, AdmissionError};
use crate::core::storage::record::JobRecord;
use crate::response::ApiResponse;
use crate::store::StoreError;
use crate::wire::{JobId, JobKind, JobSpec, JobState, JobStatus, MachineType};

use super::job_lookup::StoredJob;
use super::Controller;

/// Bytes by which a cancellation may lengthen a job's record.
const CANCELLATION_BYTES: usize = 64;

/// Why a submission is rejected. The text goes to the user who submitted it.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not a JSON object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A field is missing or can't be deserialized; the source error names it.
    #[error(transparent)]
    Malformed(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The JSON object is followed by other data.
    #[error(transparent)]
    TrailingData(serde_json::Error),
    /// The id is missing, or is not a valid job id.
    #[error("malformed id")]
    MalformedId,
    /// The value of this field is out of range.
    #[error("invalid field `{0}`")]
    InvalidField(&'static str),
    /// The job's record would exceed the state service's limit on the size of a value.
    #[error("the job's description is too long")]
    TooLong,
    /// The job can never run.
    #[error(transparent)]
    NotAdmissible(#[from] AdmissionError),
    /// Whether any machine type can run the job is not known yet.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// A job that it depends on can't be read from the state service.
    #[error("a job that it waits for can't be read now")]
    DependencyUnreadable(#[source] Box<StoreError>),
}

impl SubmissionError {
    /// Whether the body is invalid by itself, whatever the teams, machine types and stored
    /// jobs are.
    fn is_malformed(&self) -> bool {
        match self {
            Self::NotAnObject
            | Self::Malformed(_)
            | Self::TrailingData(_)
            | Self::MalformedId
            | Self::InvalidField(_)
            | Self::TooLong => true,
            Self::NotAdmissible(_) | Self::MachineTypesUnknown | Self::DependencyUnreadable(_) => false,
        }
    }
}

impl From<SubmissionError> for ApiResponse {
    fn from(error: SubmissionError) -> Self {
        let reason = error.to_string();
        match error {
            SubmissionError::NotAdmissible(_) => Self::error(422, &reason),
            SubmissionError::MachineTypesUnknown | SubmissionError::DependencyUnreadable(_) => {
                Self::unavailable(&reason)
            }
            _ => Self::error(400, &reason),
        }
    }
}

/// The response to a submission that was just accepted: 201, and the job is queued.
pub fn accepted_response(id: JobId) -> ApiResponse {
    let status = JobStatus {
        id,
        state: JobState::Queued,
        done: 0,
        running: 0,
    };
    ApiResponse::with_json(201, &status)
}

/// Whether a body can be a JSON object. Without this check an array of values in the order
/// of the fields would be deserialized as well.
fn is_object(body: &[u8]) -> bool {
    body.trim_ascii_start().starts_with(b"{")
}

/// The id in the body of a submission, even if other fields are invalid.
pub(super) fn parse_submission_id(body: &[u8]) -> Option<JobId> {
    if !is_object(body) {
        return None;
    }
    #[derive(serde::Deserialize)]
    struct IdOnly {
        #[serde(rename = "name_id")]
        id: JobId,
    }
    serde_json::from_slice::<IdOnly>(body).ok().map(|only| only.id)
}

/// Deserializes the body of a submission and checks the value of each field.
fn parse_spec(body: &[u8]) -> Result<JobSpec, SubmissionError> {
    if !is_object(body) {
        return Err(SubmissionError::NotAnObject);
    }
    let mut json = serde_json::Deserializer::from_slice(body);
    // Unlike an error of `serde_json` alone, this one names the field.
    let spec: JobSpec = serde_path_to_error::deserialize(&mut json)?;
    json.end().map_err(SubmissionError::TrailingData)?;
    spec.check().map_err(SubmissionError::InvalidField)?;
    Ok(spec)
}

/// Sorts the job's lists of machine types and dependencies, and removes duplicates and types
/// that don't exist.
fn normalize_spec(spec: &mut JobSpec, types: &[MachineType]) {
    if let Some(allowed) = &mut spec.machine_types {
        allowed.retain(|name| types.iter().any(|known| known.name == *name));
        allowed.sort();
        allowed.dedup();
    }
    spec.awaits.sort_unstable();
    spec.awaits.dedup();
}

impl Controller {
    /// The id in the body of a submission, even if other fields are invalid. Without one, the
    /// error says why the body is malformed.
    pub fn submission_id(&self, body: &[u8]) -> Result<JobId, SubmissionError> {
        parse_submission_id(body).ok_or_else(|| match self.parse_submission(body, &[]) {
            Err(error) if error.is_malformed() => error,
            _ => SubmissionError::MalformedId,
        })
    }

    /// Deserializes the body of a submission, and checks that the job can run on machines of
    /// these types within its team's limits.
    pub fn parse_submission(&self, body: &[u8], types: &[MachineType]) -> Result<JobSpec, SubmissionError> {
        let mut spec = parse_spec(body)?;
        if !self.config.teams.contains_key(&spec.team) {
            return Err(AdmissionError::UnknownTeam.into());
        }
        if types.is_empty() {
            return Err(SubmissionError::MachineTypesUnknown);
        }
        check_admission(&spec, &self.config.teams, types)?;
        if spec.awaits.contains(&spec.id) {
            return Err(AdmissionError::DependsOnItself.into());
        }
        normalize_spec(&mut spec, types);
        Ok(spec)
    }

    /// Checks a submission and creates the job's record. Beyond
    /// [`parse_submission`](Self::parse_submission), the record has to fit into a value of
    /// the state service. The jobs that it depends on are left to
    /// [`check_dependencies`](Self::check_dependencies).
    pub fn check_submission(&self, body: &[u8], types: &[MachineType]) -> Result<JobRecord, SubmissionError> {
        let record = JobRecord {
            spec: self.parse_submission(body, types)?,
            accepted_at_ms: unix_time_ms(),
            cancelled: false,
        };
        if !self.fits_value_limit(&record) {
            return Err(SubmissionError::TooLong);
        }
        Ok(record)
    }

    /// Whether a record fits into a value of the state service, even once the job is
    /// cancelled.
    fn fits_value_limit(&self, record: &JobRecord) -> bool {
        serde_json::to_vec(record)
            .is_ok_and(|value| value.len() + CANCELLATION_BYTES <= self.config.max_value_bytes)
    }

    /// Checks that a job depends only on jobs that were accepted and are not services, which
    /// never end. `kind_of_unfinished` returns the kind of a job that the caller knows to be
    /// unfinished; the others are looked up, all at the same time.
    pub async fn check_dependencies(
        &self,
        spec: &JobSpec,
        kind_of_unfinished: impl Fn(JobId) -> Option<JobKind>,
    ) -> Result<(), SubmissionError> {
        let mut to_look_up = Vec::new();
        for dependency in &spec.awaits {
            match kind_of_unfinished(*dependency) {
                Some(kind) => check_dependency_kind(*dependency, kind)?,
                None => to_look_up.push(*dependency),
            }
        }
        let found = self
            .look_up_likely_finished_jobs(&to_look_up)
            .await
            .map_err(|error| SubmissionError::DependencyUnreadable(Box::new(error)))?;
        for (dependency, job) in to_look_up.into_iter().zip(found) {
            match job {
                StoredJob::Unfinished(record, _) => check_dependency_kind(dependency, record.spec.kind)?,
                StoredJob::Finished(_) => {}
                StoredJob::NeverAccepted => return Err(AdmissionError::UnknownDependency(dependency).into()),
            }
        }
        Ok(())
    }
}

fn check_dependency_kind(dependency: JobId, kind: JobKind) -> Result<(), AdmissionError> {
    if kind == JobKind::Service {
        return Err(AdmissionError::DependsOnService(dependency));
    }
    Ok(())
}
