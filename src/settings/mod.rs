//! The settings of a controller, from two files. Both are read and checked once, when the
//! program starts, and don't change later. An error names the file and the field.
//!
//! * [`DeploymentSettings`] (`deployment`, `cluster`, `state_limits`): the TOML file
//!   that the platform hands over. `checks` checks the bounds of its values,
//!   `readers` deserializes numbers by their units.
//! * [`OperatorSettings`] (`operator`): the operators' own settings, an optional file of
//!   Java-style properties.
//! * [`SettingsError`] (`error`): why one of the files can't be used.
//!
//! The names of the fields in the TOML file are the platform's. Where the Rust name
//! differs, a serde attribute keeps the name in the file.

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
