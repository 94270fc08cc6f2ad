//! The protocol between the controllers: length-prefixed borsh frames over TCP.
//!
//! Each controller keeps one outgoing [`PeerLink`] to each other controller, on which
//! it sends requests and pings, and [`listen`]s for theirs. A response carries the
//! number of its request, so that many requests may be under way on one link.
//!
//! - [`frame`] owns what is on the wire: its bytes are those of all earlier versions.
//! - [`codec`] turns frames into bytes and back.
//! - [`link`] is the requesting side, [`listener`] the responding one.
//! - [`handler`] is what a controller has to provide. Nothing here knows more of it.

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

/// A link on which nothing was received for so long is cut.
const MAX_SILENCE: Duration = Duration::from_millis(2500);
