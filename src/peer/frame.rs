//! The frames that two controllers exchange.
//!
//! Their borsh bytes, and so the order of variants and fields, are the same as in all
//! earlier versions. A variant that an earlier version can't decode would end its
//! connection, so additions go into the JSON bodies that the frames carry.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::response::ApiResponse;

/// A request that one controller sends to another.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Shows that the sender is alive; the response is a [`Frame::Pong`].
    Ping {
        /// The highest term known to the sender.
        term: u64,
    },
    /// A user's submission: its JSON body.
    Submit(Vec<u8>),
    /// A user's poll of the job with this id.
    Poll(String),
    /// A user's cancellation of the job with this id.
    Cancel(String),
    /// A worker's heartbeat: its JSON body.
    Heartbeat(Vec<u8>),
}

/// The controller that leads, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct KnownLeader {
    /// The term for which it was elected.
    pub term: u64,
    /// Name of the leading controller.
    pub host: String,
}

/// The unit of transmission between two controllers.
#[derive(Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// The first frame on a connection, sent by the controller that opened it.
    Hello {
        /// Name of the controller that opened the connection.
        host: String,
    },
    /// A request, sent by the controller that opened the connection.
    Request {
        /// Unique among the requests on this connection.
        id: u64,
        /// The ping, or the forwarded request of a user or worker.
        request: PeerRequest,
    },
    /// The response to a request other than a ping.
    Response {
        /// The id of the request that this responds to.
        id: u64,
        /// The highest term known to the sender.
        term: u64,
        /// The response to pass on to the user or worker.
        response: ApiResponse,
    },
    /// The response to a ping.
    Pong {
        /// The highest term known to the sender.
        term: u64,
        /// The latest leader known to the sender.
        leader: Option<KnownLeader>,
    },
}
