//! A worker, as the protocol describes it, without any I/O.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bitternfold::wire::*;

/// How long a worker waits for an answer.
pub const PATIENCE: Duration = Duration::from_secs(4);

/// A worker, as the protocol describes it.
pub struct Worker {
    pub id: MachineId,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    pub tasks: BTreeMap<TaskId, (u64, TaskState, Option<ExitReason>)>,
    pub alive: bool,
    /// Its reports arrive, but answers and commands don't reach it.
    pub unreachable: bool,
    /// Answers to its reports reach it, but direct commands don't.
    pub hears_no_commands: bool,
    /// Its last answered report was sent then; its lease runs from there.
    pub renewed: Instant,
}

impl Worker {
    /// A worker whose session begins now.
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
            hears_no_commands: false,
            renewed: now,
        }
    }

    /// Kills and forgets all if the lease has run out.
    pub fn end_lease(&mut self, now: Instant, lease: Duration) {
        if now.saturating_duration_since(self.renewed) > lease {
            self.tasks.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.renewed = now;
        }
    }

    /// Its next report.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.id.clone(),
            addr: "127.0.0.1:9".into(),
            machine_type: "small".into(),
            zone: "north".into(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            reclaim_in_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|(t, (a, s, w))| ReportedTask {
                    task: *t,
                    attempt: *a,
                    state: *s,
                    exit_reason: *w,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Runs a command; the tasks that it started.
    pub fn run(&mut self, c: &CommandBatch) -> Vec<TaskId> {
        if c.token < self.token || c.incarnation != self.incarnation {
            return Vec::new();
        }
        self.token = c.token;
        let mut started = Vec::new();
        for c in &c.commands {
            match *c {
                Command::Start { task, attempt } => match self.tasks.get(&task) {
                    Some((a, _, _)) if *a == attempt => {}
                    Some((_, TaskState::Exited, _)) | None => {
                        self.tasks.insert(task, (attempt, TaskState::Fetching, None));
                        started.push(task);
                    }
                    Some(_) => {}
                },
                Command::Stop { task, attempt, .. } => {
                    if let Some(t) = self.tasks.get_mut(&task) {
                        if t.0 == attempt && t.1 != TaskState::Exited {
                            *t = (attempt, TaskState::Exited, Some(ExitReason::Stopped));
                        }
                    }
                }
                Command::Acknowledge { task, attempt } => {
                    if self
                        .tasks
                        .get(&task)
                        .is_some_and(|t| t.0 == attempt && t.1 == TaskState::Exited)
                    {
                        self.tasks.remove(&task);
                    }
                }
            }
        }
        started
    }
}
