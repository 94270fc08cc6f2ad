//! Chains, fan-outs and layers of 10,000 jobs.

use std::collections::{BTreeMap, BTreeSet};

use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::core::storage::record::JobRecord;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

/// Dependency graphs of 10,000 jobs, by name; all jobs depend on job 0, directly or indirectly.
fn shapes() -> Vec<(&'static str, Vec<JobRecord>)> {
    const JOBS: u32 = 10_000;
    let chain = (1..JOBS).map(|n| job_awaiting(n, &[n - 1]));
    let fan = (1..JOBS).map(|n| job_awaiting(n, &[0]));
    // Layers of a hundred: each job depends on three jobs, mostly of the layer before.
    let layers = (1..JOBS).map(|n| {
        let earlier = |k: u32| n.saturating_sub(100 + k * 7);
        job_awaiting(n, &[earlier(0), earlier(1), earlier(2)])
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
        // A new leader may read the jobs in any order, such as the last ones first.
        for record in records.iter().rev() {
            model.add_job(record.clone(), now);
        }
        assert!(model.dependencies().unresolved().is_empty(), "{shape}");
        model.cancel(job_id(0), now);
        model.cancellation_stored(job_id(0));
        let is_cancelled = |n: &usize| state_of(&model, *n) == Some(JobState::Cancelled);
        assert_eq!(
            (0..records.len()).filter(is_cancelled).count(),
            records.len(),
            "{shape}"
        );
        let mut stored = BTreeSet::new();
        while stored.len() < records.len() {
            let finals = store_due_writes(&mut model, now);
            assert!(
                !finals.is_empty(),
                "{shape}: no final state is due, {} are left",
                records.len() - stored.len()
            );
            assert!(
                finals.len() <= model.config().max_transaction_changes,
                "{shape}: {} final states at once",
                finals.len()
            );
            assert!(finals.iter().all(|f| f.1 == JobState::Cancelled), "{shape}");
            stored.extend(finals.into_iter().map(|f| f.0));
        }
        assert!(model.jobs().is_empty(), "{shape}");
    }
}

#[test]
fn ten_thousand_jobs_become_ready_once_their_dependencies_are_done() {
    for (shape, records) in shapes() {
        let now = start();
        let mut model = model(7);
        for record in &records {
            model.add_job(record.clone(), now);
        }
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        let mut ready: Vec<JobId> = vec![job_id(0)];
        let mut dependents: BTreeMap<JobId, Vec<JobId>> = BTreeMap::new();
        for record in &records {
            for dependency in &record.spec.awaits {
                dependents.entry(*dependency).or_default().push(record.spec.id);
            }
        }
        while let Some(ended) = ready.pop() {
            assert!(
                model.dependencies().is_ready(ended),
                "{shape}: {ended} isn't ready"
            );
            model.resolve_dependency(ended, DependencyOutcome::Done(Some(now)));
            model.remove_job(ended);
            done.insert(ended);
            for dependent in dependents.get(&ended).into_iter().flatten() {
                let all_done = model.jobs()[dependent]
                    .spec
                    .awaits
                    .iter()
                    .all(|n| done.contains(n));
                assert_eq!(
                    model.dependencies().is_ready(*dependent),
                    all_done,
                    "{shape}: whether {dependent} is ready"
                );
                if all_done && !done.contains(dependent) && !ready.contains(dependent) {
                    ready.push(*dependent);
                }
            }
        }
        assert_eq!(done.len(), records.len(), "{shape}");
    }
}
