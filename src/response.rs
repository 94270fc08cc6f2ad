//! The answer to a request, wherever it is computed: at the controller that was
//! asked, or at the leader, whose answer is relayed.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::wire::Redirect;

/// An answer, in terms of the HTTP response that it becomes.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ApiResponse {
    /// Status; 0 where the asked one doesn't lead.
    pub status: u16,
    /// When to come back, in seconds.
    pub retry_after: Option<u16>,
    /// JSON body.
    pub body: Vec<u8>,
}

impl ApiResponse {
    /// A response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        Self {
            status,
            retry_after: None,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// An error with a reason.
    pub fn error(status: u16, reason: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": reason }))
    }

    /// It can't be known or done now; come back in a second.
    pub fn unavailable(reason: &str) -> Self {
        Self {
            retry_after: Some(1),
            ..Self::error(503, reason)
        }
    }

    /// Tells a worker to send its heartbeats to another controller from now on.
    pub fn redirect(host: &str) -> Self {
        let report_to = Some(host.to_owned());
        Self::json(421, &Redirect { report_to })
    }

    /// The controller that was asked does not lead.
    pub fn not_leading() -> Self {
        Self {
            status: 0,
            retry_after: None,
            body: Vec::new(),
        }
    }
}
