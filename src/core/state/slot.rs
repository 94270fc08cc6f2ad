//! A place where an attempt of a task is or may be.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::core::state::token;
use crate::wire::{ExitReason, JobSpec};

/// State of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Placed; the start has not been confirmed yet.
    Placed,
    /// From the record of an earlier leader; may be there or not.
    Unknown,
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Saves, after a stop.
    Saving,
    /// Ended; stays until the worker forgets it.
    Ended(ExitReason),
}

/// A place where an attempt of a task is or may be.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The attempt.
    pub attempt: u64,
    /// What is known of it.
    pub state: SlotState,
    /// The job, unless it is not (or no longer) known.
    pub spec: Option<Arc<JobSpec>>,
    /// Highest token that carried its start; 0: never sent.
    pub start_token: u64,
    /// Session that the last start was sent to; 0: never sent in this term.
    pub start_incarnation: u64,
    /// Mark of the log's entry that names it.
    pub logged: u64,
    /// For ended tasks: mark of the log's entry that holds the outcome.
    pub outcome: u64,
    /// Started by backfilling; shadow as long as a waiting job outranks it.
    pub backfilled: bool,
    /// When it was placed.
    pub placed_at: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// To be stopped, with this much time to save.
    pub stop: Option<Duration>,
    /// When the stop was first asked for.
    pub stop_at: Option<Instant>,
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
            logged: 0,
            outcome: 0,
            backfilled: false,
            placed_at: now,
            running_since: None,
            stop: None,
            stop_at: None,
        }
    }

    pub(in crate::core) fn order_stop(&mut self, grace: Duration, now: Instant) {
        self.stop = Some(grace);
        self.stop_at.get_or_insert(now);
    }

    /// Whether it still takes room: everything but an ended one.
    pub fn takes_room(&self) -> bool {
        !matches!(self.state, SlotState::Ended(_))
    }
}
