//! The protocol between the controllers: length-prefixed borsh frames over TCP.
//!
//! Each controller keeps one outgoing [`PeerLink`] to each other controller, on which it
//! sends requests and pings, and [`listen`]s for incoming connections from the others. A
//! response carries the id of its request, so that many requests may be in progress on one
//! connection.
//!
//! - [`frame`] defines the frames, whose bytes are the same as in all earlier versions.
//! - [`codec`] encodes and decodes frames.
//! - [`link`] is the requesting side, [`listener`] the responding side.
//! - [`handler`] is the trait through which both sides call the controller. They use
//!   nothing else of it.

pub mod codec;
pub mod frame;
pub mod handler;
pub mod link;
pub mod listener;

pub use codec::{encode, next_for_batch, read_frame, LinkError, MAX_BATCH_BYTES};
pub use frame::{Frame, KnownLeader, PeerRequest};
pub use handler::PeerRequestHandler;
pub use link::PeerLink;
pub use listener::listen;

use std::time::Duration;

/// A connection on which no frame was received for this long is closed.
const MAX_SILENCE: Duration = Duration::from_millis(2500);
