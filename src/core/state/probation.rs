//! Probation of jobs whose tasks fail wherever they are tried.
//!
//! A job whose tasks failed on several machines while none was done was most likely
//! submitted with a mistake, so it must not fill the cluster with attempts. But the
//! machines may have been faulty instead, so it must not be held back for long. It
//! therefore pauses after a failure, then runs a single task as a trial, and may run
//! more tasks at once for each one that survives its trial.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::wire::MachineId;

/// Failures on this many different machines put a job on probation.
const MIN_FAILED_MACHINES: usize = 3;
/// Upper bound of the pause after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(20);
/// Added to twice the run time of the longest failed run to get that of a trial.
const TRIAL_MARGIN: Duration = Duration::from_secs(5);
/// Upper bound of a trial's run time: a task that has run for this long has survived,
/// however late earlier ones failed.
const MAX_TRIAL: Duration = Duration::from_secs(10);
/// Time allowed for the ramp-up from a single task to all tasks of the job.
const MAX_RAMP_UP: Duration = Duration::from_secs(30);
/// Upper bound of probation: this long after its last failure a job is no longer held
/// back, whatever became of its trials. A trial may hang on a silent machine or wait for
/// an image that is slow to fetch.
const MAX_PROBATION: Duration =
    Duration::from_secs(MAX_PAUSE.as_secs() + MAX_TRIAL.as_secs() + MAX_RAMP_UP.as_secs());
/// No job may wait for longer than this while a machine that fits has free capacity.
const MAX_WAIT_WITH_FREE_CAPACITY: Duration = Duration::from_secs(90);
/// Part of that wait that is reserved for a scheduling round, the write to the log and
/// the start command.
const PLACEMENT_ALLOWANCE: Duration = Duration::from_secs(20);
const _: () = assert!(
    MAX_PROBATION.as_secs() + PLACEMENT_ALLOWANCE.as_secs() < MAX_WAIT_WITH_FREE_CAPACITY.as_secs(),
    "a job on probation would wait too long while machines have free capacity"
);
/// Number of further tasks that may be placed for each task that survived its trial.
const ADMITTED_PER_SURVIVOR: u32 = 3;

/// Failures of a job's tasks since one of them was last done.
#[derive(Debug, Default)]
pub struct FailureHistory {
    /// Machines on which a task failed.
    machines: BTreeSet<MachineId>,
    failures: u32,
    longest_run: Duration,
    last_failure: Option<Instant>,
}

impl FailureHistory {
    /// Records that a task failed on a machine after it had run for `run_time`.
    pub fn record_failure(&mut self, machine: &MachineId, run_time: Duration, now: Instant) {
        self.machines.insert(machine.clone());
        self.failures += 1;
        self.longest_run = self.longest_run.max(run_time);
        self.last_failure = Some(now);
    }

    /// Clears the history when a task is done, which shows that the job is not faulty.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a task of the job failed on this machine.
    pub fn includes(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// Whether the job failed recently, and on too many machines for the machines to be
    /// the likely cause.
    pub fn is_on_probation(&self, now: Instant) -> bool {
        let recent = |failure: Instant| now.saturating_duration_since(failure) < MAX_PROBATION;
        self.machines.len() >= MIN_FAILED_MACHINES && self.last_failure.is_some_and(recent)
    }

    /// How long to pause after the last failure; doubles with each failure, up to
    /// `MAX_PAUSE`.
    pub fn pause(&self) -> Duration {
        let seconds = 1u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        Duration::from_secs(seconds).min(MAX_PAUSE)
    }

    /// How long a task has to run to survive its trial: longer than any that failed, but
    /// at most `MAX_TRIAL`.
    pub fn trial_run_time(&self) -> Duration {
        (self.longest_run * 2 + TRIAL_MARGIN).min(MAX_TRIAL)
    }

    /// How many tasks of a job on probation may be placed at once, given how many of the
    /// placed ones have survived their trial.
    pub fn max_placed(&self, survivors: u32) -> u32 {
        survivors.saturating_mul(ADMITTED_PER_SURVIVOR).saturating_add(1)
    }
}
