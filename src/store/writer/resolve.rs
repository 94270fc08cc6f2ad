//! What became of a transaction whose conditions did not hold.

use std::collections::HashMap;

use serde_json::Value;
use tokio::time::sleep;
use tracing::info;

use super::batch::Batch;
use super::send::{EarlierCopy, UNAVAILABLE_PAUSE};
use super::{CommitError, Writer};
use crate::store::KeyRead;

/// What the state service has of a key.
struct StoredValue {
    /// 0 if the key does not exist.
    version: u64,
    value: Value,
}

impl Writer {
    /// Some keys were not as expected: either an earlier copy of this very
    /// transaction, which was not answered, has been executed, or somebody else has
    /// written the keys. Reads the keys to find out. Writes whose keys were changed
    /// by somebody else fail; the rest, which is to be sent again, is returned.
    pub(super) async fn resolve_conflict(
        &self,
        batch: Batch,
        failed_keys: &[String],
        earlier_copy: EarlierCopy,
    ) -> Batch {
        let mut keys = failed_keys.to_vec();
        if earlier_copy == EarlierCopy::Possible {
            keys.extend(batch.changes().map(|(key, _)| key.clone()));
        }
        keys.sort();
        keys.dedup();
        let Some(stored) = self.read_stored(&keys).await else {
            return batch;
        };
        if earlier_copy == EarlierCopy::Possible {
            if let Some(revision) = revision_of_copy(&batch, &stored) {
                self.state.lock().record_stored(batch, revision);
                return Batch::default();
            }
        }
        {
            let mut state = self.state.lock();
            for (key, found) in &stored {
                state.set_version(key, found.version);
            }
        }
        fail_conflicting(batch, failed_keys)
    }

    /// Reads keys, each until that succeeds; `None` if the term ends first.
    async fn read_stored(&self, keys: &[String]) -> Option<HashMap<String, StoredValue>> {
        let mut stored = HashMap::new();
        for key in keys {
            let found = self.read_until_answered(key).await?;
            stored.insert(key.clone(), found);
        }
        Some(stored)
    }

    async fn read_until_answered(&self, key: &str) -> Option<StoredValue> {
        loop {
            if self.has_ended() {
                return None;
            }
            match self.store.get(key).await {
                Ok(KeyRead::Found(item)) => {
                    return Some(StoredValue {
                        version: item.version,
                        value: item.value,
                    })
                }
                Ok(KeyRead::Missing { .. }) => {
                    return Some(StoredValue {
                        version: 0,
                        value: Value::Null,
                    })
                }
                Err(_) => sleep(UNAVAILABLE_PAUSE).await,
            }
        }
    }
}

/// The revision at which a copy of the batch was executed, if the keys that it changes
/// are all as it leaves them, and were all written at one revision.
fn revision_of_copy(batch: &Batch, stored: &HashMap<String, StoredValue>) -> Option<u64> {
    let mut revision = None;
    let is_executed = batch.changes().all(|(key, new_value)| {
        let Some(StoredValue { version, value }) = stored.get(key) else {
            return false;
        };
        match new_value {
            Some(new_value) => {
                value == new_value && *revision.get_or_insert(*version) == *version && *version > 0
            }
            None => *version == 0,
        }
    });
    revision.filter(|_| is_executed)
}

/// Lets the writes fail that name one of the keys; the others.
fn fail_conflicting(batch: Batch, failed_keys: &[String]) -> Batch {
    let mut rest = Batch::default();
    for queued in batch {
        let keys = queued.write.keys();
        let conflicting: Vec<String> = keys.filter(|key| failed_keys.contains(key)).cloned().collect();
        if conflicting.is_empty() {
            rest.push(queued);
        } else {
            info!(keys = ?conflicting, "write conflicts with keys changed by another");
            queued.finish(Err(CommitError::Conflict(conflicting)));
        }
    }
    rest
}
