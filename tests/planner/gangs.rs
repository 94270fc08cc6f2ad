//! A gang is placed whole or not at all.

use std::collections::BTreeSet;

use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let now = start();
    let mut model = model(1);
    add_machine(&mut model, "i-1", "small", "north", false, now);
    let mut spec = job(1, 3, 4.0);
    spec.kind = JobKind::Gang;
    model.add_job(job_record(spec), now);
    model.run_scheduling_round(now);
    assert!(tasks_on(&model, "i-1").is_empty(), "two of three would fit");
    add_machine(&mut model, "i-2", "small", "south", false, now);
    model.run_scheduling_round(now);
    let attempts: BTreeSet<u64> = model
        .machines()
        .values()
        .flat_map(|machine| machine.slots.values().map(|s| s.attempt))
        .collect();
    assert_eq!(model.jobs().values().next().expect("the job").places.len(), 3);
    assert_eq!(attempts.len(), 1, "the tasks of a gang share one attempt number");
}
