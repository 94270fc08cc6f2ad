//! Detection of stalls and overload of the own process, and batching of messages to other
//! controllers.

use std::time::{Duration, Instant};

use bitternfold::peer::{next_for_batch, MAX_BATCH_BYTES};
use bitternfold::stall::{StallDetector, TIMER_INTERVAL};

#[test]
fn a_stall_is_reported_once_and_overload_ends_when_the_timer_is_on_time_again() {
    let start = Instant::now();
    let detector = StallDetector::new(start);
    detector.timer_fired(start + TIMER_INTERVAL);
    assert!(
        detector.take_stall(start + TIMER_INTERVAL * 2).is_none()
            && !detector.is_overloaded(start + TIMER_INTERVAL * 2)
    );
    let late = start + TIMER_INTERVAL * 2 + Duration::from_millis(600);
    assert!(
        detector.is_overloaded(late),
        "overload must be detected before the timer fires"
    );
    detector.timer_fired(late);
    assert!(detector.is_overloaded(late) && detector.take_stall(late).is_none());
    detector.timer_fired(late + TIMER_INTERVAL);
    assert!(
        !detector.is_overloaded(late + TIMER_INTERVAL),
        "the timer was on time again"
    );
    let resumed = late + TIMER_INTERVAL + Duration::from_secs(37);
    assert!(detector
        .take_stall(resumed)
        .is_some_and(|d| d > Duration::from_secs(36)));
    assert!(detector.take_stall(resumed).is_none());
}

#[test]
fn a_full_batch_takes_no_message_from_the_queue() {
    let (sender, mut receiver) = tokio::sync::mpsc::channel(4);
    sender.try_send(1).expect("room");
    assert_eq!(next_for_batch(&mut receiver, MAX_BATCH_BYTES), None);
    assert_eq!(
        next_for_batch(&mut receiver, 0),
        Some(1),
        "the message is kept for the next batch"
    );
    assert_eq!(next_for_batch(&mut receiver, 0), None);
}
