//! The settings of a controller, from two sources. Both are read once, at the start,
//! and checked; an error names the file and the field. Nothing here changes later.
//!
//! * [`DeploymentSettings`] (`deployment`, `cluster`, `state_limits`): the TOML file
//!   that the platform hands over. `checks` holds the bounds of its values, `readers`
//!   the units.
//! * [`OperatorSettings`] (`operator`): what operators may set themselves, in a file of
//!   Java-style properties.
//! * [`SettingsError`] (`error`): why either can't be used.
//!
//! The names of fields in files are the platform's; each is kept by a serde attribute
//! where the scheduler's own name differs.

mod checks;
mod cluster;
mod deployment;
mod error;
mod operator;
mod readers;
mod state_limits;

pub use cluster::{CloudLimits, ClusterSettings, Objective, ProcessLimits, Team, WorkerTiming};
pub use deployment::{DeploymentSettings, PeerAddress, ServiceAddresses};
pub use error::{InvalidValue, SettingsError};
pub use operator::OperatorSettings;
pub use state_limits::{NextStateLimits, StateLimits};
