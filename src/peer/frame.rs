//! The frames on a link between two controllers.
//!
//! Their borsh bytes, the order of variants and fields included, are those of all
//! earlier versions. A variant that one of them can't read would end its connection,
//! so what is new goes into the JSON bodies inside.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::response::ApiResponse;

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Keeps the link alive; the response is a [`Frame::Pong`].
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

/// A controller that leads, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct KnownLeader {
    /// The term that it was elected for.
    pub term: u64,
    /// Its name.
    pub host: String,
}

/// What goes over a link.
#[derive(Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// The first frame on a link, from the side that connected.
    Hello {
        /// The sender's name.
        host: String,
    },
    /// A request.
    Request {
        /// Its number, which no other request on this link has.
        id: u64,
        /// The request.
        request: PeerRequest,
    },
    /// The response to a request.
    Response {
        /// The request's number.
        id: u64,
        /// The highest term known to the sender.
        term: u64,
        /// The response.
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
