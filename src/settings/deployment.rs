//! The TOML settings file that the platform hands to a controller.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::checks;
use super::error::{FieldError, SettingsError};
use super::ClusterSettings;

/// Contents of the settings file. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct DeploymentSettings {
    /// This controller's name, unique among the controllers.
    #[serde(rename = "host_name")]
    pub host: String,
    /// Name of the zone that this controller runs in.
    #[serde(default)]
    pub zone: String,
    /// Address that it listens on for HTTP requests of users and workers and health checks.
    #[serde(rename = "api_addr")]
    pub api_address: SocketAddr,
    /// Address that it listens on for the other controllers.
    #[serde(rename = "back")]
    pub peer_address: SocketAddr,
    /// The other controllers of the cluster.
    #[serde(default, rename = "seeds")]
    pub peers: Vec<PeerAddress>,
    /// Addresses of the services that it uses.
    pub services: ServiceAddresses,
    /// Settings that are the same for all controllers.
    pub cluster: ClusterSettings,
}

/// Name and address of another controller of the cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerAddress {
    /// Its name, the `host_name` of its own settings.
    #[serde(rename = "host_name")]
    pub host: String,
    /// Address that it listens on for the other controllers.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
}

/// Addresses of the services that a controller uses.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

impl DeploymentSettings {
    /// Reads the file and checks its values; the error names the first bad field.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, &file),
            Err(source) => Err(SettingsError::Unreadable { file, source }),
        }
    }

    /// Parses and checks `text`; errors name `file` as its source.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        Self::deserialize_toml(text)
            .and_then(|settings| checks::check(&settings).map(|()| settings))
            .map_err(|error| error.in_file(file))
    }

    fn deserialize_toml(text: &str) -> Result<Self, FieldError> {
        let deserializer =
            toml::Deserializer::parse(text).map_err(|e| FieldError::whole_file(e.message()))?;
        serde_path_to_error::deserialize(deserializer)
            .map_err(|e| FieldError::malformed(e.path().to_string(), e.inner().message()))
    }
}
