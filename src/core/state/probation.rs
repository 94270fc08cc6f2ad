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
const FAILED_MACHINES: usize = 3;
/// Longest pause after a failure.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(20);
/// Longest trial: a task that has run for so long has survived, however late
/// earlier ones failed.
pub const LONGEST_TRIAL: Duration = Duration::from_secs(10);
/// Longest ramp from one task to all of them.
pub const LONGEST_RAMP: Duration = Duration::from_secs(30);
/// So long after its last failure a job is held back no more, whatever became
/// of its trials: one may hang on a silent machine or wait for a slow image.
pub const LONGEST_PROBATION: Duration =
    Duration::from_secs(LONGEST_PAUSE.as_secs() + LONGEST_TRIAL.as_secs() + LONGEST_RAMP.as_secs());
/// No job may wait for longer while a machine that fits has room.
pub const LONGEST_WAIT_BESIDE_ROOM: Duration = Duration::from_secs(90);
/// Part of that wait left for a scheduling round, the log and the command.
const PLACEMENT_ALLOWANCE: Duration = Duration::from_secs(20);
const _: () = assert!(
    LONGEST_PROBATION.as_secs() + PLACEMENT_ALLOWANCE.as_secs() < LONGEST_WAIT_BESIDE_ROOM.as_secs(),
    "a job on probation would wait too long beside free machines"
);
/// Further tasks that each survivor admits.
const ADMITTED_BY_SURVIVOR: u32 = 3;

/// Failures of a job's tasks since one was last done.
#[derive(Debug, Default)]
pub struct FailureHistory {
    machines: BTreeSet<MachineId>,
    failures: u32,
    longest_run: Duration,
    last: Option<Instant>,
}

impl FailureHistory {
    /// Notes that a task failed on a machine after it had run for `run`.
    pub fn record(&mut self, machine: &MachineId, run: Duration, now: Instant) {
        self.machines.insert(machine.clone());
        self.failures += 1;
        self.longest_run = self.longest_run.max(run);
        self.last = Some(now);
    }

    /// A task was done: the job itself is in order.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a task failed on this machine.
    pub fn includes(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// The job failed on too many machines for its failures to be theirs.
    pub fn on_probation(&self, now: Instant) -> bool {
        let recent = |last: Instant| now.saturating_duration_since(last) < LONGEST_PROBATION;
        self.machines.len() >= FAILED_MACHINES && self.last.is_some_and(recent)
    }

    /// How long to pause after the last failure: twice as long each time.
    pub fn pause(&self) -> Duration {
        let seconds = 1u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        Duration::from_secs(seconds).min(LONGEST_PAUSE)
    }

    /// How long a task has to run to survive its trial.
    pub fn trial(&self) -> Duration {
        (self.longest_run * 2 + Duration::from_secs(5)).min(LONGEST_TRIAL)
    }

    /// How many tasks a job on probation may have placed at once.
    pub fn admitted(&self, survivors: u32) -> u32 {
        survivors.saturating_mul(ADMITTED_BY_SURVIVOR).saturating_add(1)
    }
}
