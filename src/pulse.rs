//! Whether this process runs as it should. A controller may stand still for
//! seconds while its clocks run on, or get less of the processor than it needs;
//! both show in how late its own timer fires.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Pause between two beats.
pub const BEAT: Duration = Duration::from_millis(100);
/// A beat that is so late means that the process stood still.
const STILL: Duration = Duration::from_secs(1);
/// So late, it has more to do than it can: polls are put off...
const STRAINED: Duration = Duration::from_millis(400);
/// ...and so late, submissions, too. Cancellations and reports never are.
const SWAMPED: Duration = Duration::from_millis(1500);

/// How much there is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Load {
    /// No more than can be done.
    Fair,
    /// Polls are put off, at once and before they cost much.
    Strained,
    /// So are submissions.
    Swamped,
}

/// The last beat, and how late it was.
#[derive(Debug)]
pub struct Pulse {
    last: Mutex<(Instant, Duration)>,
}

impl Pulse {
    /// Beats from now on.
    pub fn new(now: Instant) -> Self {
        Self {
            last: Mutex::new((now, Duration::ZERO)),
        }
    }

    /// The timer fired.
    pub fn beat(&self, now: Instant) {
        let mut last = self.last.lock();
        let late = now.saturating_duration_since(last.0 + BEAT);
        *last = (last.0.max(now), late);
    }

    /// If the process has stood still until now: for how long. Says so once.
    pub fn stood_still(&self, now: Instant) -> Option<Duration> {
        let mut last = self.last.lock();
        let late = now.saturating_duration_since(last.0 + BEAT);
        (late > STILL).then(|| {
            *last = (now, Duration::ZERO);
            late
        })
    }

    /// How much there is to do, by how late the timer fires or is due.
    pub fn load(&self, now: Instant) -> Load {
        let last = self.last.lock();
        let late = last.1.max(now.saturating_duration_since(last.0 + BEAT));
        match late {
            l if l > SWAMPED => Load::Swamped,
            l if l > STRAINED => Load::Strained,
            _ => Load::Fair,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_standstill_is_told_once_and_strain_passes() {
        let t = Instant::now();
        let p = Pulse::new(t);
        p.beat(t + BEAT);
        assert!(p.stood_still(t + BEAT * 2).is_none() && p.load(t + BEAT * 2) == Load::Fair);
        let late = t + BEAT * 2 + Duration::from_millis(600);
        assert_eq!(p.load(late), Load::Strained, "even before the timer fires");
        p.beat(late);
        assert!(p.load(late) == Load::Strained && p.stood_still(late).is_none());
        p.beat(late + BEAT);
        assert_eq!(p.load(late + BEAT), Load::Fair, "it has caught up");
        let woke = late + BEAT + Duration::from_secs(37);
        assert!(p.stood_still(woke).is_some_and(|d| d > Duration::from_secs(36)));
        assert!(p.stood_still(woke).is_none());
    }
}
