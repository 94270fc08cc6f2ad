//! Ids of jobs, tasks and machines; each is a string on the wire.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A job's id: `job-` and digits. Leading zeros count: `job-1` and `job-01` are two ids.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId {
    number: u64,
    /// Number of digits, with leading zeros.
    digits: u8,
}

/// The text is no valid id of a job or task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed id")]
pub struct MalformedId;

impl FromStr for JobId {
    type Err = MalformedId;
    fn from_str(s: &str) -> Result<Self, MalformedId> {
        let digits = s.strip_prefix("job-").ok_or(MalformedId)?;
        if digits.is_empty() || digits.len() > 18 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(MalformedId);
        }
        Ok(Self {
            number: digits.parse().map_err(|_| MalformedId)?,
            digits: digits.len() as u8,
        })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:0width$}", self.number, width = self.digits as usize)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A task's id: its job and its index in the job, as in `job-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job that it belongs to.
    pub job: JobId,
    /// Its index among the job's tasks, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = MalformedId;
    fn from_str(s: &str) -> Result<Self, MalformedId> {
        let (job, index) = s.split_once('/').ok_or(MalformedId)?;
        Ok(Self {
            job: job.parse()?,
            index: index.parse().map_err(|_| MalformedId)?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

macro_rules! serde_as_string {
    ($($t:ty),*) => {$(
        impl Serialize for $t {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }
        impl<'de> Deserialize<'de> for $t {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                std::borrow::Cow::<'de, str>::deserialize(d)?
                    .parse()
                    .map_err(serde::de::Error::custom)
            }
        }
    )*};
}
serde_as_string!(JobId, TaskId);

/// A machine's id, given by the cloud.
pub type MachineId = Arc<str>;
