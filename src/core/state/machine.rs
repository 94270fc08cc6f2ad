//! A rented machine and what its worker has said.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::core::state::job::Job;
use crate::core::state::resources::Resources;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::state::token;
use crate::core::storage::wal::{LogEntry, WriteAheadLog};
use crate::wire::{Command, ExitReason, JobId, MachineId, TaskId};

/// How far a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented, its worker has not spoken yet.
    Booting,
    /// Its worker has spoken.
    Up,
    /// Its release has been asked for; it holds what it holds until confirmed.
    Releasing,
}

/// A rented machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Where it takes commands.
    pub addr: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// How far it is.
    pub phase: MachinePhase,
    /// Known since (rental or first word of it).
    pub since: Instant,
    /// Session and sequence of the newest message.
    pub newest_message: (u64, u64),
    /// Highest token it said it has seen.
    pub seen_token: u64,
    /// Last token given out for it, below the term's bits.
    pub token_seq: u64,
    /// Last message of the worker.
    pub last_heartbeat: Option<Instant>,
    /// Its last report was answered then: its lease runs from there at the latest.
    pub last_response: Option<Instant>,
    /// When the cloud takes it.
    pub reclaim_at: Option<Instant>,
    /// What is or may be on it.
    pub slots: BTreeMap<TaskId, Slot>,
    /// Images, most recently used last.
    pub images: Vec<(String, f64)>,
    /// Outcomes wait to be forgotten since.
    pub unacknowledged_since: Option<Instant>,
    /// A command is under way.
    pub command_in_flight: bool,
    /// Not to be sent commands before.
    pub no_command_before: Option<Instant>,
    /// Commands to it have gone unanswered since.
    pub commands_unanswered_since: Option<Instant>,
    /// When it last answered a command.
    pub last_command_answer: Option<Instant>,
    /// Something is to be settled by a command though no order is due.
    pub needs_probe: bool,
    /// Jobs that failed on it since its last success.
    pub failed_jobs: BTreeSet<JobId>,
    /// Failures since its last success.
    pub failures: u32,
    /// Takes no more tasks, since then.
    pub cordoned_since: Option<Instant>,
    /// Refused a start for want of room; not to be placed on before.
    pub full_until: Option<Instant>,
    /// Empty since.
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
            since: now,
            newest_message: (0, 0),
            seen_token: 0,
            token_seq: 0,
            last_heartbeat: None,
            last_response: None,
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
            full_until: None,
            idle_since: Some(now),
        }
    }

    /// What the log is to say of it.
    pub(in crate::core) fn entry(&self) -> LogEntry {
        LogEntry::Machine(
            self.id.clone(),
            self.addr.clone(),
            self.machine_type.clone(),
            self.zone.clone(),
            self.spot,
        )
    }

    /// Something is to be said to its worker.
    pub(in crate::core) fn wants_command(&self) -> bool {
        self.needs_probe
            || self
                .slots
                .values()
                .any(|s| s.stop.is_some() || matches!(s.state, SlotState::Placed | SlotState::Ended(_)))
    }

    /// Whether a session is over by its lease, see [`crate::core::ClusterModel::expire_leases`].
    pub fn incarnation_ended(&self, incarnation: u64) -> bool {
        self.newest_message == (incarnation, u64::MAX)
    }

    /// Whether the worker obeys this term.
    pub fn fenced(&self, term: u64) -> bool {
        token::term_of(self.seen_token) == term
    }

    /// Whether it has the image or is fetching it.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    pub(in crate::core) fn touch_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
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

    /// What its tasks take, or may take, of it.
    pub fn used(&self) -> Resources {
        let slots = self.slots.values().filter(|slot| slot.takes_room());
        let specs = slots.filter_map(|slot| slot.spec.as_ref());
        specs.map(|spec| Resources::of_task(spec)).sum()
    }

    /// Nothing on it that takes room.
    pub fn empty(&self) -> bool {
        !self.slots.values().any(Slot::takes_room)
    }
}

impl Machine {
    /// Orders to forget what has ended and is stored.
    pub(in crate::core) fn acknowledgements(
        &self,
        log: &WriteAheadLog,
        jobs: &BTreeMap<JobId, Job>,
    ) -> Vec<Command> {
        let kept = |task: &TaskId, slot: &Slot| match slot.state {
            SlotState::Ended(ExitReason::Done) => {
                log.is_stored(slot.outcome) || !jobs.contains_key(&task.job)
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

    pub(in crate::core) fn peek_token(&self, term: u64) -> u64 {
        token::first_of_term(term) + self.token_seq + 1
    }

    /// A token above all given out for this machine before.
    pub(in crate::core) fn fresh_token(&mut self, term: u64) -> u64 {
        self.token_seq += 1;
        token::first_of_term(term) + self.token_seq
    }
}
