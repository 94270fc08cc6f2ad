//! The soak test: runs real processes of the built program under random, overlapping
//! faults, while users submit, cancel and poll jobs at every controller. The [`rules`]
//! check from outside what the workers ran and which responses the users received.
//!
//! To run a range of seeds by hand, each for some seconds under faults:
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
use request::Options;
use run::{run_soak, RunConfig};
use site::run_async_test;

/// If a timer of the test process was ever later than this, the machine was too busy: the
/// run can't judge whether the program kept its time limits.
const MAX_TIMER_DELAY: Duration = Duration::from_secs(2);

/// Runs the soak, prints the result and panics if a rule is broken. Returns false if the
/// run can't be judged, see [`MAX_TIMER_DELAY`].
fn run_and_check(config: &RunConfig) -> bool {
    let outcome = run_async_test(run_soak(config));
    println!(
        "soak: seed {}, {} jobs, {} starts and ends, own timer late by {:?}",
        config.seed, outcome.jobs, outcome.task_events, outcome.max_timer_delay
    );
    if outcome.max_timer_delay > MAX_TIMER_DELAY {
        println!(
            "soak: seed {} is not judged, its own timer was late by {:?}",
            config.seed, outcome.max_timer_delay
        );
        return false;
    }
    assert!(
        outcome.violations.is_empty(),
        "{:#?}\nschedule: {:#?}\nlogs: {}\nrun again: SOAK_SEEDS={seed}-{seed} SOAK_SECONDS={} SOAK_WORKERS={} \
         cargo test --test soak by_hand -- --ignored --nocapture",
        outcome.violations,
        outcome.schedule,
        outcome.folder.display(),
        config.length.as_secs(),
        config.workers,
        seed = config.seed,
    );
    true
}

#[test]
#[ignore = "by hand, see the head of this file"]
fn by_hand() {
    let options = Options::from_variables(|name| std::env::var(name).ok()).unwrap_or_else(|e| panic!("{e}"));
    let (mut judged, mut not_judged, mut failed) = (0, 0, Vec::new());
    for seed in options.seeds {
        let config = RunConfig {
            seed,
            length: Duration::from_secs(options.seconds),
            workers: options.workers,
            faults: options.faults.clone(),
        };
        match std::panic::catch_unwind(|| run_and_check(&config)) {
            Ok(true) => judged += 1,
            Ok(false) => not_judged += 1,
            Err(_) => failed.push(seed),
        }
    }
    println!("soak: {judged} seeds kept the rules, {not_judged} not judged, failed: {failed:?}");
    assert!(failed.is_empty() && judged > 0);
}

/// The seeds that every CI run checks.
#[test]
fn a_fixed_set_of_seeds_keeps_the_rules() {
    let judged = (1..=2).filter(|seed| {
        run_and_check(&RunConfig {
            seed: *seed,
            length: Duration::from_secs(20),
            workers: 12,
            faults: FAULTS.iter().map(|(_, fault)| *fault).collect(),
        })
    });
    assert!(judged.count() > 0, "no run could be judged");
}

#[test]
fn an_invalid_variable_is_refused_with_its_name() {
    let read = |variables: &[(&str, &str)]| {
        Options::from_variables(|name| variables.iter().find(|v| v.0 == name).map(|v| v.1.to_owned()))
    };
    let check_refusal = |name: &str, value: &str, reason: &str| {
        let refusal = read(&[(name, value)]).expect_err("the value is invalid");
        assert!(refusal.contains(name) && refusal.contains(reason), "{refusal}");
    };
    check_refusal("SOAK_FAULTS", "kill,flood", "unknown fault `flood`");
    check_refusal("SOAK_WORKERS", "0", "0 is not within");
    check_refusal("SOAK_WORKERS", "many", "no number");
    check_refusal("SOAK_SECONDS", "1", "not within");
    check_refusal("SOAK_SEEDS", "7", "is not like");
    check_refusal("SOAK_SEEDS", "9-2", "is not like");
    check_refusal("SOAK_SEEDS", "a-b", "is not like");
    let options =
        read(&[("SOAK_SEEDS", "3-4"), ("SOAK_FAULTS", "pause, kill")]).expect("the values are valid");
    assert_eq!(options.seeds, 3..=4);
    assert_eq!(options.faults, [Fault::Pause, Fault::Kill]);
}
