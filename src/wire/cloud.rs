//! Bodies of the cloud's API: machine types, rentals, releases and the machine list.
//!
//! [`ListedMachine`] and a worker's [`Heartbeat`](super::Heartbeat) have some fields in
//! common, but no common type: it would need serde's `flatten`, which buffers all fields,
//! and each worker's heartbeat is parsed every few seconds.

use serde::{Deserialize, Serialize};

use super::ids::MachineId;

/// A machine type on offer: an item of the response of `GET /machine_types`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name, unique in the cloud.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs that tasks may take on a machine of this type.
    pub cpus: f64,
    /// Accelerators that tasks may take on a machine of this type.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory of a machine in GB.
    pub memory_gb: f64,
    /// Local storage for images in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Speed at which an image is fetched, in GB per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Hourly price of an on-demand machine.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Current hourly price of a spot machine; 0: the type has no spot machines.
    #[serde(default)]
    pub spot_price: f64,
    /// Usual boot time in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Names of the zones that it is offered in; none: all zones of the cluster.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Response of `GET /machine_types`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// All types on offer, in all zones.
    #[serde(rename = "rigs")]
    pub machine_types: Vec<MachineType>,
}

/// Body of `POST /hosts`: rents machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Name of the request, never used for another one: the cloud executes a request that
    /// is repeated under the same name only once.
    #[serde(rename = "hire")]
    pub name: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Name of the zone to rent in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are rented instead of on-demand ones.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines; the cloud may rent fewer.
    pub count: u32,
}

/// Ids of machines: the response of `POST /hosts` (machines rented), and the body of
/// `POST /hosts/release` (machines to release).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineIds {
    /// Ids of the machines that are rented or to be released.
    #[serde(rename = "racks")]
    pub machines: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloudMachineState {
    /// It is rented and boots.
    #[serde(rename = "starting")]
    Booting,
    /// It has booted and is up.
    Running,
    /// It has failed: nothing runs on it any more.
    Failed,
}

/// A machine in the cloud's list: an item of the response of `GET /hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Id that the cloud gave it.
    #[serde(rename = "name_id")]
    pub id: MachineId,
    /// Address (host and port) at which its worker takes commands.
    #[serde(rename = "endpoint", default)]
    pub address: String,
    /// Name of its machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Name of the zone that it was rented in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its state when the cloud made the list.
    #[serde(rename = "standing")]
    pub state: CloudMachineState,
    /// Time since its rental when the list was made, in seconds.
    #[serde(default)]
    pub age_s: f64,
}

/// Response of `GET /hosts`: one page of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines of this page.
    #[serde(rename = "racks")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow after the last one of this page.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
}
