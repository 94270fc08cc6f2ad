//! The Last Model: predicts the run time of a task as its estimate times the
//! run-to-estimate ratio of the team's last finished job. It is defined in section 3.2 of
//! the paper that [`scheduling`](crate::core::scheduling) names.

use std::time::{Duration, Instant};

use crate::core::state::model::ClusterModel;
use crate::core::state::slot::Slot;
use crate::wire::{JobKind, JobSpec};

/// Predicted run time of services and of jobs without an estimate.
const UNBOUNDED_RUN_TIME: Duration = Duration::from_secs(365 * 86_400);
/// Predicted remaining run time of a slot whose job is not known, and shortest
/// prediction for a task that has outrun its estimate.
const MIN_REMAINING_TIME: Duration = Duration::from_secs(1);
/// A task that has outrun its estimate is predicted to run on for its run time so far
/// divided by this.
const OVERRUN_DIVISOR: u32 = 5;

impl ClusterModel {
    /// Run time that the Last Model predicts for a task of a job; never more than its
    /// estimate.
    pub fn predict(&self, spec: &JobSpec) -> Duration {
        if spec.kind == JobKind::Service || spec.estimate_s <= 0.0 {
            return UNBOUNDED_RUN_TIME;
        }
        let ratio = self.run_time_ratios.get(&spec.team).copied().unwrap_or(1.0);
        Duration::from_secs_f64(spec.estimate_s * ratio.min(1.0))
    }

    /// When the attempt in a slot is predicted to end; always later than `now`.
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
        // The task has outrun the prediction: next come its estimate, then a time in
        // proportion to its run time. No task is stopped for outrunning its estimate.
        let estimated_end = since + Duration::from_secs_f64(spec.estimate_s.max(0.0));
        if estimated_end > now {
            estimated_end
        } else {
            now + (now - since) / OVERRUN_DIVISOR + MIN_REMAINING_TIME
        }
    }
}
