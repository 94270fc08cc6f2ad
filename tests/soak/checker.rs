//! Tests of the rules themselves, on made-up histories of three jobs, the second of which
//! depends on the first: a correct history is accepted, and each broken rule is found.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternfold::wire::{JobId, JobState, TaskId};

use crate::history::{Event, History, StatusResponse, SubmittedJob};
use crate::run::{CANCEL_DEADLINE, RED_TEAM_CPUS};
use crate::site::job_id;

const MACHINE: &str = "i-1";

fn id(n: u32) -> JobId {
    job_id(n).parse().expect("an id")
}

fn task(n: u32) -> TaskId {
    TaskId { job: id(n), index: 0 }
}

fn submitted(awaits: &[u32]) -> SubmittedJob {
    SubmittedJob {
        tasks: 1,
        cpus: 30.0,
        team: "red".into(),
        zone: Some("north".into()),
        awaits: awaits.iter().map(|n| id(*n)).collect(),
    }
}

fn started_on(n: u32, machine: &str, zone: &str) -> Event {
    Event::Started {
        task: task(n),
        machine: machine.into(),
        zone: zone.into(),
    }
}

fn started(n: u32) -> Event {
    started_on(n, MACHINE, "north")
}

fn ended(n: u32, done: bool) -> Event {
    Event::Ended {
        task: task(n),
        machine: MACHINE.into(),
        done,
    }
}

fn responded(n: u32, sent: u64, state: JobState) -> Event {
    Event::Responded {
        job: id(n),
        sent: Duration::from_secs(sent),
        response: StatusResponse::Known(state),
    }
}

fn not_found(n: u32, sent: u64) -> Event {
    Event::Responded {
        job: id(n),
        sent: Duration::from_secs(sent),
        response: StatusResponse::NotFound,
    }
}

/// A history of jobs 1, 2 (which depends on 1) and 3, with events at whole seconds.
fn history(events: &[(u64, Event)]) -> History {
    History {
        jobs: BTreeMap::from([
            (id(1), submitted(&[])),
            (id(2), submitted(&[1])),
            (id(3), submitted(&[])),
        ]),
        team_cpus: BTreeMap::from([("red".to_owned(), RED_TEAM_CPUS)]),
        cancel_deadline: CANCEL_DEADLINE,
        events: events
            .iter()
            .map(|(at, e)| (Duration::from_secs(*at), e.clone()))
            .collect(),
        end: Duration::from_secs(100),
    }
}

fn broken_rules(events: &[(u64, Event)]) -> Vec<&'static str> {
    history(events).violations().into_iter().map(|v| v.rule).collect()
}

#[test]
fn a_history_that_keeps_all_rules_has_no_violations() {
    let clean = [
        (1, Event::Accepted(id(1))),
        (1, Event::Accepted(id(2))),
        // The request was sent before the job was accepted, the response arrived after.
        (2, not_found(2, 0)),
        (2, started(1)),
        (3, responded(1, 3, JobState::Running)),
        (4, ended(1, false)),
        (5, started(1)),
        (6, ended(1, true)),
        (7, responded(1, 6, JobState::Done)),
        (8, started(2)),
        (9, Event::CancelRequested(id(2))),
        (10, responded(2, 9, JobState::Cancelled)),
        // The request was sent before the response above arrived, its own arrived after.
        (11, responded(2, 9, JobState::Running)),
        (12, ended(2, false)),
        (50, responded(2, 49, JobState::Cancelled)),
    ];
    assert_eq!(broken_rules(&clean), Vec::<&str>::new());
}

#[test]
fn each_broken_rule_is_reported_by_its_name() {
    let cancelled = [
        (1, Event::CancelRequested(id(1))),
        (2, responded(1, 1, JobState::Cancelled)),
    ];
    let broken_rules_after = |before: &[(u64, Event)], more: &[(u64, Event)]| {
        let mut all = before.to_vec();
        all.extend_from_slice(more);
        all.sort_by_key(|(at, _)| *at);
        broken_rules(&all)
    };
    let twice = [
        (1, started(1)),
        (2, started_on(1, "i-2", "north")),
        (3, ended(1, true)),
    ];
    assert!(broken_rules(&twice).contains(&"ran_twice"));
    assert!(broken_rules(&[(1, started(1)), (2, started(3))]).contains(&"quota"));
    assert!(broken_rules(&[(1, started_on(1, MACHINE, "south"))]).contains(&"wrong_place"));
    assert!(broken_rules(&[(1, started(2))]).contains(&"too_early"));
    let outlives = broken_rules_after(&cancelled, &[(0, started(1)), (16, ended(1, false))]);
    assert_eq!(outlives, ["ran_cancelled"]);
    // Job 2 is cancelled with job 1, which it depends on, and its task never ends.
    let outlives = broken_rules_after(&cancelled, &[(0, started(2))]);
    assert!(outlives.contains(&"ran_cancelled") && outlives.contains(&"orphaned"));
    let restarted = broken_rules_after(&cancelled, &[(6, started(1)), (7, ended(1, false))]);
    assert_eq!(restarted, ["started_after_cancel"]);
    let reported_queued = broken_rules_after(&cancelled, &[(17, responded(2, 16, JobState::Queued))]);
    assert_eq!(reported_queued, ["orphaned"]);
    assert_eq!(
        broken_rules(&[(1, responded(1, 1, JobState::Done))]),
        ["not_done"]
    );
    let reverted = broken_rules_after(&cancelled, &[(4, responded(1, 3, JobState::Running))]);
    assert_eq!(reverted, ["went_back"]);
    assert_eq!(
        broken_rules(&[(1, responded(3, 1, JobState::Cancelled))]),
        ["went_back"]
    );
    assert!(broken_rules(&[(1, Event::Accepted(id(1))), (3, not_found(1, 2))]).contains(&"forgotten"));
    assert_eq!(
        broken_rules(&[(1, responded(9, 1, JobState::Queued))]),
        ["invented"]
    );
    assert_eq!(broken_rules(&[(1, Event::Accepted(id(3)))]), ["left_over"]);
    let refused = Event::Refused {
        job: id(3),
        status: 422,
    };
    assert_eq!(broken_rules(&[(1, refused)]), ["refused"]);
}
