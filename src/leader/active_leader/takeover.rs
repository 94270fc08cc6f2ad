//! Reading what is stored at the begin of a term.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::info;

use crate::clock::unix_time_ms;
use crate::core::storage::record::{self, JobRecord};
use crate::store::{KeyRead, StoreError};

use super::ActiveLeader;

impl ActiveLeader {
    pub(super) async fn load(&self) -> Result<(), StoreError> {
        let store = self.controller.store();
        let jobs = store.list(record::JOBS).await?.items;
        let segments = store.list(record::WAL).await?.items;
        let ratios = store.get(record::RATIOS).await?;
        let types = store.get(record::TYPES).await?;
        let now = Instant::now();
        let wall = unix_time_ms();
        let mut m = self.model.lock();
        for item in jobs {
            self.writer.set_known_version(&item.key, item.version);
            let Ok(r) = serde_json::from_value::<JobRecord>(item.value) else {
                info!(key = item.key, "an unreadable job record is left alone");
                continue;
            };
            let age = Duration::from_millis(wall.saturating_sub(r.at));
            m.add_job(r, now.checked_sub(age).unwrap_or(now));
        }
        for item in segments {
            self.writer.set_known_version(&item.key, item.version);
            let number = item.key.trim_start_matches(record::WAL).parse();
            let read = number.is_ok_and(|n| m.load_log_segment(n, item.value));
            if !read {
                // What it names is unknown: nothing may be placed.
                info!(key = item.key, "a segment of the log can't be read");
                return Err(StoreError::UnreadableValue {
                    key: item.key,
                    source: None,
                });
            }
        }
        m.replay_log(now);
        if let KeyRead::Found(item) = ratios {
            self.writer.set_known_version(record::RATIOS, item.version);
            if let Ok(r) = serde_json::from_value(item.value) {
                m.load_run_time_ratios(r);
            }
        }
        if let KeyRead::Found(item) = types {
            self.writer.set_known_version(record::TYPES, item.version);
            if let Ok(t) = serde_json::from_value(item.value) {
                m.set_machine_types(t);
                self.controller
                    .set_machine_types(Arc::new(m.machine_types().to_vec()));
            }
        }
        Ok(())
    }
}
