//! Cordons: a machine on which tasks fail is given no more tasks for a while.
//!
//! Tasks may fail because of their machine or because of their job. A job is *proven* once
//! one of its tasks is done, so its failures point to the machine.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::machine::Machine;
use crate::core::state::model::ClusterModel;
use crate::wire::{JobId, MachineId};

const CORDON_DURATION: Duration = Duration::from_secs(45);
/// A machine is faulty if so many jobs failed on it since its last success, whether or
/// not they are proven: so many jobs are unlikely to be faulty at the same time.
const MIN_FAILED_JOBS: usize = 3;
/// The same, if one of the jobs is proven.
const MIN_FAILED_JOBS_WITH_PROVEN: usize = 2;
/// A machine is faulty by so many failures since its last success even if they are all of
/// one proven job.
const MIN_FAILURES_WITH_PROVEN: u32 = 3;

impl ClusterModel {
    /// Cordons a machine if the failures on it point to the machine and not to the jobs:
    /// one of the jobs is proven and there are enough failures or jobs, or there are more
    /// jobs than are likely to be faulty at the same time.
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
            info!(
                machine = %id,
                failures = machine.failures,
                jobs,
                "machine cordoned because tasks fail on it"
            );
            machine.cordoned_since = Some(now);
        }
    }

    /// Ends cordons that have lasted for `CORDON_DURATION`, as their cause may be over.
    /// This doesn't wait for the machine to be empty or released: the cloud may refuse the
    /// release for a long time, and tasks would wait although the machine has free
    /// resources.
    pub fn end_cordons(&mut self, now: Instant) {
        let has_expired = |machine: &&mut Machine| {
            machine
                .cordoned_since
                .is_some_and(|since| now.saturating_duration_since(since) > CORDON_DURATION)
        };
        for machine in self.machines.values_mut().filter(has_expired) {
            info!(machine = %machine.id, "machine no longer cordoned");
            machine.cordoned_since = None;
            machine.failed_jobs.clear();
            machine.failures = 0;
        }
    }
}
