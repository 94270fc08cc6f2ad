//! Typed JSON bodies of the four protocols: with users, workers, the cloud and the
//! state service, one module each; `ids` holds the ids that they share. The types only
//! describe messages, and any module may use them.
//!
//! The names on the wire are the platform's, kept by serde attributes; the Rust names
//! are the standard terms. Durations ending in `_s` are in seconds, sizes in `_gb` in GB.

mod cloud;
mod ids;
mod state;
mod users;
mod workers;

pub use cloud::*;
pub use ids::*;
pub use state::*;
pub use users::*;
pub use workers::*;

/// Largest request body in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;
