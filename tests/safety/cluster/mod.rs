//! The generated cluster: what may happen to it, and what must hold after each step.

mod delivery;
mod invariants;
mod message;
mod operation;
mod step;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::storage::record::{FinalRecord, JobRecord};
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::support::*;
use crate::worker::Worker;
use message::Message;
pub use operation::Operation;

/// The lease of the settings.
pub const LEASE: Duration = Duration::from_secs(20);

/// A cluster under generated faults: one leader after the other, its state service, its
/// workers, and the messages between them.
pub struct SimulatedCluster {
    pub now: Instant,
    pub term: u64,
    /// Records of open jobs, as stored.
    pub stored_jobs: BTreeMap<JobId, JobRecord>,
    /// Records of jobs that have ended, as stored.
    pub final_records: BTreeMap<JobId, FinalRecord>,
    /// Segments of the write-ahead log, as stored.
    pub wal: BTreeMap<u64, serde_json::Value>,
    /// The state machine of the current leader.
    pub model: ClusterModel,
    /// That of the leader before, which doesn't know that it is deposed.
    pub deposed: Option<ClusterModel>,
    /// Copies of messages that may still arrive.
    pub kept_copies: Vec<Message>,
    pub workers: Vec<Worker>,
    pub in_transit: Vec<Message>,
    /// Machines whose heartbeats arrive nowhere.
    pub heartbeats_lost: BTreeSet<MachineId>,
    pub next_job: u32,
    pub submitted: Vec<JobId>,
    /// The jobs that each job waits for.
    pub dependencies: BTreeMap<JobId, Vec<JobId>>,
    /// The latest state of each job that was confirmed to a client.
    pub confirmed: BTreeMap<JobId, JobState>,
}

impl SimulatedCluster {
    pub fn new() -> Self {
        let now = start();
        let workers = (0..4)
            .map(|i| Worker::new(&format!("i-{i}"), i % 2 == 0, now))
            .collect();
        Self {
            now,
            term: 1,
            stored_jobs: BTreeMap::new(),
            final_records: BTreeMap::new(),
            wal: BTreeMap::new(),
            model: model(1),
            deposed: None,
            kept_copies: Vec::new(),
            workers,
            in_transit: Vec::new(),
            heartbeats_lost: BTreeSet::new(),
            next_job: 0,
            submitted: Vec::new(),
            dependencies: BTreeMap::new(),
            confirmed: BTreeMap::new(),
        }
    }

    pub fn worker(&mut self, id: &MachineId) -> Option<&mut Worker> {
        self.workers.iter_mut().find(|worker| worker.id == *id)
    }

    /// Time passes; workers whose lease expires kill and forget all their tasks.
    pub fn pass_time(&mut self, time: Duration) {
        self.now += time;
        for worker in &mut self.workers {
            worker.expire_lease(self.now, LEASE);
        }
    }

    /// One round of the leader.
    pub fn play_round(&mut self) {
        self.model.expire_leases(self.now);
        self.model.plan(self.now);
        let term = self.term;
        for write in self.model.take_due_writes(self.now) {
            self.in_transit.push(Message::Write { write, term });
        }
        for due in self.model.take_due_commands(self.now, 2) {
            let (to, commands) = (due.machine, due.batch);
            for command in &commands.commands {
                if let Command::Start { task, .. } = command {
                    self.check_start(*task, &to);
                }
            }
            self.in_transit.push(Message::Command { to, commands, term });
        }
    }

    /// Carries out a write of the current leader.
    pub fn store(&mut self, write: &PendingWrite) {
        match write {
            PendingWrite::Append(append) => {
                for (number, segment) in &append.segments {
                    match segment {
                        Some(segment) => {
                            let bytes = segment.to_string().len();
                            assert!(bytes <= 4096, "a segment of {bytes} bytes");
                            self.wal.insert(*number, segment.clone());
                        }
                        None => drop(self.wal.remove(number)),
                    }
                }
            }
            PendingWrite::Final { id, record, .. } => {
                self.stored_jobs.remove(id);
                if let Some(old) = self.final_records.insert(*id, record.clone()) {
                    assert_eq!(old.state, record.state, "a final state changed");
                }
            }
            PendingWrite::Ratios(_) => {}
        }
    }
}
