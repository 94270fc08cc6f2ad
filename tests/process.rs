//! How a process notices that it stands still or falls behind, and how its
//! messages to others are batched.

use std::time::{Duration, Instant};

use bitternfold::peer::{next_for, MAX_BATCH_BYTES};
use bitternfold::stall::{StallDetector, TICK};

#[test]
fn a_standstill_is_told_once_and_strain_passes() {
    let t = Instant::now();
    let p = StallDetector::new(t);
    p.tick(t + TICK);
    assert!(p.take_stall(t + TICK * 2).is_none() && !p.overloaded(t + TICK * 2));
    let late = t + TICK * 2 + Duration::from_millis(600);
    assert!(p.overloaded(late), "even before the timer fires");
    p.tick(late);
    assert!(p.overloaded(late) && p.take_stall(late).is_none());
    p.tick(late + TICK);
    assert!(!p.overloaded(late + TICK), "it has caught up");
    let woke = late + TICK + Duration::from_secs(37);
    assert!(p.take_stall(woke).is_some_and(|d| d > Duration::from_secs(36)));
    assert!(p.take_stall(woke).is_none());
}

#[test]
fn a_full_batch_takes_nothing_out_of_the_queue() {
    let (tx, mut rx) = tokio::sync::mpsc::channel(4);
    tx.try_send(1).expect("room");
    assert_eq!(next_for(&mut rx, MAX_BATCH_BYTES), None);
    assert_eq!(next_for(&mut rx, 0), Some(1), "it waits for the next batch");
    assert_eq!(next_for(&mut rx, 0), None);
}
