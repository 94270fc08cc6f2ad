//! The heartbeats of a machine's worker, the completion of its tasks and the expiry of its
//! lease.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::http::HttpClient;
use bitternfold::wire::*;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::machine::{next_heartbeat, Machine};
use super::{Cloud, TaskEventKind};

/// A worker ignores a response to a heartbeat that it handles later than this after sending.
/// As it waits only 2 s for a response, this happens only if the test process is held up. Also
/// the timeout of late copies.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

impl Cloud {
    /// Removes all tasks from a machine and records the end of those that haven't ended.
    pub(super) fn end_all_tasks(&self, machine: &mut Machine) {
        for (id, task) in std::mem::take(&mut machine.tasks) {
            if task.state != TaskState::Ended {
                self.record_event(machine, id, TaskEventKind::Ended { done: false });
            }
        }
    }

    /// Begins the next incarnation, without tasks, if the lease has expired, and ends the
    /// tasks that have completed.
    pub(super) fn expire_lease_and_tasks(&self, machine: &mut Machine) {
        let now = Instant::now();
        let lease = *self.worker_lease.lock();
        if lease.is_some_and(|lease| now > machine.lease_renewed + lease) {
            self.end_all_tasks(machine);
            machine.incarnation += 1;
            machine.lease_renewed = now;
        }
        let completed: Vec<TaskId> = machine
            .tasks
            .iter()
            .filter(|(_, task)| task.state == TaskState::Running && task.completes_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in completed {
            let task = machine.tasks.get_mut(&id).expect("just seen");
            (task.state, task.exit_reason) = (TaskState::Ended, Some(ExitReason::Done));
            self.record_event(machine, id, TaskEventKind::Ended { done: true });
        }
    }

    /// Sends a copy of a heartbeat after `late_copy_delay`, if that is set, and ignores the
    /// response.
    pub(super) fn send_late_copy(&self, body: &[u8], to: &str) {
        let Some(delay) = *self.late_copy_delay.lock() else {
            return;
        };
        let (body, to) = (body.to_vec(), to.to_owned());
        tokio::spawn(async move {
            sleep(delay).await;
            let method = hyper::Method::POST;
            let client = HttpClient::default();
            let _ = client
                .send_request(method, &to, "/v1/report", Some(body), RESPONSE_TIMEOUT)
                .await;
        });
    }

    /// The loop of a worker: sends a heartbeat, with a pause of 150 ms before each, always to
    /// the same controller until that redirects it; after a failure, to the next one.
    pub(super) async fn send_heartbeats(self: Arc<Self>, machine: Arc<Mutex<Machine>>) {
        let client = HttpClient::default();
        let mut controller = 0;
        loop {
            sleep(Duration::from_millis(150)).await;
            self.expire_lease_and_tasks(&mut machine.lock());
            if self.suppress_heartbeats.load(Ordering::Relaxed) || self.is_hanging(&machine) {
                continue;
            }
            let (sent_at, incarnation) = (Instant::now(), machine.lock().incarnation);
            let body = {
                let mut machine = machine.lock();
                if machine.released {
                    return;
                }
                serde_json::to_vec(&next_heartbeat(&mut machine)).expect("json")
            };
            let index = controller % self.controllers.len();
            if self.unreachable.lock().contains(&index) {
                controller += 1;
                continue;
            }
            let to = self.controllers[index].1.to_string();
            self.send_late_copy(&body, &to);
            let response = client
                .send_request(
                    hyper::Method::POST,
                    &to,
                    "/v1/report",
                    Some(body.clone()),
                    Duration::from_secs(2),
                )
                .await;
            match response {
                Ok(response) if response.status == 200 => {
                    self.answered_heartbeats.lock().push(body);
                    let accepted: HeartbeatResponse =
                        serde_json::from_slice(&response.body).expect("a response");
                    let mut machine = machine.lock();
                    let is_late = sent_at.elapsed() > RESPONSE_TIMEOUT;
                    if accepted.token < machine.token || machine.incarnation != incarnation || is_late {
                        continue;
                    }
                    machine.token = accepted.token;
                    machine.lease_renewed = machine.lease_renewed.max(sent_at);
                    for command in accepted.commands {
                        self.execute(&mut machine, command);
                    }
                }
                Ok(response) if response.status == 421 => {
                    let target = serde_json::from_slice::<Redirect>(&response.body)
                        .expect("a body")
                        .report_to;
                    controller = self
                        .controllers
                        .iter()
                        .position(|c| Some(&c.0) == target.as_ref())
                        .unwrap_or(controller + 1);
                }
                _ => controller += 1,
            }
        }
    }
}
