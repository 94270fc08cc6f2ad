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
pub use operation::Op;

/// The lease of the settings.
pub const LEASE: Duration = Duration::from_secs(20);

/// A cluster under generated troubles: one leader after the other, its state
/// service, its workers, and the messages between them.
pub struct World {
    pub now: Instant,
    pub term: u64,
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub finals: BTreeMap<JobId, FinalRecord>,
    pub wal: BTreeMap<u64, serde_json::Value>,
    pub model: ClusterModel,
    /// The leader before, which doesn't know that it is over.
    pub old: Option<ClusterModel>,
    pub copies: Vec<Message>,
    pub workers: Vec<Worker>,
    pub mail: Vec<Message>,
    pub mute: BTreeSet<MachineId>,
    pub next_job: u32,
    pub submitted: Vec<JobId>,
    /// The jobs that each job waits for.
    pub awaits: BTreeMap<JobId, Vec<JobId>>,
    pub told: BTreeMap<JobId, JobState>,
}

impl World {
    pub fn new() -> Self {
        let now = start();
        let workers = (0..4)
            .map(|i| Worker::new(&format!("i-{i}"), i % 2 == 0, now))
            .collect();
        Self {
            now,
            term: 1,
            jobs: BTreeMap::new(),
            finals: BTreeMap::new(),
            wal: BTreeMap::new(),
            model: model(1),
            old: None,
            copies: Vec::new(),
            workers,
            mail: Vec::new(),
            mute: BTreeSet::new(),
            next_job: 0,
            submitted: Vec::new(),
            awaits: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    pub fn worker(&mut self, id: &MachineId) -> Option<&mut Worker> {
        self.workers.iter_mut().find(|w| w.id == *id)
    }

    /// Time passes; workers whose lease runs out kill and forget all.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        for w in &mut self.workers {
            w.end_lease(self.now, LEASE);
        }
    }

    /// One round of the leader.
    pub fn round(&mut self) {
        self.model.expire_leases(self.now);
        self.model.plan(self.now);
        let term = self.term;
        for write in self.model.take_writes(self.now) {
            self.mail.push(Message::PendingWrite { write, term });
        }
        for due in self.model.take_due_commands(self.now, 2) {
            let (to, commands) = (due.machine, due.batch);
            for c in &commands.commands {
                if let Command::Start { task, .. } = c {
                    assert!(
                        !matches!(self.told.get(&task.job), Some(JobState::Cancelled)),
                        "{task} of a cancelled job is started"
                    );
                    let named = self.wal.values().any(|v| v.to_string().contains(&*to));
                    assert!(named, "{task} is started on {to}, which the log doesn't name");
                    self.all_needed_are_done(*task);
                }
            }
            self.mail.push(Message::Command { to, commands, term });
        }
    }

    pub fn store(&mut self, w: &PendingWrite) {
        match w {
            PendingWrite::WriteAheadLog(a) => {
                for (n, v) in &a.segments {
                    match v {
                        Some(v) => {
                            let bytes = v.to_string().len();
                            assert!(bytes <= 4096, "a segment of {bytes} bytes");
                            self.wal.insert(*n, v.clone());
                        }
                        None => drop(self.wal.remove(n)),
                    }
                }
            }
            PendingWrite::Final { id, record, .. } => {
                self.jobs.remove(id);
                if let Some(old) = self.finals.insert(*id, record.clone()) {
                    assert_eq!(old.state, record.state, "a final state changed");
                }
            }
            PendingWrite::Ratios(_) => {}
        }
    }

    /// A new leader reads what is stored; the old one's mail stays on its way.
    pub fn elect(&mut self) {
        self.term += 1;
        let mut m = model(self.term);
        for r in self.jobs.values() {
            m.add_job(r.clone(), self.now);
        }
        for (n, v) in &self.wal {
            assert!(
                m.load_log_segment(*n, v.clone()),
                "a segment is read as it was written"
            );
        }
        m.replay_log(self.now);
        self.old = Some(std::mem::replace(&mut self.model, m));
    }

    /// A user calls a job off: its tasks are stopped at once, its user is told
    /// once that is stored.
    pub fn cancel(&mut self, id: JobId) {
        self.model.cancel(id, self.now);
        let term = self.term;
        self.mail.push(Message::Cancel { id, term });
    }
}
