//! Probation of jobs whose tasks fail wherever they are tried.
//!
//! A job that failed on several machines, with no task done, was most likely
//! submitted with a mistake, so it must not fill the cluster with attempts. It
//! may also have met several faulty machines, so it must not be held back for
//! long either. It therefore pauses after a failure, is then tried with a single
//! task, and with more tasks at once for each one that survives its trial.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::wire::MachineId;

/// Failures on so many different machines put a job on probation.
const MIN_FAILED_MACHINES: usize = 3;
/// Upper bound of the pause after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(20);
/// Added to twice the longest run that failed, to get the run time of a trial.
const TRIAL_MARGIN: Duration = Duration::from_secs(5);
/// Upper bound of a trial: a task that has run for so long has survived, however late
/// earlier ones failed.
const MAX_TRIAL: Duration = Duration::from_secs(10);
/// Time within which the survivors admit all tasks of a job, starting from one.
const MAX_RAMP: Duration = Duration::from_secs(30);
/// Upper bound of probation: so long after its last failure a job is held back no
/// more, whatever became of its trials. One may hang on a silent machine or wait for a
/// slow image.
const MAX_PROBATION: Duration =
    Duration::from_secs(MAX_PAUSE.as_secs() + MAX_TRIAL.as_secs() + MAX_RAMP.as_secs());
/// No job may wait for longer while a machine that fits has room.
const MAX_WAIT_BESIDE_ROOM: Duration = Duration::from_secs(90);
/// Part of that wait left for a scheduling round, the log and the command.
const PLACEMENT_ALLOWANCE: Duration = Duration::from_secs(20);
const _: () = assert!(
    MAX_PROBATION.as_secs() + PLACEMENT_ALLOWANCE.as_secs() < MAX_WAIT_BESIDE_ROOM.as_secs(),
    "a job on probation would wait too long beside free machines"
);
/// Further tasks that each survivor admits.
const ADMITTED_PER_SURVIVOR: u32 = 3;

/// Failures of a job's tasks since one was last done.
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
    pub fn record(&mut self, machine: &MachineId, run_time: Duration, now: Instant) {
        self.machines.insert(machine.clone());
        self.failures += 1;
        self.longest_run = self.longest_run.max(run_time);
        self.last_failure = Some(now);
    }

    /// Forgets all failures, once a task is done: the job itself is in order.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a task failed on this machine.
    pub fn includes(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// Whether the job failed of late, and on too many machines for its failures to be
    /// theirs.
    pub fn on_probation(&self, now: Instant) -> bool {
        let recent = |failure: Instant| now.saturating_duration_since(failure) < MAX_PROBATION;
        self.machines.len() >= MIN_FAILED_MACHINES && self.last_failure.is_some_and(recent)
    }

    /// How long to pause after the last failure: twice as long each time, up to a
    /// bound.
    pub fn pause(&self) -> Duration {
        let seconds = 1u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        Duration::from_secs(seconds).min(MAX_PAUSE)
    }

    /// How long a task has to run to survive its trial: longer than those that failed.
    pub fn trial_run_time(&self) -> Duration {
        (self.longest_run * 2 + TRIAL_MARGIN).min(MAX_TRIAL)
    }

    /// How many tasks a job on probation may have placed at once, given how many of
    /// them have survived their trial.
    pub fn max_placed(&self, survivors: u32) -> u32 {
        survivors.saturating_mul(ADMITTED_PER_SURVIVOR).saturating_add(1)
    }
}
