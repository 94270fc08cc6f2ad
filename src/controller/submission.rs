//! What a submission has to be like to be accepted, at the leader and at any other
//! controller alike.

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

/// Why a submission is not accepted. The text is what its user gets.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is no JSON object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A field is missing, of another type or can't be read; the source names it.
    #[error(transparent)]
    Malformed(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the JSON object.
    #[error(transparent)]
    TrailingData(serde_json::Error),
    /// There is no id, or it can't be one.
    #[error("malformed id")]
    MalformedId,
    /// The value of this field is out of range.
    #[error("invalid field `{0}`")]
    InvalidField(&'static str),
    /// The record would not fit into a value of the state service.
    #[error("the job's description is too long")]
    TooLong,
    /// The job can never run.
    #[error(transparent)]
    NotAdmissible(#[from] AdmissionError),
    /// What could run the job is not known yet.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// Whether a job that it depends on was accepted is not known now.
    #[error("a job that it waits for can't be read now")]
    DependencyUnreadable(#[source] Box<StoreError>),
}

impl SubmissionError {
    /// Whether the body itself is at fault, whatever the cluster is like.
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

/// The response to a submission that was accepted.
pub fn accepted_response(id: JobId) -> ApiResponse {
    let status = JobStatus {
        id,
        state: JobState::Queued,
        done: 0,
        running: 0,
    };
    ApiResponse::json(201, &status)
}

/// Whether a body can be a JSON object. A list of values in the order of the fields would
/// be deserialized as well.
fn is_object(body: &[u8]) -> bool {
    body.trim_ascii_start().starts_with(b"{")
}

/// The id in the body of a submission, whatever else is wrong with it.
pub(super) fn submitted_id(body: &[u8]) -> Option<JobId> {
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

/// Reads the body of a submission and checks each field by itself.
fn parse_spec(body: &[u8]) -> Result<JobSpec, SubmissionError> {
    if !is_object(body) {
        return Err(SubmissionError::NotAnObject);
    }
    let mut json = serde_json::Deserializer::from_slice(body);
    // The error names the field.
    let spec: JobSpec = serde_path_to_error::deserialize(&mut json)?;
    json.end().map_err(SubmissionError::TrailingData)?;
    spec.check().map_err(SubmissionError::InvalidField)?;
    Ok(spec)
}

/// Sorts the lists of a job, without repetitions and without types that don't exist.
fn normalize(spec: &mut JobSpec, types: &[MachineType]) {
    if let Some(allowed) = &mut spec.types {
        allowed.retain(|name| types.iter().any(|known| known.name == *name));
        allowed.sort();
        allowed.dedup();
    }
    spec.awaits.sort_unstable();
    spec.awaits.dedup();
}

impl Controller {
    /// The id in the body of a submission.
    pub fn submission_id(&self, body: &[u8]) -> Result<JobId, SubmissionError> {
        submitted_id(body).ok_or_else(|| match self.parse_submission(body, &[]) {
            Err(error) if error.is_malformed() => error,
            _ => SubmissionError::MalformedId,
        })
    }

    /// Reads the body of a submission; the job could run on machines of these types,
    /// within its team's limits.
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
        normalize(&mut spec, types);
        Ok(spec)
    }

    /// The record of a job submitted now: valid, of a size that can be stored, and
    /// depending only on jobs that were accepted and can end. `kind_in_model` gives the
    /// kind of those that are known to be unfinished.
    pub async fn check_submission(
        &self,
        body: &[u8],
        types: &[MachineType],
        kind_in_model: impl Fn(JobId) -> Option<JobKind>,
    ) -> Result<JobRecord, SubmissionError> {
        let record = JobRecord {
            spec: self.parse_submission(body, types)?,
            at: unix_time_ms(),
            cancelled: false,
        };
        if !self.record_fits(&record) {
            return Err(SubmissionError::TooLong);
        }
        self.check_dependencies(&record.spec, kind_in_model).await?;
        Ok(record)
    }

    /// Whether a record fits into a value of the state service, also once cancelled.
    fn record_fits(&self, record: &JobRecord) -> bool {
        serde_json::to_vec(record)
            .is_ok_and(|value| value.len() + CANCELLATION_BYTES <= self.config.max_value_bytes)
    }

    async fn check_dependencies(
        &self,
        spec: &JobSpec,
        kind_in_model: impl Fn(JobId) -> Option<JobKind>,
    ) -> Result<(), SubmissionError> {
        for dependency in &spec.awaits {
            let mut kind = kind_in_model(*dependency);
            if kind.is_none() && self.terminal_states().record(*dependency).is_none() {
                kind = self.stored_kind(*dependency).await?;
            }
            if kind == Some(JobKind::Service) {
                return Err(AdmissionError::DependsOnService(*dependency).into());
            }
        }
        Ok(())
    }

    /// The kind of an unfinished job; `None` if it ended.
    async fn stored_kind(&self, dependency: JobId) -> Result<Option<JobKind>, SubmissionError> {
        match self.lookup_job(dependency).await {
            Ok(StoredJob::Unfinished(record, _)) => Ok(Some(record.spec.kind)),
            Ok(StoredJob::Finished(_)) => Ok(None),
            Ok(StoredJob::NeverAccepted) => Err(AdmissionError::UnknownDependency(dependency).into()),
            Err(error) => Err(SubmissionError::DependencyUnreadable(Box::new(error))),
        }
    }
}
