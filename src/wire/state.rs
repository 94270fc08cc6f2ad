//! Bodies of the state service's API: keys, transactions, leases and watches.

use serde::{Deserialize, Serialize};

/// A key with its value: the response of `GET /kv/{key}`, and an item of a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue<V = serde_json::Value> {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: V,
    /// Its version: the store's revision at its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response of `GET /kv`: one page of a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyPage {
    /// The keys with their values, in key order.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    /// The store's revision as of this page.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a [`Transaction`] on the version of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The version that it must have; 0: the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a [`Transaction`] to one key.
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
        /// The lease with whose end the key is deleted.
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

/// Body of `POST /multi`: all changes are made if all conditions hold, else none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold for the changes to be made.
    #[serde(rename = "guards")]
    pub conditions: Vec<Condition>,
    /// What is changed.
    #[serde(rename = "writes")]
    pub changes: Vec<Change>,
}

/// Response of `POST /multi`, and of `GET /kv/{key}` for a key that doesn't exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// The store's revision after the transaction or as of the read.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose condition didn't hold (409).
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Response of `POST /holds`, which grants a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease's id.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// Response of `GET /watch`, which waits for changes of keys with a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the changes are complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes since the revision that was asked for, in order.
    #[serde(rename = "log", default)]
    pub events: Vec<WatchEvent>,
}

/// A change that a watch reports.
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
    /// The store's revision at the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}
