//! JSON bodies of the four protocols, with users, workers, the cloud and the state
//! service: one module for each, and `ids` with the ids that they share. The types only
//! describe messages; any module may use them.
//!
//! The names on the wire are the platform's. Where the Rust name of a field or variant
//! differs, a serde attribute keeps the name on the wire. Fields that end in `_s` are in
//! seconds, those that end in `_gb` in GB.

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

/// Largest request body that the HTTP API accepts, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;
