//! The response to a request, wherever it is computed: at the controller that got the
//! request, or at the leader, whose response is passed on between controllers.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::wire::Redirect;

/// The status that stands for a controller which does not lead.
const NOT_LEADING: u16 = 0;

/// A response, in terms of the HTTP response that it becomes.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ApiResponse {
    /// HTTP status; 0 between controllers, where the one that was sent the request
    /// does not lead.
    pub status: u16,
    /// When to send the request again, in seconds.
    pub retry_after: Option<u16>,
    /// JSON body; empty for [`not_leading`](Self::not_leading).
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

    /// An error, with a reason for its user.
    pub fn error(status: u16, reason: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": reason }))
    }

    /// It can't be known or done now; the request may be sent again in a second.
    pub fn unavailable(reason: &str) -> Self {
        Self {
            retry_after: Some(1),
            ..Self::error(503, reason)
        }
    }

    /// Redirects a worker: its heartbeats are to go to another controller from now on.
    pub fn redirect(host: &str) -> Self {
        let report_to = Some(host.to_owned());
        Self::json(421, &Redirect { report_to })
    }

    /// The controller that got a request does not lead. Never sent to users.
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

    /// Whether the request can't be carried out now, though perhaps by another controller.
    pub fn is_unavailable(&self) -> bool {
        self.status == 503
    }
}
