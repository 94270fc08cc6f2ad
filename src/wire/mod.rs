//! Typed JSON bodies of the four protocols. The deployment's field names are
//! renamed onto the field's standard terms: team, task, priority, zone, token,
//! lease and so on.

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

/// Largest request body.
pub const BODY_LIMIT: u64 = 64 * 1024;
