//! The response to a user's or worker's request. The controller that received the request
//! computes it, or forwards the request to the leader and passes the leader's response on.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::wire::Redirect;

/// Longest time that a controller spends on the response to a poll. Users wait 2 s for it,
/// so a later response would reach nobody.
pub const MAX_POLL_TIME: Duration = Duration::from_millis(1800);

/// The status of [`ApiResponse::not_leading`], which is no HTTP status.
const NOT_LEADING: u16 = 0;

/// The parts of an HTTP response; also sent between controllers as borsh.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ApiResponse {
    /// HTTP status; 0, only between controllers, if the controller that was sent the
    /// request does not lead.
    pub status: u16,
    /// Seconds after which the client may retry the request.
    pub retry_after: Option<u16>,
    /// JSON body; empty for [`not_leading`](Self::not_leading).
    pub body: Vec<u8>,
}

impl ApiResponse {
    /// Creates a response with `body` as JSON.
    pub fn with_json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        Self {
            status,
            retry_after: None,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// Creates an error response whose JSON body gives the client the reason.
    pub fn error(status: u16, reason: &str) -> Self {
        Self::with_json(status, &serde_json::json!({ "error": reason }))
    }

    /// Creates a 503: the request can't be responded to or carried out now, and may be
    /// retried after a second.
    pub fn unavailable(reason: &str) -> Self {
        Self {
            retry_after: Some(1),
            ..Self::error(503, reason)
        }
    }

    /// Creates a 421 that tells a worker to send its heartbeats to the controller `host`.
    pub fn redirect(host: &str) -> Self {
        let report_to = Some(host.to_owned());
        Self::with_json(421, &Redirect { report_to })
    }

    /// Creates the response of a controller that was forwarded a request but does not
    /// lead. It is never sent to users.
    pub fn not_leading() -> Self {
        Self {
            status: NOT_LEADING,
            retry_after: None,
            body: Vec::new(),
        }
    }

    /// Whether this is [`not_leading`](Self::not_leading).
    pub fn is_not_leading(&self) -> bool {
        self.status == NOT_LEADING
    }

    /// Whether this is a 503: another controller may still be able to carry out the
    /// request.
    pub fn is_unavailable(&self) -> bool {
        self.status == 503
    }
}
