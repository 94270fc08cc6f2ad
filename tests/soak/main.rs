//! The soak: real processes of the built program under random, overlapping faults,
//! while users submit, cancel and poll at every controller. What workers ran and which
//! responses users received is checked from outside by [`rules`].
//!
//! By hand, a number of seeds, each for some seconds under faults:
//!
//!     SOAK_SEEDS=1-50 SOAK_SECONDS=30 SOAK_WORKERS=30 cargo test --test soak by_hand -- --ignored --nocapture

mod checker;
mod fault_injection;
mod faults;
mod history;
mod processes;
mod proxy;
mod request;
mod rules;
mod run;
#[path = "../support/site.rs"]
mod site;
#[path = "../support/standins.rs"]
mod standins;
#[path = "../support/mod.rs"]
mod support;
mod users;

use std::time::Duration;

use faults::{Fault, FAULTS};
use request::Request;
use run::{play, Plan};
use site::run_async_test;

/// A run whose own timer was once later than this can't judge others' times.
const MAX_TIMER_DELAY: Duration = Duration::from_secs(2);

/// Plays a plan and prints its result; false if its own timer was too late to judge.
fn judge(plan: &Plan) -> bool {
    let outcome = run_async_test(play(plan));
    println!(
        "soak: seed {}, {} jobs, {} starts and ends, own timer late by {:?}",
        plan.seed, outcome.jobs, outcome.starts, outcome.late
    );
    if outcome.late > MAX_TIMER_DELAY {
        println!(
            "soak: seed {} is not judged, its own timer was late by {:?}",
            plan.seed, outcome.late
        );
        return false;
    }
    assert!(
        outcome.violations.is_empty(),
        "{:#?}\nschedule: {:#?}\nlogs: {}\nagain: SOAK_SEEDS={seed}-{seed} SOAK_SECONDS={} SOAK_WORKERS={} \
         cargo test --test soak by_hand -- --ignored --nocapture",
        outcome.violations,
        outcome.schedule,
        outcome.folder.display(),
        plan.length.as_secs(),
        plan.workers,
        seed = plan.seed,
    );
    true
}

#[test]
#[ignore = "by hand, see the head of this file"]
fn by_hand() {
    let request = Request::read(|name| std::env::var(name).ok()).unwrap_or_else(|e| panic!("{e}"));
    let (mut judged, mut unjudged, mut failed) = (0, 0, Vec::new());
    for seed in request.seeds {
        let plan = Plan {
            seed,
            length: Duration::from_secs(request.seconds),
            workers: request.workers,
            faults: request.faults.clone(),
        };
        match std::panic::catch_unwind(|| judge(&plan)) {
            Ok(true) => judged += 1,
            Ok(false) => unjudged += 1,
            Err(_) => failed.push(seed),
        }
    }
    println!("soak: {judged} seeds kept the rules, {unjudged} not judged, failed: {failed:?}");
    assert!(failed.is_empty() && judged > 0);
}

/// The seeds of every CI run.
#[test]
fn a_fixed_set_of_seeds_keeps_the_rules() {
    let judged = (1..=2).filter(|seed| {
        judge(&Plan {
            seed: *seed,
            length: Duration::from_secs(20),
            workers: 12,
            faults: FAULTS.iter().map(|(_, fault)| *fault).collect(),
        })
    });
    assert!(judged.count() > 0, "no run could be judged");
}

#[test]
fn a_wrong_request_is_refused_by_name() {
    let read = |variables: &[(&str, &str)]| {
        Request::read(|name| variables.iter().find(|v| v.0 == name).map(|v| v.1.to_owned()))
    };
    let wrong = |name: &str, value: &str, says: &str| {
        let refusal = read(&[(name, value)]).expect_err("it is wrong");
        assert!(refusal.contains(name) && refusal.contains(says), "{refusal}");
    };
    wrong("SOAK_FAULTS", "kill,flood", "unknown fault `flood`");
    wrong("SOAK_WORKERS", "0", "0 is not within");
    wrong("SOAK_WORKERS", "many", "no number");
    wrong("SOAK_SECONDS", "1", "not within");
    wrong("SOAK_SEEDS", "7", "is not like");
    wrong("SOAK_SEEDS", "9-2", "is not like");
    wrong("SOAK_SEEDS", "a-b", "is not like");
    let request = read(&[("SOAK_SEEDS", "3-4"), ("SOAK_FAULTS", "pause, kill")]).expect("it is right");
    assert_eq!(request.seeds, 3..=4);
    assert_eq!(request.faults, [Fault::Pause, Fault::Kill]);
}
