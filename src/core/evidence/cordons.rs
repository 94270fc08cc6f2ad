//! Cordons: machines that fail their tasks take no more of them for a while.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::wire::{JobId, MachineId};

/// How long a cordon lasts.
const CORDON: Duration = Duration::from_secs(45);
/// Jobs that failed on a machine without a success between, by which it is faulty
/// whatever became of them elsewhere: so many are not likely to be bad at once.
const FAILED_JOBS: usize = 3;
/// The same, if one of the jobs has had a task done elsewhere.
const FAILED_JOBS_ONE_SOUND: usize = 2;
/// Failures by which a machine is faulty even if they are all of one sound job.
const FAILURES_OF_SOUND_JOB: u32 = 3;

impl ClusterModel {
    /// Cordons a machine that fails its tasks, but not one on which bad jobs fail: it
    /// takes failures of a job that has had tasks done, or of more jobs than are likely
    /// to be bad at once.
    pub(in crate::core) fn cordon_if_faulty(&mut self, id: &MachineId, now: Instant) {
        let machine = self.machines.get_mut(id);
        let Some(machine) = machine.filter(|machine| machine.cordoned_since.is_none()) else {
            return;
        };
        let is_sound = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.done.count() > 0);
        let jobs = machine.failed_jobs.len();
        let any_sound = machine.failed_jobs.iter().any(is_sound);
        let faulty = jobs >= FAILED_JOBS
            || any_sound && (jobs >= FAILED_JOBS_ONE_SOUND || machine.failures >= FAILURES_OF_SOUND_JOB);
        if faulty {
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
                .is_some_and(|since| now.saturating_duration_since(since) > CORDON)
        };
        for machine in self.machines.values_mut().filter(has_expired) {
            info!(machine = %machine.id, "cordon ended");
            machine.cordoned_since = None;
            machine.failed_jobs.clear();
            machine.failures = 0;
        }
    }
}
