//! How a process detects its own pauses and overload, and how its messages to other
//! controllers are batched.

use std::time::{Duration, Instant};

use bitternfold::peer::{next_for_batch, MAX_BATCH_BYTES};
use bitternfold::stall::{StallDetector, TIMER_INTERVAL};

#[test]
fn a_pause_is_reported_once_and_overload_ends() {
    let start = Instant::now();
    let detector = StallDetector::new(start);
    detector.timer_fired(start + TIMER_INTERVAL);
    assert!(
        detector.take_stall(start + TIMER_INTERVAL * 2).is_none()
            && !detector.is_overloaded(start + TIMER_INTERVAL * 2)
    );
    let late = start + TIMER_INTERVAL * 2 + Duration::from_millis(600);
    assert!(detector.is_overloaded(late), "even before the timer fires");
    detector.timer_fired(late);
    assert!(detector.is_overloaded(late) && detector.take_stall(late).is_none());
    detector.timer_fired(late + TIMER_INTERVAL);
    assert!(!detector.is_overloaded(late + TIMER_INTERVAL), "it has caught up");
    let resumed = late + TIMER_INTERVAL + Duration::from_secs(37);
    assert!(detector
        .take_stall(resumed)
        .is_some_and(|d| d > Duration::from_secs(36)));
    assert!(detector.take_stall(resumed).is_none());
}

#[test]
fn a_full_batch_takes_nothing_out_of_the_queue() {
    let (sender, mut receiver) = tokio::sync::mpsc::channel(4);
    sender.try_send(1).expect("room");
    assert_eq!(next_for_batch(&mut receiver, MAX_BATCH_BYTES), None);
    assert_eq!(
        next_for_batch(&mut receiver, 0),
        Some(1),
        "it waits for the next batch"
    );
    assert_eq!(next_for_batch(&mut receiver, 0), None);
}
