//! Slots of machines: each holds an attempt of a task that is, or may be, on the machine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::core::state::token;
use crate::wire::{ExitReason, JobSpec};

/// What the worker's newest message says of the attempt in a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Placed; the worker has not reported the attempt yet.
    Placed,
    /// An attempt that the log of an earlier term names, or that this leader didn't
    /// expect, and whose state is not reported yet. It may or may not be there.
    Unknown,
    /// Waits for its image to be fetched, or for the other tasks of its gang.
    Fetching,
    /// Runs, as its worker reports.
    Running,
    /// Saves a checkpoint after a stop command.
    Saving,
    /// Ended; the slot stays until the worker has taken the acknowledgement.
    Ended(ExitReason),
}

/// An attempt of a task that is or may be on a machine.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Number of the attempt, unique over all terms.
    pub attempt: u64,
    /// State of the attempt by the worker's newest message.
    pub state: SlotState,
    /// Specification of its job; `None` if the job is not known, or no longer.
    pub spec: Option<Arc<JobSpec>>,
    /// Highest fencing token of a batch with its start, which counts even if the batch was
    /// withheld in the end; 0 if there was no such batch. For an attempt that this leader
    /// did not start, see `Slot::unknown`.
    pub start_token: u64,
    /// Latest worker incarnation that such a batch was meant for; 0 if there was none in
    /// this term.
    pub start_incarnation: u64,
    /// Mark of the log entry that names its start; the start is sent only once that entry
    /// is stored.
    pub start_log_mark: u64,
    /// For a done task, mark of the log entry that says so; the end of the attempt is
    /// acknowledged only once that entry is stored.
    pub outcome_log_mark: u64,
    /// Whether it was placed by backfilling and is still shadow load: it may be preempted
    /// as long as a job that waits for capacity outranks its own.
    pub backfilled: bool,
    /// When the attempt was placed, or when this leader learned of it.
    pub placed_at: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// Set if the worker reports that the attempt has ended or is not there, but may still start
    /// it again: see [`Slot::may_start_again`]. The slot stays as it is until the worker has seen
    /// a higher token.
    pub awaits_fence: bool,
    /// Set once the attempt is to be stopped: the grace time that it has to save a
    /// checkpoint.
    pub stop_grace: Option<Duration>,
    /// When `Slot::order_stop` first set `stop_grace`; some time after that, the stop is
    /// overdue. `None` although `stop_grace` is set: the grace time was set only because
    /// the worker reported another attempt than the slot's. Such a stop is never overdue.
    pub stop_ordered_at: Option<Instant>,
}

impl Slot {
    /// An attempt that is or may be on the machine, though this leader did not start it.
    /// A worker that has seen a token of this term refuses the starts of earlier leaders,
    /// so `start_token` is the highest possible token of the term before: any message that
    /// shows a token of this term settles whether the attempt is there.
    pub(in crate::core) fn unknown(
        attempt: u64,
        spec: Option<Arc<JobSpec>>,
        term: u64,
        now: Instant,
    ) -> Self {
        Self {
            attempt,
            state: SlotState::Unknown,
            spec,
            start_token: token::first_of_term(term).saturating_sub(1),
            start_incarnation: 0,
            start_log_mark: 0,
            outcome_log_mark: 0,
            backfilled: false,
            placed_at: now,
            running_since: None,
            awaits_fence: false,
            stop_grace: None,
            stop_ordered_at: None,
        }
    }

    /// Orders a stop with the grace time `grace`. `stop_ordered_at` keeps the time of the
    /// first order.
    pub(in crate::core) fn order_stop(&mut self, grace: Duration, now: Instant) {
        self.stop_grace = Some(grace);
        self.stop_ordered_at.get_or_insert(now);
    }

    /// Whether a worker that has seen no higher token than this one accepts a start of the
    /// attempt that was sent before, or a late copy of it. It carries out such a copy unless it
    /// lists the attempt. A worker that was restarted before its lease expired lists none: it
    /// has lost its tasks, but keeps its incarnation and its token.
    pub fn may_start_again(&self, seen_token: u64) -> bool {
        self.start_token > 0 && seen_token <= self.start_token
    }

    /// Whether the attempt takes resources of its machine: unless it has ended, it does.
    pub fn takes_resources(&self) -> bool {
        !matches!(self.state, SlotState::Ended(_))
    }
}
