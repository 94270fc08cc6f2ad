//! A simulated cluster: the operations that change it and the invariants that must hold.

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

/// Lifetime of a worker's lease, as in the settings of the tests.
pub const LEASE: Duration = Duration::from_secs(20);

/// A cluster under generated faults: the current leader, the state service, the workers and
/// the messages between them.
pub struct SimulatedCluster {
    pub now: Instant,
    pub term: u64,
    /// Records of open jobs, as stored.
    pub stored_jobs: BTreeMap<JobId, JobRecord>,
    /// Records of jobs that have ended, as stored.
    pub final_records: BTreeMap<JobId, FinalRecord>,
    /// Segments of the write-ahead log, as stored.
    pub wal: BTreeMap<u64, serde_json::Value>,
    /// The cluster as the current leader knows it.
    pub model: ClusterModel,
    /// The model of the previous leader, which doesn't know that it is deposed.
    pub deposed: Option<ClusterModel>,
    /// Copies of messages that may still arrive.
    pub kept_copies: Vec<Message>,
    pub workers: Vec<Worker>,
    /// Tasks of which some attempt was done. Workers keep the results elsewhere, so that a task
    /// that is started again ends as done at once.
    pub results: BTreeSet<TaskId>,
    pub in_flight: Vec<Message>,
    /// Machines whose heartbeats get lost.
    pub heartbeats_lost: BTreeSet<MachineId>,
    pub next_job: u32,
    pub submitted: Vec<JobId>,
    /// The jobs that each job depends on.
    pub dependencies: BTreeMap<JobId, Vec<JobId>>,
    /// The latest state of each job that was confirmed to a user.
    pub confirmed_states: BTreeMap<JobId, JobState>,
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
            results: BTreeSet::new(),
            in_flight: Vec::new(),
            heartbeats_lost: BTreeSet::new(),
            next_job: 0,
            submitted: Vec::new(),
            dependencies: BTreeMap::new(),
            confirmed_states: BTreeMap::new(),
        }
    }

    pub fn worker(&mut self, id: &MachineId) -> Option<&mut Worker> {
        self.workers.iter_mut().find(|worker| worker.id == *id)
    }

    /// Advances the time. Workers whose lease expires kill and forget all their tasks.
    pub fn pass_time(&mut self, time: Duration) {
        self.now += time;
        for worker in &mut self.workers {
            worker.expire_lease(self.now, LEASE);
        }
    }

    /// Runs one scheduling round of the leader and sends the writes and commands that are due.
    pub fn run_round(&mut self) {
        self.model.expire_leases(self.now);
        self.model.run_scheduling_round(self.now);
        let term = self.term;
        for write in self.model.take_due_writes(self.now) {
            self.in_flight.push(Message::Write { write, term });
        }
        for due in self.model.take_due_batches(self.now, 2) {
            let (to, commands) = (due.machine, due.batch);
            for command in &commands.commands {
                if let Command::Start { task, .. } = command {
                    self.check_start(*task, &to);
                }
            }
            self.in_flight.push(Message::Command { to, commands, term });
        }
    }

    /// Stores a write of the current leader in the state service.
    pub fn store(&mut self, write: &PendingWrite) {
        match write {
            PendingWrite::Append(append) => {
                for (number, segment) in &append.segments {
                    match segment {
                        Some(segment) => {
                            let bytes = segment.to_string().len();
                            assert!(
                                bytes <= 4096,
                                "a segment has {bytes} bytes, more than a value may have"
                            );
                            self.wal.insert(*number, segment.clone());
                        }
                        None => drop(self.wal.remove(number)),
                    }
                }
            }
            PendingWrite::Final { id, record, .. } => {
                self.stored_jobs.remove(id);
                if let Some(previous) = self.final_records.insert(*id, record.clone()) {
                    assert_eq!(
                        previous.state, record.state,
                        "the stored final state of {id} changed"
                    );
                }
            }
            PendingWrite::Ratios(_) => {}
        }
    }
}
