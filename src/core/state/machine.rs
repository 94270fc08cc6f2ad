//! A rented machine: what the cloud's list and its worker's heartbeats say about it, and
//! the state of the commands to it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::core::state::job::Job;
use crate::core::state::resources::Resources;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::state::token;
use crate::core::storage::wal::{LogEntry, WriteAheadLog};
use crate::wire::{Command, ExitReason, Heartbeat, JobId, MachineId, TaskId};

/// Position of a message in the order of all messages of its worker: every message of a
/// later incarnation comes after those of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// Incarnation of the worker, incremented when it restarts or its lease expires.
    pub incarnation: u64,
    /// Sequence number of the message within the incarnation.
    pub sequence: u64,
}

impl MessageOrder {
    /// The position after every message of an incarnation. As the newest message, it makes
    /// all messages of that incarnation outdated.
    pub(in crate::core) fn end_of(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: u64::MAX,
        }
    }

    /// The position of a heartbeat; every message of a worker contains one.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
        }
    }
}

/// Phase of a machine between its rental and its release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented; no heartbeat of its worker has been received yet.
    Booting,
    /// A heartbeat was received, or this leader found the machine in the log with an
    /// address, or first learned of it from the cloud's list when it was running.
    Up,
    /// Its release is requested. The request alone is no evidence: slots stay until the
    /// cloud confirms the release, or something else proves that their attempts are gone.
    Releasing,
}

/// A rented machine, until the cloud confirms its release.
#[derive(Debug)]
pub struct Machine {
    /// The id that the cloud gave it.
    pub id: MachineId,
    /// Address at which its worker takes commands; empty until known.
    pub address: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone in which it was rented.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its phase between rental and release.
    pub phase: MachinePhase,
    /// When it was rented, or when this leader learned of it from the log or a heartbeat.
    /// If the cloud's list showed it first: when that was, if it was running by then, else
    /// when it was rented according to the list.
    pub known_since: Instant,
    /// Position of the newest message that was accepted.
    pub newest_message: MessageOrder,
    /// Highest fencing token that its worker has seen, by its messages.
    pub seen_token: u64,
    /// Number of fencing tokens issued for it in this term, which is also the counter in
    /// the low bits of the last one.
    pub issued_tokens: u64,
    /// When its newest message was accepted: a heartbeat, or the response to a batch of
    /// commands.
    pub last_heartbeat: Option<Instant>,
    /// When one of its heartbeats was last answered; its worker's lease runs from then at
    /// the latest.
    pub last_heartbeat_response: Option<Instant>,
    /// When the cloud reclaims it, according to a spot notice.
    pub reclaim_at: Option<Instant>,
    /// The attempts of tasks that are or may be on it.
    pub slots: BTreeMap<TaskId, Slot>,
    /// Images in its cache or being fetched, with their sizes in GB; the most recently
    /// used one is last.
    pub images: Vec<(String, f64)>,
    /// Since when ended attempts wait to be acknowledged.
    pub unacknowledged_since: Option<Instant>,
    /// Whether a batch of commands is in flight to it.
    pub batch_in_flight: bool,
    /// No command is sent to it before this time.
    pub no_command_before: Option<Instant>,
    /// Since when commands to it have failed without one being answered in between.
    pub commands_unanswered_since: Option<Instant>,
    /// When it last answered a batch of commands.
    pub last_command_answer: Option<Instant>,
    /// Whether a probe is due: a batch of commands that is sent even if it is empty, to
    /// learn which tasks are on the machine or to fence it.
    pub needs_probe: bool,
    /// Jobs of which a task failed on it since one was last done on it or a cordon ended.
    pub failed_jobs: BTreeSet<JobId>,
    /// Number of attempts that failed on it since then.
    pub failures: u32,
    /// Since when it is cordoned, that is, no more tasks are placed on it.
    pub cordoned_since: Option<Instant>,
    /// No task is placed on it before this time, as it refused a start for lack of free
    /// resources.
    pub no_placement_before: Option<Instant>,
    /// Since when no task on it takes resources. On a machine that booted, this counts anew
    /// from its first heartbeat.
    pub idle_since: Option<Instant>,
}

impl Machine {
    pub(in crate::core) fn new(id: MachineId, now: Instant) -> Self {
        Self {
            id,
            address: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            phase: MachinePhase::Booting,
            known_since: now,
            newest_message: MessageOrder::default(),
            seen_token: 0,
            issued_tokens: 0,
            last_heartbeat: None,
            last_heartbeat_response: None,
            reclaim_at: None,
            slots: BTreeMap::new(),
            images: Vec::new(),
            unacknowledged_since: None,
            batch_in_flight: false,
            no_command_before: None,
            commands_unanswered_since: None,
            last_command_answer: None,
            needs_probe: false,
            failed_jobs: BTreeSet::new(),
            failures: 0,
            cordoned_since: None,
            no_placement_before: None,
            idle_since: Some(now),
        }
    }

    /// The write-ahead log's entry for this machine.
    pub(in crate::core) fn log_entry(&self) -> LogEntry {
        LogEntry::Machine(
            self.id.clone(),
            self.address.clone(),
            self.machine_type.clone(),
            self.zone.clone(),
            self.spot,
        )
    }

    /// Whether a command to its worker may be due: a probe, a start, a stop or an
    /// acknowledgement.
    pub(in crate::core) fn may_have_due_command(&self) -> bool {
        self.needs_probe
            || self
                .slots
                .values()
                .any(|s| s.stop_grace.is_some() || matches!(s.state, SlotState::Placed | SlotState::Ended(_)))
    }

    /// Whether an incarnation of its worker has ended because its lease expired, see
    /// [`crate::core::ClusterModel::expire_leases`].
    pub fn incarnation_ended(&self, incarnation: u64) -> bool {
        self.newest_message == MessageOrder::end_of(incarnation)
    }

    /// Whether the worker has seen a token of this term, so that it refuses commands of
    /// earlier leaders.
    pub fn is_fenced_by(&self, term: u64) -> bool {
        token::term_of(self.seen_token) == term
    }

    /// Whether the image is in its cache or being fetched.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Marks an image as the most recently used one, and evicts the least recently used
    /// ones as long as the images don't fit into the cache.
    pub(in crate::core) fn note_image_use(&mut self, image: &str, image_gb: f64, cache_gb: f64) {
        if let Some(position) = self.images.iter().position(|(i, _)| i == image) {
            let entry = self.images.remove(position);
            self.images.push(entry);
            return;
        }
        self.images.push((image.to_owned(), image_gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, g)| g).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }

    /// The resources that its tasks take, or may take.
    pub fn used_resources(&self) -> Resources {
        let slots = self.slots.values().filter(|slot| slot.takes_resources());
        let specs = slots.filter_map(|slot| slot.spec.as_ref());
        specs.map(|spec| Resources::of_task(spec)).sum()
    }

    /// Whether no task on it takes resources; ended attempts take none.
    pub fn is_empty(&self) -> bool {
        !self.slots.values().any(Slot::takes_resources)
    }
}

impl Machine {
    /// Acknowledgements of the attempts that have ended. As the worker forgets an attempt
    /// that is acknowledged, one that is done waits until the log entry that says so is
    /// stored or its job is not, or no longer, in the model.
    pub(in crate::core) fn acknowledgements(
        &self,
        log: &WriteAheadLog,
        jobs: &BTreeMap<JobId, Job>,
    ) -> Vec<Command> {
        let may_acknowledge = |task: &TaskId, slot: &Slot| match slot.state {
            SlotState::Ended(ExitReason::Done) => {
                log.is_stored(slot.outcome_log_mark) || !jobs.contains_key(&task.job)
            }
            SlotState::Ended(_) => true,
            _ => false,
        };
        self.slots
            .iter()
            .filter(|(task, slot)| may_acknowledge(task, slot))
            .map(|(task, slot)| Command::Acknowledge {
                task: *task,
                attempt: slot.attempt,
            })
            .collect()
    }

    /// The token that [`Machine::issue_token`] would issue next.
    pub(in crate::core) fn peek_token(&self, term: u64) -> u64 {
        token::first_of_term(term) + self.issued_tokens + 1
    }

    /// Issues a token above all that were issued for this machine before, in this term or
    /// an earlier one.
    pub(in crate::core) fn issue_token(&mut self, term: u64) -> u64 {
        self.issued_tokens += 1;
        token::first_of_term(term) + self.issued_tokens
    }
}
