//! Handling of transactions whose conditions did not hold.

use std::collections::HashMap;

use serde_json::Value;
use tokio::time::sleep;
use tracing::info;

use super::batch::Batch;
use super::send::{EarlierAttempt, UNAVAILABLE_PAUSE};
use super::{CommitError, Writer};
use crate::store::KeyRead;

/// Version and value of a key in the state service.
struct StoredValue {
    /// 0 if the key does not exist.
    version: u64,
    /// Null if the key does not exist.
    value: Value,
}

impl Writer {
    /// Handles a transaction whose conditions on `failed_keys` did not hold: either an
    /// earlier attempt, which was not answered, has been executed, or another writer has
    /// changed the keys. Reads the keys to find out which. If an earlier attempt has
    /// stored the batch, reports that and returns an empty batch. Otherwise fails the
    /// writes that name one of `failed_keys`, and returns the others, to be sent again.
    pub(super) async fn resolve_conflict(
        &self,
        batch: Batch,
        failed_keys: &[String],
        earlier_attempt: EarlierAttempt,
    ) -> Batch {
        let mut keys = failed_keys.to_vec();
        if earlier_attempt == EarlierAttempt::MaybeExecuted {
            keys.extend(batch.changes().map(|(key, _)| key.clone()));
        }
        keys.sort();
        keys.dedup();
        let Some(stored) = self.read_stored(&keys).await else {
            return batch;
        };
        if earlier_attempt == EarlierAttempt::MaybeExecuted {
            if let Some(revision) = revision_of_earlier_attempt(&batch, &stored) {
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

    /// Reads keys, retrying each until that succeeds; `None` if the term ends first.
    async fn read_stored(&self, keys: &[String]) -> Option<HashMap<String, StoredValue>> {
        let mut stored = HashMap::new();
        for key in keys {
            let found = self.read_with_retries(key).await?;
            stored.insert(key.clone(), found);
        }
        Some(stored)
    }

    async fn read_with_retries(&self, key: &str) -> Option<StoredValue> {
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

/// The revision at which an earlier attempt of the batch was executed: all keys that it
/// changes are as it leaves them, and all that exist were written at one revision.
/// `None` if that is not so, or if the batch only deletes.
fn revision_of_earlier_attempt(batch: &Batch, stored: &HashMap<String, StoredValue>) -> Option<u64> {
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

/// Fails the writes that name one of the keys, and returns the others.
fn fail_conflicting(batch: Batch, failed_keys: &[String]) -> Batch {
    let mut rest = Batch::default();
    for queued in batch {
        let keys = queued.write.keys();
        let conflicting: Vec<String> = keys.filter(|key| failed_keys.contains(key)).cloned().collect();
        if conflicting.is_empty() {
            rest.push(queued);
        } else {
            info!(keys = ?conflicting, "write failed: its keys do not have the expected versions");
            queued.finish(Err(CommitError::Conflict(conflicting)));
        }
    }
    rest
}
