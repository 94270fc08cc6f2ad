//! A worker that follows the protocol, without any I/O.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bitternfold::wire::*;

/// How long a worker waits for the response to a heartbeat; a later response is ignored.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// A worker's record of one of its tasks.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTask {
    pub attempt: u64,
    pub state: TaskState,
    /// Set once the task has exited.
    pub exit_reason: Option<ExitReason>,
}

impl WorkerTask {
    /// Whether the task uses resources of the machine: it hasn't ended.
    pub fn is_live(&self) -> bool {
        self.state != TaskState::Ended
    }

    /// Ends the task for this reason.
    pub fn exit(&mut self, reason: ExitReason) {
        self.state = TaskState::Ended;
        self.exit_reason = Some(reason);
    }
}

/// A worker that follows the protocol.
pub struct Worker {
    pub id: MachineId,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    pub token: u64,
    pub tasks: BTreeMap<TaskId, WorkerTask>,
    pub alive: bool,
    /// Fault: its heartbeats arrive, but responses and commands don't reach it.
    pub unreachable: bool,
    /// Fault: responses to its heartbeats reach it, but command requests don't.
    pub commands_lost: bool,
    /// When the last heartbeat that got a response was sent; the lease is counted from then.
    pub lease_renewed: Instant,
}

impl Worker {
    /// A worker without tasks whose first incarnation and lease begin at `now`.
    pub fn new(id: &str, spot: bool, now: Instant) -> Self {
        Self {
            id: id.into(),
            spot,
            incarnation: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            alive: true,
            unreachable: false,
            commands_lost: false,
            lease_renewed: now,
        }
    }

    /// Whether command requests reach the worker.
    pub fn receives_commands(&self) -> bool {
        self.alive && !self.unreachable && !self.commands_lost
    }

    /// If the lease has expired, removes all tasks and begins the next incarnation.
    pub fn expire_lease(&mut self, now: Instant, lease: Duration) {
        if now.saturating_duration_since(self.lease_renewed) > lease {
            self.tasks.clear();
            self.begin_incarnation();
            self.lease_renewed = now;
        }
    }

    /// Begins the next incarnation, whose heartbeats are numbered from 1 again.
    pub fn begin_incarnation(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
    }

    /// The worker's next heartbeat.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, task)| ReportedTask {
            task: *id,
            attempt: task.attempt,
            state: task.state,
            exit_reason: task.exit_reason,
            saved: None,
        });
        Heartbeat {
            machine: self.id.clone(),
            address: "127.0.0.1:9".into(),
            machine_type: "small".into(),
            zone: "north".into(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            reclaim_in_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Executes a batch of commands, unless it has an older fencing token than the worker
    /// has seen or is for another incarnation. Returns the tasks that it started.
    pub fn execute(&mut self, batch: &CommandBatch) -> Vec<TaskId> {
        if batch.token < self.token || batch.incarnation != self.incarnation {
            return Vec::new();
        }
        self.token = batch.token;
        let mut started = Vec::new();
        for command in &batch.commands {
            match *command {
                Command::Start { task, attempt } => {
                    if self.start(task, attempt) {
                        started.push(task);
                    }
                }
                Command::Stop { task, attempt, .. } => self.stop(task, attempt),
                Command::Acknowledge { task, attempt } => self.remove_ended(task, attempt),
            }
        }
        started
    }

    /// Starts an attempt and returns true, unless another attempt of the task is live or this
    /// one has been started already.
    fn start(&mut self, task: TaskId, attempt: u64) -> bool {
        let may_start = match self.tasks.get(&task) {
            Some(known) => known.attempt != attempt && !known.is_live(),
            None => true,
        };
        if may_start {
            let fetching = WorkerTask {
                attempt,
                state: TaskState::Fetching,
                exit_reason: None,
            };
            self.tasks.insert(task, fetching);
        }
        may_start
    }

    fn stop(&mut self, task: TaskId, attempt: u64) {
        if let Some(known) = self.tasks.get_mut(&task) {
            if known.attempt == attempt && known.is_live() {
                known.exit(ExitReason::Stopped);
            }
        }
    }

    fn remove_ended(&mut self, task: TaskId, attempt: u64) {
        let known = self.tasks.get(&task);
        if known.is_some_and(|known| known.attempt == attempt && !known.is_live()) {
            self.tasks.remove(&task);
        }
    }
}
