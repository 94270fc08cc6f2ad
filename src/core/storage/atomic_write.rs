//! Changes in the state service that are made together or not at all.

use std::collections::HashSet;

use serde_json::Value;

/// Changes that are made together, on condition that the keys are as the leader knows them.
#[derive(Debug, Default)]
pub struct AtomicWrite {
    /// Keys and their new values; `None` deletes the key.
    pub changes: Vec<(String, Option<Value>)>,
    /// Keys that must not exist beforehand, whether they are changed or not.
    pub absent: Vec<String>,
    /// Whether this write is sent before those that are not urgent, such as the log and
    /// most final states; in most cases because a user or other jobs wait for it.
    pub urgent: bool,
}

impl AtomicWrite {
    /// All keys that are changed or must not exist.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &String> {
        self.changes.iter().map(|change| &change.0).chain(&self.absent)
    }

    /// Whether one of `keys` is changed or must not exist.
    pub(crate) fn uses_any(&self, keys: &HashSet<String>) -> bool {
        self.keys().any(|key| keys.contains(key))
    }
}
