//! Errors of requests to the state service: which request failed, and how.

use std::fmt;

use crate::http::HttpError;

/// A request to the state service, as named in errors.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// The read of a key.
    Get {
        /// The key.
        key: String,
    },
    /// The read of all keys with a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// The wait for a change of a key with a prefix.
    Watch {
        /// The prefix.
        prefix: String,
    },
    /// A transaction.
    Transact {
        /// The key that it changes first; none if it changes nothing.
        first_key: Option<String>,
        /// Puts and deletes in it.
        changes: usize,
    },
    /// The grant of a lease.
    GrantLease,
    /// The renewal of a lease.
    RenewLease {
        /// The lease's number.
        lease: u64,
    },
    /// The revocation of a lease.
    RevokeLease {
        /// The lease's number.
        lease: u64,
    },
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Get { key } => write!(f, "get {key}"),
            Self::List { prefix } => write!(f, "list {prefix}"),
            Self::Watch { prefix } => write!(f, "watch {prefix}"),
            Self::Transact {
                first_key: Some(key),
                changes,
            } => write!(f, "transaction of {changes} changes, the first of {key}"),
            Self::Transact { changes, .. } => write!(f, "transaction of {changes} changes"),
            Self::GrantLease => f.write_str("lease grant"),
            Self::RenewLease { lease } => write!(f, "renewal of lease {lease}"),
            Self::RevokeLease { lease } => write!(f, "revocation of lease {lease}"),
        }
    }
}

/// What the client saw of a request that failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No response.
    #[error("{0}")]
    Http(#[source] Box<HttpError>),
    /// A response with this HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// A response of success whose body can't be read.
    #[error("malformed response: {0}")]
    MalformedResponse(#[source] serde_json::Error),
    /// This client's own budget of requests has no room soon enough.
    #[error("the budget of requests is used up")]
    BudgetExhausted,
}

/// Why a request to the state service failed. The variants differ in what the
/// caller may conclude about its execution.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Refused for now: it was not executed.
    #[error("state service unavailable: {operation}: {source}")]
    Unavailable {
        /// The request.
        operation: Operation,
        /// What the client saw.
        source: Failure,
    },
    /// No usable response: it may have been executed, or may still be.
    #[error("state service did not answer: {operation}: {source}")]
    Unanswered {
        /// The request.
        operation: Operation,
        /// What the client saw.
        source: Failure,
    },
    /// Conditions of a transaction did not hold: it was not executed.
    #[error("conditions failed: {failed_keys:?}")]
    Conflict {
        /// The keys whose conditions did not hold.
        failed_keys: Vec<String>,
    },
    /// The lease does not exist, or exists no more.
    #[error("no such lease: {operation}")]
    LeaseNotFound {
        /// The request.
        operation: Operation,
    },
    /// Larger than the limits allow, so it was not sent.
    #[error("larger than the state service's limits allow: {operation}")]
    TooLarge {
        /// The request.
        operation: Operation,
    },
    /// The revision to watch from is no longer kept.
    #[error("revision too old: {operation}")]
    RevisionTooOld {
        /// The request.
        operation: Operation,
    },
    /// Rejected for good: the same request would be rejected again.
    #[error("rejected with status {status}: {operation}")]
    Rejected {
        /// The request.
        operation: Operation,
        /// HTTP status of the response.
        status: u16,
    },
    /// The request can't be put into JSON, so it was not sent.
    #[error("can't be serialized: {operation}: {source}")]
    Unserializable {
        /// The request.
        operation: Operation,
        /// What failed.
        source: serde_json::Error,
    },
    /// A stored value is not what its key is for.
    #[error("the value of {key} can't be read")]
    UnreadableValue {
        /// The key.
        key: String,
        /// What failed, if the value is not even of the right form.
        source: Option<serde_json::Error>,
    },
    /// A key that has to exist does not.
    #[error("{key} does not exist")]
    KeyNotFound {
        /// The key.
        key: String,
    },
}

impl StoreError {
    pub(super) fn unavailable(operation: Operation, source: Failure) -> Self {
        Self::Unavailable { operation, source }
    }

    /// No response. Of a request that was never sent it is known that it was not
    /// executed.
    pub(super) fn no_response(operation: Operation, source: HttpError) -> Self {
        let unsent = matches!(source, HttpError::Unsent { .. });
        let source = Failure::Http(Box::new(source));
        if unsent {
            Self::Unavailable { operation, source }
        } else {
            Self::Unanswered { operation, source }
        }
    }

    /// A response of success whose body can't be read.
    pub(super) fn malformed(operation: Operation, source: serde_json::Error) -> Self {
        Self::Unanswered {
            operation,
            source: Failure::MalformedResponse(source),
        }
    }

    /// A response with a status that means no success and nothing particular to
    /// the request.
    pub(super) fn refused(operation: Operation, status: u16) -> Self {
        let source = Failure::Status(status);
        match status {
            429 | 503 => Self::Unavailable { operation, source },
            500..=599 => Self::Unanswered { operation, source },
            _ => Self::Rejected { operation, status },
        }
    }
}
