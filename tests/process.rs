//! How a process notices that it stands still or falls behind, and how its
//! messages to others are batched.

use std::time::{Duration, Instant};

use bitternfold::peer::{next_for, MOST_BATCH};
use bitternfold::pulse::{Pulse, BEAT};

#[test]
fn a_standstill_is_told_once_and_strain_passes() {
    let t = Instant::now();
    let p = Pulse::new(t);
    p.beat(t + BEAT);
    assert!(p.stood_still(t + BEAT * 2).is_none() && !p.strained(t + BEAT * 2));
    let late = t + BEAT * 2 + Duration::from_millis(600);
    assert!(p.strained(late), "even before the timer fires");
    p.beat(late);
    assert!(p.strained(late) && p.stood_still(late).is_none());
    p.beat(late + BEAT);
    assert!(!p.strained(late + BEAT), "it has caught up");
    let woke = late + BEAT + Duration::from_secs(37);
    assert!(p.stood_still(woke).is_some_and(|d| d > Duration::from_secs(36)));
    assert!(p.stood_still(woke).is_none());
}

#[test]
fn a_full_batch_takes_nothing_out_of_the_queue() {
    let (tx, mut rx) = tokio::sync::mpsc::channel(4);
    tx.try_send(1).expect("room");
    assert_eq!(next_for(&mut rx, MOST_BATCH), None);
    assert_eq!(next_for(&mut rx, 0), Some(1), "it waits for the next batch");
    assert_eq!(next_for(&mut rx, 0), None);
}
