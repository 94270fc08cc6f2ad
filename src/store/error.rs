//! Errors of requests to the state service: which request failed, and how.

use std::fmt;

use crate::http::HttpError;

/// A request to the state service, as it is named in errors.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Read of a key.
    Get {
        /// Key that is read.
        key: String,
    },
    /// Read of all keys with a prefix.
    List {
        /// Prefix of the keys that are read.
        prefix: String,
    },
    /// Watch for changes of the keys with a prefix.
    Watch {
        /// Prefix of the keys that are watched.
        prefix: String,
    },
    /// Execution of a transaction.
    Transact {
        /// Key of its first change; `None` if it changes nothing.
        first_key: Option<String>,
        /// Number of puts and deletes.
        changes: usize,
    },
    /// Grant of a new lease, for an election.
    GrantLease,
    /// Renewal of the leader's lease.
    RenewLease {
        /// Id of the lease to renew.
        lease: u64,
    },
    /// Revocation of a lease that is no longer needed.
    RevokeLease {
        /// Id of the lease to revoke.
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

/// How a request failed, as the client saw it.
#[derive(Debug, thiserror::Error)]
pub enum FailureCause {
    /// No response: connecting, sending or receiving failed or timed out.
    #[error("{0}")]
    Http(#[source] Box<HttpError>),
    /// A response with this HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// A response whose body can't be parsed.
    #[error("malformed response: {0}")]
    MalformedResponse(#[source] serde_json::Error),
    /// The client's own request budget is used up for longer than the caller waits.
    #[error("request budget exhausted")]
    BudgetExhausted,
}

/// Why a request to the state service failed. The variants differ in what the
/// caller may conclude about its execution.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Not sent, or refused for now: the request was not executed.
    #[error("state service unavailable: {operation}: {source}")]
    Unavailable {
        /// The request, which may be sent again.
        operation: Operation,
        /// Why it was not sent, or how it was refused.
        source: FailureCause,
    },
    /// No usable response: the request may have been executed, or may still be.
    #[error("state service did not answer: {operation}: {source}")]
    Unanswered {
        /// The request, whose effect is in doubt.
        operation: Operation,
        /// Why there is no response, or why it can't be used.
        source: FailureCause,
    },
    /// Conditions of a transaction did not hold: it was not executed.
    #[error("conditions of the transaction failed for keys {failed_keys:?}")]
    Conflict {
        /// The keys whose conditions did not hold.
        failed_keys: Vec<String>,
    },
    /// The lease does not exist: it may have expired or been revoked.
    #[error("no such lease: {operation}")]
    LeaseNotFound {
        /// The request that named the lease.
        operation: Operation,
    },
    /// The request exceeds the limits on sizes, so it was not sent.
    #[error("request exceeds the state service's limits on sizes: {operation}")]
    TooLarge {
        /// The transaction that was not sent.
        operation: Operation,
    },
    /// The state service no longer keeps the revision to watch from.
    #[error("revision is no longer kept: {operation}")]
    RevisionTooOld {
        /// The watch, which needs a new listing or read first.
        operation: Operation,
    },
    /// Rejected permanently: the same request would be rejected again.
    #[error("state service rejected the request with status {status}: {operation}")]
    Rejected {
        /// The request, which must not be repeated as it is.
        operation: Operation,
        /// HTTP status of the response.
        status: u16,
    },
    /// The request can't be serialized as JSON, so it was not sent.
    #[error("request can't be serialized: {operation}: {source}")]
    Unserializable {
        /// The request that was not sent.
        operation: Operation,
        /// Why the serializer failed.
        source: serde_json::Error,
    },
    /// A stored value doesn't have the content that its key is for.
    #[error("value of key {key} can't be read")]
    UnreadableValue {
        /// Key whose value was read.
        key: String,
        /// The parser's error; `None` if the caller found the value invalid itself.
        source: Option<serde_json::Error>,
    },
    /// A key that has to exist does not.
    #[error("key {key} does not exist")]
    KeyNotFound {
        /// Key that was expected to exist.
        key: String,
    },
}

impl StoreError {
    pub(super) fn unavailable(operation: Operation, source: FailureCause) -> Self {
        Self::Unavailable { operation, source }
    }

    /// Error of a request without a response. One that was never sent was certainly not
    /// executed.
    pub(super) fn no_response(operation: Operation, source: HttpError) -> Self {
        let unsent = matches!(source, HttpError::Unsent { .. });
        let source = FailureCause::Http(Box::new(source));
        if unsent {
            Self::Unavailable { operation, source }
        } else {
            Self::Unanswered { operation, source }
        }
    }

    /// Error of a response whose body can't be parsed.
    pub(super) fn malformed(operation: Operation, source: serde_json::Error) -> Self {
        Self::Unanswered {
            operation,
            source: FailureCause::MalformedResponse(source),
        }
    }

    /// Error of a response whose status is not success and has no meaning of its own for
    /// the request. After a 5xx other than 503 the request may have been executed.
    pub(super) fn from_status(operation: Operation, status: u16) -> Self {
        let source = FailureCause::Status(status);
        match status {
            429 | 503 => Self::Unavailable { operation, source },
            500..=599 => Self::Unanswered { operation, source },
            _ => Self::Rejected { operation, status },
        }
    }
}
