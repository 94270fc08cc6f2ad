//! A rented machine: what the cloud lists, what its worker's heartbeats say, and what
//! commands to it have come to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::core::state::job::Job;
use crate::core::state::resources::Resources;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::state::token;
use crate::core::storage::wal::{LogEntry, WriteAheadLog};
use crate::wire::{Command, ExitReason, Heartbeat, JobId, MachineId, TaskId};

/// Place of a message of a worker in the order of all its messages: a later incarnation
/// comes after every message of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// Incarnation of the worker, counted up when it starts anew or its lease expires.
    pub incarnation: u64,
    /// Sequence number of the message in the incarnation.
    pub sequence: u64,
}

impl MessageOrder {
    /// After every message of an incarnation, so that none of them counts any more.
    pub(in crate::core) fn end_of(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: u64::MAX,
        }
    }

    /// The place of a heartbeat, which every message of a worker holds.
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
    /// Rented; no heartbeat of its worker has come yet.
    Booting,
    /// A heartbeat has come, or the cloud lists it as running.
    Up,
    /// Its release has been asked for; it holds what it holds until confirmed.
    Releasing,
}

/// A rented machine.
#[derive(Debug)]
pub struct Machine {
    /// Its id, as the cloud gave it.
    pub id: MachineId,
    /// Where its worker takes commands; empty if not known yet.
    pub addr: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its phase between rental and release.
    pub phase: MachinePhase,
    /// When it was rented, first listed, or first sent a heartbeat; once listed as running, since
    /// then.
    pub known_since: Instant,
    /// Place of the newest message that was taken in.
    pub newest_message: MessageOrder,
    /// Highest fencing token that its heartbeats say it has seen.
    pub seen_token: u64,
    /// Number of fencing tokens issued for it in this term: the low bits of the last.
    pub issued_tokens: u64,
    /// When its last heartbeat came.
    pub last_heartbeat: Option<Instant>,
    /// When a heartbeat of it was last answered: its lease runs from there at the latest.
    pub last_heartbeat_response: Option<Instant>,
    /// When the cloud reclaims it, by a spot notice.
    pub reclaim_at: Option<Instant>,
    /// The tasks that are or may be on it.
    pub slots: BTreeMap<TaskId, Slot>,
    /// Images in its cache and their sizes in GB, most recently used last.
    pub images: Vec<(String, f64)>,
    /// Since when ended tasks wait to be acknowledged.
    pub unacknowledged_since: Option<Instant>,
    /// A batch of commands is on its way.
    pub command_in_flight: bool,
    /// No commands are sent before this time.
    pub no_command_before: Option<Instant>,
    /// Since when commands to it have failed without a response between.
    pub commands_unanswered_since: Option<Instant>,
    /// When it last responded to a batch of commands.
    pub last_command_answer: Option<Instant>,
    /// An empty batch of commands is due, to learn what is on it or to fence it.
    pub needs_probe: bool,
    /// Jobs that failed on it since its last success.
    pub failed_jobs: BTreeSet<JobId>,
    /// Failures since its last success.
    pub failures: u32,
    /// Since when it is cordoned, that is, takes no more tasks.
    pub cordoned_since: Option<Instant>,
    /// It refused a start for want of room; no task is placed on it before this time.
    pub no_placement_before: Option<Instant>,
    /// Since when no task is on it.
    pub idle_since: Option<Instant>,
}

impl Machine {
    pub(in crate::core) fn new(id: MachineId, now: Instant) -> Self {
        Self {
            id,
            addr: String::new(),
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
            command_in_flight: false,
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

    /// Its entry of the write-ahead log.
    pub(in crate::core) fn log_entry(&self) -> LogEntry {
        LogEntry::Machine(
            self.id.clone(),
            self.addr.clone(),
            self.machine_type.clone(),
            self.zone.clone(),
            self.spot,
        )
    }

    /// Whether commands to its worker may be due: a probe, a start, a stop or an
    /// acknowledgement.
    pub(in crate::core) fn may_have_due_command(&self) -> bool {
        self.needs_probe
            || self
                .slots
                .values()
                .any(|s| s.stop_grace.is_some() || matches!(s.state, SlotState::Placed | SlotState::Ended(_)))
    }

    /// Whether an incarnation of its worker has ended by lease expiry, see [`crate::core::ClusterModel::expire_leases`].
    pub fn incarnation_ended(&self, incarnation: u64) -> bool {
        self.newest_message == MessageOrder::end_of(incarnation)
    }

    /// Whether the worker has seen a token of this term, and so refuses earlier leaders.
    pub fn is_fenced_by(&self, term: u64) -> bool {
        token::term_of(self.seen_token) == term
    }

    /// Whether it has the image or is fetching it.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Marks an image as the most recently used one, evicting the oldest ones that no
    /// longer fit into the cache.
    pub(in crate::core) fn note_image_use(&mut self, image: &str, gb: f64, cache_gb: f64) {
        if let Some(p) = self.images.iter().position(|(i, _)| i == image) {
            let it = self.images.remove(p);
            self.images.push(it);
            return;
        }
        self.images.push((image.to_owned(), gb));
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

    /// Whether no task on it takes resources; ended ones take none.
    pub fn is_empty(&self) -> bool {
        !self.slots.values().any(Slot::takes_resources)
    }
}

impl Machine {
    /// Acknowledgements of the tasks that have ended: of done ones only once that is
    /// stored, since the worker forgets them.
    pub(in crate::core) fn acknowledgements(
        &self,
        log: &WriteAheadLog,
        jobs: &BTreeMap<JobId, Job>,
    ) -> Vec<Command> {
        let kept = |task: &TaskId, slot: &Slot| match slot.state {
            SlotState::Ended(ExitReason::Done) => {
                log.is_stored(slot.outcome_log_mark) || !jobs.contains_key(&task.job)
            }
            SlotState::Ended(_) => true,
            _ => false,
        };
        self.slots
            .iter()
            .filter(|(task, slot)| kept(task, slot))
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

    /// Issues a token above all issued for this machine before.
    pub(in crate::core) fn issue_token(&mut self, term: u64) -> u64 {
        self.issued_tokens += 1;
        token::first_of_term(term) + self.issued_tokens
    }
}
