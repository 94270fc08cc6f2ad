//! Loads the stored state into the model at the start of a term.

use std::sync::Arc;

use tracing::info;

use crate::core::state::model::LoadedJob;
use crate::core::storage::record::{self, JobRecord};
use crate::core::ClusterModel;
use crate::store::{KeyRead, StoreError};
use crate::wire::KeyValue;

use super::moment::Moment;
use super::ActiveLeader;

impl ActiveLeader {
    /// Loads the unfinished jobs, the write-ahead log, the teams' run-time ratios
    /// and the machine types.
    ///
    /// # Errors
    ///
    /// Those of requests to the state service, and [`StoreError::UnreadableValue`] if a
    /// segment of the log can't be parsed. The model may hold part of the state
    /// then; the caller repeats the whole load.
    pub(super) async fn load_stored_state(&self) -> Result<(), StoreError> {
        let store = self.controller.store();
        let jobs = store.list(record::JOB_PREFIX).await?.items;
        let segments = store.list(record::SEGMENT_PREFIX).await?.items;
        let ratios = store.get(record::RATIOS_KEY).await?;
        let types = store.get(record::MACHINE_TYPES_KEY).await?;
        let now = Moment::now();
        let mut model = self.model.lock();
        let jobs = jobs
            .into_iter()
            .filter_map(|item| self.parse_stored_job(item, now));
        model.load_jobs(jobs.collect());
        for item in segments {
            self.load_log_segment(&mut model, item)?;
        }
        model.replay_log(now.steady);
        if let KeyRead::Found(item) = ratios {
            self.load_ratios(&mut model, item);
        }
        if let KeyRead::Found(item) = types {
            self.load_machine_types(&mut model, item);
        }
        Ok(())
    }

    fn parse_stored_job(&self, item: KeyValue, now: Moment) -> Option<LoadedJob> {
        self.writer.set_known_version(&item.key, item.version);
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
            info!(
                key = item.key,
                "a stored job record can't be parsed; the job is not loaded"
            );
            return None;
        };
        let arrival = now.instant_of(record.accepted_at_ms).unwrap_or(now.steady);
        Some(LoadedJob { record, arrival })
    }

    fn load_log_segment(&self, model: &mut ClusterModel, item: KeyValue) -> Result<(), StoreError> {
        self.writer.set_known_version(&item.key, item.version);
        let number = item.key.trim_start_matches(record::SEGMENT_PREFIX).parse();
        if number.is_ok_and(|number| model.load_log_segment(number, item.value)) {
            return Ok(());
        }
        // The segment names tasks that may be on machines. Nothing may be placed while
        // they are unknown, so the load fails.
        info!(
            key = item.key,
            "a segment of the write-ahead log can't be parsed; the load fails"
        );
        Err(StoreError::UnreadableValue {
            key: item.key,
            source: None,
        })
    }

    fn load_ratios(&self, model: &mut ClusterModel, item: KeyValue) {
        self.writer.set_known_version(record::RATIOS_KEY, item.version);
        if let Ok(ratios) = serde_json::from_value(item.value) {
            model.load_run_time_ratios(ratios);
        }
    }

    fn load_machine_types(&self, model: &mut ClusterModel, item: KeyValue) {
        self.writer
            .set_known_version(record::MACHINE_TYPES_KEY, item.version);
        if let Ok(types) = serde_json::from_value(item.value) {
            model.set_machine_types(types);
            self.controller
                .set_machine_types(Arc::new(model.machine_types().to_vec()));
        }
    }
}
