//! Bodies of the state service's API: keys, transactions, leases and watches.

use serde::{Deserialize, Serialize};

/// A key with its value: the response of `GET /kv/{key}`, and an item of a [`KeyPage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue<V = serde_json::Value> {
    /// The key's full name, prefix included.
    #[serde(rename = "path")]
    pub key: String,
    /// The value stored under it.
    #[serde(rename = "v")]
    pub value: V,
    /// Its version: the state service's revision at its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response of `GET /kv`: one page of the keys that start with a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyPage {
    /// The keys with their values, in key order.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// Whether more keys follow after the last one of this page.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    /// The state service's revision when this page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a [`Transaction`] on the version of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key whose version is checked.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have; 0: it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a [`Transaction`] to one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value, whether the key exists or not.
    Put {
        /// The key that is written.
        put: String,
        /// The value that the key has afterwards.
        #[serde(rename = "v")]
        value: serde_json::Value,
        /// Lease that the key is bound to: when it ends, the key is deleted.
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key that is deleted.
        #[serde(rename = "drop")]
        delete: String,
    },
}

impl Change {
    /// The key that is written or deleted.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Delete { delete } => delete,
        }
    }
}

/// Body of `POST /multi`: if all conditions hold, all changes are made, otherwise none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    #[serde(rename = "guards")]
    pub conditions: Vec<Condition>,
    /// Changes that are made together.
    #[serde(rename = "writes")]
    pub changes: Vec<Change>,
}

/// Response of `POST /multi`, and of `GET /kv/{key}` for a key that doesn't exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// The state service's revision after the transaction or at the read.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose condition didn't hold (status 409).
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Response of `POST /holds`, which grants a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Id of the lease that was granted.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// Response of `GET /watch`, which waits for changes of keys with a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which `events` is complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes after the requested revision, in order.
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
    /// The value, if the key was written.
    #[serde(rename = "v", default)]
    pub value: serde_json::Value,
    /// The state service's revision at the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}
