//! Ids of jobs, tasks and machines; on the wire each is a string.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A job's id: `job-` and digits. Two ids that differ in leading zeros differ.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId {
    number: u64,
    digits: u8,
}

/// The text isn't a valid id of this kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed id")]
pub struct MalformedId;

impl FromStr for JobId {
    type Err = MalformedId;
    fn from_str(s: &str) -> Result<Self, MalformedId> {
        let d = s.strip_prefix("job-").ok_or(MalformedId)?;
        if d.is_empty() || d.len() > 18 || !d.bytes().all(|b| b.is_ascii_digit()) {
            return Err(MalformedId);
        }
        Ok(Self {
            number: d.parse().map_err(|_| MalformedId)?,
            digits: d.len() as u8,
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

/// A task's id: its job and its index in it, `job-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Its index in the job, from 0.
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

macro_rules! serde_by_text {
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
serde_by_text!(JobId, TaskId);

/// Name of a machine, given by the cloud.
pub type MachineId = Arc<str>;
