//! Changes of the state service that are made together or not at all.

use std::collections::HashSet;

use serde_json::Value;

/// Changes that belong together, guarded by what the leader knows of the keys.
#[derive(Debug, Default)]
pub struct AtomicWrite {
    /// Keys and their new values (`None`: to be deleted).
    pub changes: Vec<(String, Option<Value>)>,
    /// Keys that must not exist, whether they change or not.
    pub absent: Vec<String>,
    /// A user waits for it: it goes before the log and final states.
    pub urgent: bool,
}

impl AtomicWrite {
    /// The keys that it names.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &String> {
        self.changes.iter().map(|change| &change.0).chain(&self.absent)
    }

    /// Whether it names one of the keys.
    pub(crate) fn uses_any(&self, keys: &HashSet<String>) -> bool {
        self.keys().any(|key| keys.contains(key))
    }
}
