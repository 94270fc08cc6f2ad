//! A gang is placed whole or not at all.

use std::collections::BTreeSet;

use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let now = start();
    let mut m = model(1);
    add(&mut m, "i-1", "small", "north", false, now);
    let mut g = job(1, 3, 4.0);
    g.kind = JobKind::Gang;
    m.add_job(record(g), now);
    m.plan(now);
    assert!(tasks_on(&m, "i-1").is_empty(), "two of three would fit");
    add(&mut m, "i-2", "small", "south", false, now);
    m.plan(now);
    let attempts: BTreeSet<u64> = m
        .machines()
        .values()
        .flat_map(|x| x.slots.values().map(|s| s.attempt))
        .collect();
    assert_eq!(m.jobs().values().next().expect("the job").places.len(), 3);
    assert_eq!(attempts.len(), 1, "a gang's tasks share their attempt");
}
