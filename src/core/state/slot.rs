//! Slots: an attempt of a task that is, or may be, on a machine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::core::state::token;
use crate::wire::{ExitReason, JobSpec};

/// What the last heartbeat says of the attempt in a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Placed; the start has not been confirmed yet.
    Placed,
    /// Named by the log of an earlier term; may be there or not.
    Unknown,
    /// Waits for its image to be fetched.
    Fetching,
    /// Runs.
    Running,
    /// Writes a checkpoint after a stop.
    Saving,
    /// Ended; stays until the worker has taken the acknowledgement.
    Ended(ExitReason),
}

/// A place where an attempt of a task is or may be.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Number of the attempt, unique over all terms.
    pub attempt: u64,
    /// Its state by the last heartbeat.
    pub state: SlotState,
    /// Its job's specification, unless the job is not (or no longer) known.
    pub spec: Option<Arc<JobSpec>>,
    /// Highest fencing token that was sent with its start; 0: never sent.
    pub start_token: u64,
    /// Worker incarnation that the last start was sent to; 0: never sent in this term.
    pub start_incarnation: u64,
    /// Mark of the log entry that names its start; the start is sent once that is stored.
    pub start_log_mark: u64,
    /// For done tasks: mark of the log entry that says so; acknowledged once stored.
    pub outcome_log_mark: u64,
    /// Started by backfilling; shadow as long as a waiting job outranks it.
    pub backfilled: bool,
    /// When it was placed.
    pub placed_at: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// It is to be stopped, with this much time to write a checkpoint.
    pub stop_grace: Option<Duration>,
    /// When the stop was first ordered. Unset while `stop_grace` is set for an attempt
    /// that this leader did not expect: such a stop is never overdue.
    pub stop_ordered_at: Option<Instant>,
}

impl Slot {
    /// An attempt that is or may be there, though this leader did not start
    /// it. Whatever an earlier leader sent is settled by any message that
    /// shows a token of this term.
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
            start_token: token::first_of_term(term),
            start_incarnation: 0,
            start_log_mark: 0,
            outcome_log_mark: 0,
            backfilled: false,
            placed_at: now,
            running_since: None,
            stop_grace: None,
            stop_ordered_at: None,
        }
    }

    /// Orders a stop; the time of an earlier order stays.
    pub(in crate::core) fn order_stop(&mut self, grace: Duration, now: Instant) {
        self.stop_grace = Some(grace);
        self.stop_ordered_at.get_or_insert(now);
    }

    /// Whether it still takes resources of its machine: all but an ended one do.
    pub fn takes_resources(&self) -> bool {
        !matches!(self.state, SlotState::Ended(_))
    }
}
