//! Chains, fans and layers of ten thousand jobs.

use std::collections::{BTreeMap, BTreeSet};

use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::core::storage::record::JobRecord;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

/// Shapes of 10,000 jobs: the first is cancelled, or all are done one after another.
fn shapes() -> Vec<(&'static str, Vec<JobRecord>)> {
    const JOBS: u32 = 10_000;
    let chain = (1..JOBS).map(|n| job_awaiting(n, &[n - 1]));
    let fan = (1..JOBS).map(|n| job_awaiting(n, &[0]));
    // Each layer of a hundred waits for three of the layer before.
    let layers = (1..JOBS).map(|n| {
        let before = |k: u32| n.saturating_sub(100 + k * 7);
        job_awaiting(n, &[before(0), before(1), before(2)])
    });
    let first = || std::iter::once(job_awaiting(0, &[]));
    vec![
        ("chain", first().chain(chain).collect()),
        ("fan", first().chain(fan).collect()),
        ("layers", first().chain(layers).collect()),
    ]
}

#[test]
fn ten_thousand_jobs_are_cancelled_with_the_first_and_stored_in_bounded_batches() {
    for (shape, records) in shapes() {
        let now = start();
        let mut model = model(7);
        // In the order in which a new leader may read them.
        for record in records.iter().rev() {
            model.add_job(record.clone(), now);
        }
        assert!(model.dependencies().unresolved().is_empty(), "{shape}");
        model.cancel(id(0), now);
        model.cancellation_stored(id(0));
        let cancelled = |n: &usize| state_of(&model, *n) == Some(JobState::Cancelled);
        assert_eq!(
            (0..records.len()).filter(cancelled).count(),
            records.len(),
            "{shape}"
        );
        let mut stored = BTreeSet::new();
        while stored.len() < records.len() {
            let finals = store_all(&mut model, now);
            assert!(
                !finals.is_empty(),
                "{shape}: {} are left",
                records.len() - stored.len()
            );
            assert!(
                finals.len() <= model.config().max_transaction_changes,
                "{shape}: {} at once",
                finals.len()
            );
            assert!(finals.iter().all(|f| f.1 == JobState::Cancelled), "{shape}");
            stored.extend(finals.into_iter().map(|f| f.0));
        }
        assert!(model.jobs().is_empty(), "{shape}");
    }
}

#[test]
fn ten_thousand_jobs_become_ready_in_their_turn() {
    for (shape, records) in shapes() {
        let now = start();
        let mut model = model(7);
        for record in &records {
            model.add_job(record.clone(), now);
        }
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        let mut next: Vec<JobId> = vec![id(0)];
        let mut after: BTreeMap<JobId, Vec<JobId>> = BTreeMap::new();
        for record in &records {
            for named in &record.spec.awaits {
                after.entry(*named).or_default().push(record.spec.id);
            }
        }
        while let Some(ended) = next.pop() {
            assert!(model.dependencies().is_ready(ended), "{shape}: {ended} is ready");
            model.resolve_dependency(ended, DependencyOutcome::Done(Some(now)));
            model.remove_job(ended);
            done.insert(ended);
            for dependent in after.get(&ended).into_iter().flatten() {
                let all = model.jobs()[dependent]
                    .spec
                    .awaits
                    .iter()
                    .all(|n| done.contains(n));
                assert_eq!(
                    model.dependencies().is_ready(*dependent),
                    all,
                    "{shape}: {dependent}"
                );
                if all && !done.contains(dependent) && !next.contains(dependent) {
                    next.push(*dependent);
                }
            }
        }
        assert_eq!(done.len(), records.len(), "{shape}");
    }
}
