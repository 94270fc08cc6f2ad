//! The workers' command endpoint, and the execution of commands by a worker.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::wire::*;
use parking_lot::Mutex;
use serde_json::json;
use tokio::time::sleep;
use warp::Filter;

use super::super::{json_response, serve, JsonResponse};
use super::machine::{next_heartbeat, Machine, Task};
use super::{Cloud, TaskEventKind};

/// Increments a counter while it exists.
struct CounterGuard<'a>(&'a AtomicUsize);

impl<'a> CounterGuard<'a> {
    pub(super) fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Cloud {
    /// Boots a machine and starts its worker; returns the machine's id.
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
        let (cloud, own_machine) = (self.clone(), machine.clone());
        let with_machine = warp::any().map(move || (cloud.clone(), own_machine.clone()));
        let commands = warp::post()
            .and(warp::path!("commands"))
            .and(warp::body::json())
            .and(with_machine)
            .then(
                |batch: CommandBatch, (cloud, machine): (Arc<Cloud>, Arc<Mutex<Machine>>)| async move {
                    if cloud.is_hanging(&machine) {
                        let _guard = CounterGuard::new(&cloud.hanging_commands);
                        sleep(Duration::from_secs(3600)).await;
                    }
                    {
                        let mut concurrent = cloud.concurrent_commands.lock();
                        concurrent.current += 1;
                        concurrent.max = concurrent.max.max(concurrent.current);
                    }
                    sleep(Duration::from_millis(5)).await;
                    let response = cloud.execute_batch(&machine, &batch);
                    cloud.concurrent_commands.lock().current -= 1;
                    json_response(response)
                },
            );
        let addr = serve(commands).await;
        machine.lock().addr = addr.to_string();
        self.machines.lock().push(machine.clone());
        tokio::spawn(self.clone().send_heartbeats(machine));
        id
    }

    /// Executes a batch of commands, unless it has an older fencing token than the machine
    /// has seen or is for another incarnation. The response is a heartbeat either way (200 or
    /// 409), but 500 without one if the machine is released or `reject_commands` is set.
    pub(super) fn execute_batch(&self, machine: &Mutex<Machine>, batch: &CommandBatch) -> JsonResponse {
        let mut machine = machine.lock();
        if machine.released || self.reject_commands.load(Ordering::Relaxed) {
            return (500, json!({}));
        }
        let is_accepted = batch.token >= machine.token && batch.incarnation == machine.incarnation;
        if is_accepted {
            machine.token = batch.token;
            self.executed_batches
                .lock()
                .push((machine.id.clone(), batch.clone()));
            for command in &batch.commands {
                self.execute(&mut machine, *command);
            }
        }
        (
            if is_accepted { 200 } else { 409 },
            serde_json::to_value(next_heartbeat(&mut machine)).expect("json"),
        )
    }

    /// Executes a command as a worker does. A start of a task that the machine already has
    /// changes nothing.
    pub(super) fn execute(&self, machine: &mut Machine, command: Command) {
        match command {
            Command::Start { task, attempt } => {
                if machine.tasks.contains_key(&task) {
                    return;
                }
                *self.starts.lock() += 1;
                self.record_event(machine, task, TaskEventKind::Started);
                let is_slow = self.slow_jobs.lock().contains(&task.job);
                let duration = if is_slow {
                    Duration::from_secs(7200)
                } else {
                    self.task_duration
                };
                let completes_at = Instant::now() + duration;
                machine.tasks.insert(
                    task,
                    Task {
                        attempt,
                        state: TaskState::Running,
                        exit_reason: None,
                        completes_at,
                    },
                );
                let own_id = machine.id.clone();
                let runs_twice = self.machines.lock().iter().any(|other| {
                    // This machine is locked already, so `lock` would deadlock; machines that
                    // are locked elsewhere are skipped.
                    other.try_lock().is_some_and(|other| {
                        other.id != own_id
                            && !other.released
                            && other
                                .tasks
                                .get(&task)
                                .is_some_and(|t| t.state == TaskState::Running)
                    })
                });
                if runs_twice {
                    self.tasks_run_twice.lock().push(task);
                }
            }
            Command::Stop { task, attempt, .. } => {
                let is_live = |known: &&mut Task| known.attempt == attempt && known.state != TaskState::Ended;
                if let Some(known) = machine.tasks.get_mut(&task).filter(is_live) {
                    (known.state, known.exit_reason) = (TaskState::Ended, Some(ExitReason::Stopped));
                    self.record_event(machine, task, TaskEventKind::Ended { done: false });
                }
            }
            Command::Acknowledge { task, attempt } => {
                if machine
                    .tasks
                    .get(&task)
                    .is_some_and(|known| known.attempt == attempt)
                {
                    machine.tasks.remove(&task);
                }
            }
        }
    }
}
