//! Commands to the worker of a machine, and what it does with each.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::wire::*;
use parking_lot::Mutex;
use serde_json::json;
use tokio::time::sleep;
use warp::Filter;

use super::super::{json_response, serve, Json};
use super::machine::{next_heartbeat, Machine, Task};
use super::{Cloud, TaskChange};

/// Increments a counter for as long as it lives.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    pub(super) fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Cloud {
    /// Boots a machine; its name.
    pub async fn boot(self: &Arc<Self>, zone: &str, spot: bool) -> String {
        let n = self.machines.lock().len();
        let id = format!("i-{n:06}");
        let machine = Arc::new(Mutex::new(Machine {
            id: id.as_str().into(),
            addr: String::new(),
            zone: zone.to_owned(),
            spot,
            incarnation: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            lease_renewed: Instant::now(),
            released: false,
        }));
        let (c, m) = (self.clone(), machine.clone());
        let with = warp::any().map(move || (c.clone(), m.clone()));
        let commands = warp::post()
            .and(warp::path!("commands"))
            .and(warp::body::json())
            .and(with)
            .then(
                |b: CommandBatch, (c, m): (Arc<Cloud>, Arc<Mutex<Machine>>)| async move {
                    if c.hangs(&m) {
                        let _counted = Counted::new(&c.hanging_commands);
                        sleep(Duration::from_secs(3600)).await;
                    }
                    {
                        let mut concurrent = c.concurrent_commands.lock();
                        concurrent.now += 1;
                        concurrent.max = concurrent.max.max(concurrent.now);
                    }
                    sleep(Duration::from_millis(5)).await;
                    let response = c.command(&m, &b);
                    c.concurrent_commands.lock().now -= 1;
                    json_response(response)
                },
            );
        let addr = serve(commands).await;
        machine.lock().addr = addr.to_string();
        self.machines.lock().push(machine.clone());
        tokio::spawn(self.clone().heartbeat(machine));
        id
    }

    /// Carries out a batch, unless it is of an earlier leader or for another incarnation.
    pub(super) fn command(&self, m: &Mutex<Machine>, b: &CommandBatch) -> Json {
        let mut m = m.lock();
        if m.released || self.no_commands.load(Ordering::Relaxed) {
            return (500, json!({}));
        }
        let ok = b.token >= m.token && b.incarnation == m.incarnation;
        if ok {
            m.token = b.token;
            self.carried_out.lock().push((m.id.clone(), b.clone()));
            for c in &b.commands {
                self.execute(&mut m, *c);
            }
        }
        (
            if ok { 200 } else { 409 },
            serde_json::to_value(next_heartbeat(&mut m)).expect("json"),
        )
    }

    /// Executes a command, as a worker does; starts of known tasks change nothing.
    pub(super) fn execute(&self, m: &mut Machine, c: Command) {
        match c {
            Command::Start { task, attempt } => {
                if m.tasks.contains_key(&task) {
                    return;
                }
                *self.starts.lock() += 1;
                self.note(m, task, TaskChange::Started);
                let slow = self.slow.lock().contains(&task.job);
                let run = if slow { Duration::from_secs(7200) } else { self.run };
                let until = Instant::now() + run;
                m.tasks.insert(
                    task,
                    Task {
                        attempt,
                        state: TaskState::Running,
                        exit_reason: None,
                        until,
                    },
                );
                let here = m.id.clone();
                let twice = self.machines.lock().iter().any(|o| {
                    // Its own lock is held, the others' are tried in turn.
                    o.try_lock().is_some_and(|o| {
                        o.id != here
                            && !o.released
                            && o.tasks.get(&task).is_some_and(|t| t.state == TaskState::Running)
                    })
                });
                if twice {
                    self.doubles.lock().push(task);
                }
            }
            Command::Stop { task, attempt, .. } => {
                let live = |t: &&mut Task| t.attempt == attempt && t.state != TaskState::Ended;
                if let Some(t) = m.tasks.get_mut(&task).filter(live) {
                    (t.state, t.exit_reason) = (TaskState::Ended, Some(ExitReason::Stopped));
                    self.note(m, task, TaskChange::Ended { done: false });
                }
            }
            Command::Acknowledge { task, attempt } => {
                if m.tasks.get(&task).is_some_and(|t| t.attempt == attempt) {
                    m.tasks.remove(&task);
                }
            }
        }
    }
}
