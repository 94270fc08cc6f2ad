//! Bodies of the protocol with the cloud: machine types, rentals, the list.

use serde::{Deserialize, Serialize};

use super::ids::MachineId;

/// A machine type on offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory.
    pub memory_gb: f64,
    /// Room for images.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Speed of image fetches.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Current spot price an hour.
    #[serde(default)]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones it is offered in.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Response of `GET /machine_types`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// The types.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// Body of `POST /hosts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Name of the request, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type wanted.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone wanted.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Machine names, as response to a rental and as body of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "racks")]
    pub machines: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloudState {
    /// Not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "name_id")]
    pub id: MachineId,
    /// Where it takes commands.
    #[serde(rename = "endpoint", default)]
    pub addr: String,
    /// Its type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: CloudState,
    /// Its age at the time of the list.
    #[serde(default)]
    pub age_s: f64,
}

/// Response of `GET /hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines.
    #[serde(rename = "racks")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
}
