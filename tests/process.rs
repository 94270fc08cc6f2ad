//! How a process notices that it stands still or falls behind, and how its
//! messages to others are batched.

use std::time::{Duration, Instant};

use bitternfold::peer::{next_for_batch, MAX_BATCH_BYTES};
use bitternfold::stall::{StallDetector, TIMER_INTERVAL};

#[test]
fn a_standstill_is_told_once_and_strain_passes() {
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
    let (tx, mut rx) = tokio::sync::mpsc::channel(4);
    tx.try_send(1).expect("room");
    assert_eq!(next_for_batch(&mut rx, MAX_BATCH_BYTES), None);
    assert_eq!(next_for_batch(&mut rx, 0), Some(1), "it waits for the next batch");
    assert_eq!(next_for_batch(&mut rx, 0), None);
}
