//! The Last Model: how long tasks are predicted to run.

use std::time::{Duration, Instant};

use crate::core::state::model::ClusterModel;
use crate::core::state::slot::Slot;
use crate::wire::{JobKind, JobSpec};

/// Prediction for what has no end of its own: services, and jobs without an estimate.
const UNBOUNDED_RUN_TIME: Duration = Duration::from_secs(365 * 86_400);
/// Prediction for a slot whose job is not known, and the shortest remaining run time
/// of a task that has outrun its estimate.
const MIN_REMAINING_TIME: Duration = Duration::from_secs(1);
/// A task that has outrun its estimate is predicted to run for this part of its
/// present run time longer.
const OVERRUN_DIVISOR: u32 = 5;

impl ClusterModel {
    /// Run time predicted for a task of a job: the estimate times the ratio of
    /// the team's last finished job, never more than the estimate.
    pub fn predict(&self, spec: &JobSpec) -> Duration {
        if spec.kind == JobKind::Service || spec.estimate_s <= 0.0 {
            return UNBOUNDED_RUN_TIME;
        }
        let ratio = self.run_time_ratios.get(&spec.team).copied().unwrap_or(1.0);
        Duration::from_secs_f64(spec.estimate_s * ratio.min(1.0))
    }

    /// When a slot is predicted to be free; always later than `now`.
    pub(in crate::core) fn predicted_end(&self, slot: &Slot, now: Instant) -> Instant {
        let Some(spec) = &slot.spec else {
            return now + MIN_REMAINING_TIME;
        };
        let run_time = self.predict(spec);
        let since = slot.running_since.unwrap_or(now);
        let end = since + run_time;
        if end > now {
            return end;
        }
        // It has outrun the prediction: the estimate comes next, then a guess
        // in proportion to its age. No job is killed for outrunning its estimate.
        let estimated_end = since + Duration::from_secs_f64(spec.estimate_s.max(0.0));
        if estimated_end > now {
            estimated_end
        } else {
            now + (now - since) / OVERRUN_DIVISOR + MIN_REMAINING_TIME
        }
    }
}
