//! Bodies of the protocol with the state service: keys, transactions, leases, watches.

use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue<V = serde_json::Value> {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: V,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response of a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyPage {
    /// The items.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    /// Revision of the store.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The version it must have, 0 for none.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key.
        put: String,
        /// Its value.
        #[serde(rename = "v")]
        value: serde_json::Value,
        /// The lease it is attached to.
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        delete: String,
    },
}

impl Change {
    /// The key that changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Delete { delete } => delete,
        }
    }
}

/// Body of `POST /multi`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    #[serde(rename = "guards")]
    pub conditions: Vec<Condition>,
    /// What is then done.
    #[serde(rename = "writes")]
    pub changes: Vec<Change>,
}

/// Response of `POST /multi` and of a missing key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Revision of the store.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Response of `POST /holds`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease's number.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// Response of `GET /watch`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which it tells.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes.
    #[serde(rename = "log", default)]
    pub events: Vec<WatchEvent>,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value written.
    #[serde(rename = "v", default)]
    pub value: serde_json::Value,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}
