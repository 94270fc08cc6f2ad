//! Cordons: machines that fail their tasks take no more of them for a while.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::wire::{JobId, MachineId};

/// How long a cordon lasts.
const CORDON_DURATION: Duration = Duration::from_secs(45);
/// Jobs that failed on a machine without a success between, by which it is faulty
/// whatever became of them elsewhere: so many are not likely to be bad at once.
const MIN_FAILED_JOBS: usize = 3;
/// The same, if one of the jobs has had a task done elsewhere.
const MIN_FAILED_JOBS_WITH_PROVEN: usize = 2;
/// Failures by which a machine is faulty even if they are all of one sound job.
const MIN_FAILURES_WITH_PROVEN: u32 = 3;

impl ClusterModel {
    /// Cordons a machine that fails its tasks, but not one on which bad jobs fail: it
    /// takes failures of a job that has had tasks done, or of more jobs than are likely
    /// to be bad at once.
    pub(in crate::core) fn cordon_if_faulty(&mut self, id: &MachineId, now: Instant) {
        let machine = self.machines.get_mut(id);
        let Some(machine) = machine.filter(|machine| machine.cordoned_since.is_none()) else {
            return;
        };
        let is_proven = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.done.count() > 0);
        let jobs = machine.failed_jobs.len();
        let any_proven = machine.failed_jobs.iter().any(is_proven);
        let is_faulty = jobs >= MIN_FAILED_JOBS
            || any_proven
                && (jobs >= MIN_FAILED_JOBS_WITH_PROVEN || machine.failures >= MIN_FAILURES_WITH_PROVEN);
        if is_faulty {
            info!(machine = %id, failures = machine.failures, jobs, "machine cordoned: its tasks fail");
            machine.cordoned_since = Some(now);
        }
    }

    /// Ends cordons that have lasted long enough: the cause may be over. This doesn't
    /// wait for the machine to be empty or released, as the cloud may refuse the release
    /// for long, and tasks would wait although the machine has room.
    pub fn end_cordons(&mut self, now: Instant) {
        let has_expired = |machine: &&mut Machine| {
            machine
                .cordoned_since
                .is_some_and(|since| now.saturating_duration_since(since) > CORDON_DURATION)
        };
        for machine in self.machines.values_mut().filter(has_expired) {
            info!(machine = %machine.id, "cordon ended");
            machine.cordoned_since = None;
            machine.failed_jobs.clear();
            machine.failures = 0;
        }
    }
}
