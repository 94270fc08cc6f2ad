//! Generated histories of stored jobs: the index, however it was brought up to date, says the
//! same of a job's dependencies as a plain walk over the stored records.

mod support;

use std::collections::{BTreeMap, HashSet};

use bitternfold::core::storage::job_index::{DependencyCheck, JobIndex};
use bitternfold::core::storage::record::{job_key, JobRecord};
use bitternfold::wire::{JobId, KeyValue, WatchEvent, WatchResponse};
use proptest::prelude::*;

/// A change of the stored jobs. A `usize` selects a job.
#[derive(Debug, Clone)]
enum Operation {
    /// A job is accepted that depends on earlier ones.
    Accept(Vec<usize>),
    Cancel(usize),
    /// The job's final state is stored, and its record deleted.
    Finish(usize),
    /// The changes after the revision that the index has, or after one that is this many
    /// changes older, are read.
    Read(usize),
    /// This one of the changes that were read is applied; others may overtake it.
    Apply(usize),
}

fn any_operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        5 => proptest::collection::vec(any::<usize>(), 0..4).prop_map(Operation::Accept),
        1 => any::<usize>().prop_map(Operation::Cancel),
        2 => any::<usize>().prop_map(Operation::Finish),
        2 => (0..4usize).prop_map(Operation::Read),
        2 => any::<usize>().prop_map(Operation::Apply),
    ]
}

/// The stored jobs, with all changes that led to them.
#[derive(Default)]
struct StoredJobs {
    accepted: Vec<JobId>,
    unfinished: BTreeMap<JobId, JobRecord>,
    events: Vec<WatchEvent>,
}

impl StoredJobs {
    fn select(&self, selector: usize) -> Option<JobId> {
        let index = selector.checked_rem(self.accepted.len())?;
        Some(self.accepted[index])
    }

    fn revision(&self) -> u64 {
        self.events.len() as u64
    }

    fn push_event(&mut self, put: Option<String>, delete: Option<String>, value: serde_json::Value) {
        let version = self.revision() + 1;
        self.events.push(WatchEvent {
            put,
            delete,
            value,
            version,
        });
    }

    fn put(&mut self, record: JobRecord) {
        let value = serde_json::to_value(&record).expect("json");
        self.push_event(Some(job_key(record.spec.id)), None, value);
        self.unfinished.insert(record.spec.id, record);
    }

    fn accept(&mut self, dependencies: &[usize]) {
        let mut spec = support::job(self.accepted.len() as u32 + 1, 1, 1.0);
        spec.awaits = dependencies.iter().filter_map(|d| self.select(*d)).collect();
        self.accepted.push(spec.id);
        self.put(JobRecord {
            spec,
            accepted_at_ms: 0,
            cancelled: false,
        });
    }

    fn cancel(&mut self, selector: usize) {
        let selected = self.select(selector).and_then(|id| self.unfinished.get(&id));
        if let Some(record) = selected {
            let record = JobRecord {
                cancelled: true,
                ..record.clone()
            };
            self.put(record);
        }
    }

    fn finish(&mut self, selector: usize) {
        let removed = self.select(selector).and_then(|id| self.unfinished.remove(&id));
        if let Some(record) = removed {
            let key = job_key(record.spec.id);
            self.push_event(None, Some(key), serde_json::Value::Null);
        }
    }

    fn listing(&self) -> Vec<KeyValue> {
        let item = |record: &JobRecord| KeyValue {
            key: job_key(record.spec.id),
            value: serde_json::to_value(record).expect("json"),
            version: 0,
        };
        self.unfinished.values().map(item).collect()
    }

    fn changes_since(&self, revision: u64) -> WatchResponse {
        WatchResponse {
            revision: self.revision(),
            events: self.events[revision as usize..].to_vec(),
        }
    }

    /// The plain rule: whether an unfinished job, among these and all unfinished ones that
    /// they depend on, is cancelled; if none is, the jobs found that are not unfinished.
    fn walk(&self, jobs: &[JobId]) -> Result<HashSet<JobId>, ()> {
        let mut finished = HashSet::new();
        for id in jobs {
            match self.unfinished.get(id) {
                Some(record) if record.cancelled => return Err(()),
                Some(record) => finished.extend(self.walk(&record.spec.awaits)?),
                None => drop(finished.insert(*id)),
            }
        }
        Ok(finished)
    }
}

/// Checks the index against the plain rule for every job that was ever accepted.
fn check_index(index: &JobIndex, stored: &StoredJobs) -> Result<(), TestCaseError> {
    for id in &stored.accepted {
        let check = index.check_dependencies(&[*id], &mut HashSet::new());
        let expected = stored.walk(&[*id]);
        match (check, expected) {
            (DependencyCheck::Cancelled, Err(())) => {}
            (DependencyCheck::NotIndexed(jobs), Ok(finished)) => {
                prop_assert_eq!(jobs.len(), finished.len(), "a job is visited twice");
                prop_assert_eq!(jobs.into_iter().collect::<HashSet<_>>(), finished);
            }
            (check, expected) => prop_assert!(false, "{id}: {check:?}, by the plain rule {expected:?}"),
        }
        let has_dependencies = stored
            .unfinished
            .get(id)
            .is_some_and(|r| !r.spec.awaits.is_empty());
        prop_assert_eq!(index.has_dependencies(*id), has_dependencies);
        let kind = stored.unfinished.get(id).map(|record| record.spec.kind);
        prop_assert_eq!(index.kind(*id), kind);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against an index that misses a change or takes an older one for newer, as
    // responses overtake each other.
    #[test]
    fn an_index_brought_up_to_date_agrees_with_the_stored_records(
        operations in proptest::collection::vec(any_operation(), 1..40),
        listed_after in 0..40usize,
    ) {
        let mut stored = StoredJobs::default();
        let mut index = JobIndex::default();
        let mut read: Vec<WatchResponse> = Vec::new();
        for (n, operation) in operations.into_iter().enumerate() {
            if n == listed_after {
                index = JobIndex::new(&stored.listing(), stored.revision());
                check_index(&index, &stored)?;
            }
            match operation {
                Operation::Accept(dependencies) => stored.accept(&dependencies),
                Operation::Cancel(selector) => stored.cancel(selector),
                Operation::Finish(selector) => stored.finish(selector),
                Operation::Read(older) => {
                    read.push(stored.changes_since(index.revision().saturating_sub(older as u64)));
                }
                Operation::Apply(selector) => {
                    if let Some(selected) = selector.checked_rem(read.len()) {
                        let changes = read.remove(selected);
                        let was_current = changes.revision == stored.revision();
                        index.apply(&changes);
                        if was_current {
                            check_index(&index, &stored)?;
                        }
                    }
                }
            }
        }
        index.apply(&stored.changes_since(index.revision()));
        check_index(&index, &stored)?;
    }
}

// Guards against answers for a job whose dependency has a record that can't be read.
#[test]
fn a_dependency_whose_record_cannot_be_parsed_is_unreadable() {
    let mut stored = StoredJobs::default();
    stored.accept(&[]);
    stored.accept(&[0]);
    let mut listing = stored.listing();
    listing[0].value = serde_json::json!({"spec": 5});
    let index = JobIndex::new(&listing, stored.revision());
    let check = index.check_dependencies(&[stored.accepted[1]], &mut HashSet::new());
    assert_eq!(check, DependencyCheck::Unreadable(stored.accepted[0]));
}
