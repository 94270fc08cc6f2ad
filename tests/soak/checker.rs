//! The checker of histories: a clean one is accepted, and each broken rule is found, in
//! made-up histories of three jobs, the second of which depends on the first.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternfold::wire::{JobId, JobState, TaskId};

use crate::history::{Event, History, StatusResponse, Submitted};
use crate::run::{CANCEL, RED_CPUS};
use crate::site::job_id;

const MACHINE: &str = "i-1";

fn id(n: u32) -> JobId {
    job_id(n).parse().expect("an id")
}

fn task(n: u32) -> TaskId {
    TaskId { job: id(n), index: 0 }
}

fn submitted(awaits: &[u32]) -> Submitted {
    Submitted {
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

/// Jobs 1, 2 after 1, and 3, with events at whole seconds.
fn history(events: &[(u64, Event)]) -> History {
    History {
        jobs: BTreeMap::from([
            (id(1), submitted(&[])),
            (id(2), submitted(&[1])),
            (id(3), submitted(&[])),
        ]),
        team_cpus: BTreeMap::from([("red".to_owned(), RED_CPUS)]),
        cancel: CANCEL,
        events: events
            .iter()
            .map(|(at, e)| (Duration::from_secs(*at), e.clone()))
            .collect(),
        end: Duration::from_secs(100),
    }
}

fn rules(events: &[(u64, Event)]) -> Vec<&'static str> {
    history(events).violations().into_iter().map(|v| v.rule).collect()
}

#[test]
fn a_clean_history_is_accepted() {
    let clean = [
        (1, Event::Accepted(id(1))),
        (1, Event::Accepted(id(2))),
        // Requested before it was accepted, the response received after.
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
        // Requested before that response, received after it.
        (11, responded(2, 9, JobState::Running)),
        (12, ended(2, false)),
        (50, responded(2, 49, JobState::Cancelled)),
    ];
    assert_eq!(rules(&clean), Vec::<&str>::new());
}

#[test]
fn each_broken_rule_is_found() {
    let cancelled = [
        (1, Event::CancelRequested(id(1))),
        (2, responded(1, 1, JobState::Cancelled)),
    ];
    let with = |before: &[(u64, Event)], more: &[(u64, Event)]| {
        let mut all = before.to_vec();
        all.extend_from_slice(more);
        all.sort_by_key(|(at, _)| *at);
        rules(&all)
    };
    let twice = [
        (1, started(1)),
        (2, started_on(1, "i-2", "north")),
        (3, ended(1, true)),
    ];
    assert!(rules(&twice).contains(&"ran_twice"));
    assert!(rules(&[(1, started(1)), (2, started(3))]).contains(&"quota"));
    assert!(rules(&[(1, started_on(1, MACHINE, "south"))]).contains(&"wrong_place"));
    assert!(rules(&[(1, started(2))]).contains(&"too_early"));
    let outlives = with(&cancelled, &[(0, started(1)), (16, ended(1, false))]);
    assert_eq!(outlives, ["ran_cancelled"]);
    // Cancelled with the job that it depends on; never ended.
    let outlives = with(&cancelled, &[(0, started(2))]);
    assert!(outlives.contains(&"ran_cancelled") && outlives.contains(&"orphaned"));
    let restarted = with(&cancelled, &[(6, started(1)), (7, ended(1, false))]);
    assert_eq!(restarted, ["started_after_cancel"]);
    let called = with(&cancelled, &[(17, responded(2, 16, JobState::Queued))]);
    assert_eq!(called, ["orphaned"]);
    assert_eq!(rules(&[(1, responded(1, 1, JobState::Done))]), ["not_done"]);
    let back = with(&cancelled, &[(4, responded(1, 3, JobState::Running))]);
    assert_eq!(back, ["went_back"]);
    assert_eq!(rules(&[(1, responded(3, 1, JobState::Cancelled))]), ["went_back"]);
    assert!(rules(&[(1, Event::Accepted(id(1))), (3, not_found(1, 2))]).contains(&"forgotten"));
    assert_eq!(rules(&[(1, responded(9, 1, JobState::Queued))]), ["invented"]);
    assert_eq!(rules(&[(1, Event::Accepted(id(3)))]), ["left_over"]);
    let refused = Event::Refused {
        job: id(3),
        status: 422,
    };
    assert_eq!(rules(&[(1, refused)]), ["refused"]);
}
