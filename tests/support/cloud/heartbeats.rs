//! The heartbeats of a machine's worker, and what time does to its tasks and its lease.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::http::HttpClient;
use bitternfold::wire::*;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::machine::{next_heartbeat, Machine};
use super::{Cloud, TaskChange};

/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

impl Cloud {
    /// Removes all tasks from a machine, whose live ones end.
    pub(super) fn end_all(&self, m: &mut Machine) {
        for (task, t) in std::mem::take(&mut m.tasks) {
            if t.state != TaskState::Ended {
                self.note(m, task, TaskChange::Ended { done: false });
            }
        }
    }

    /// Ends the incarnation whose lease has expired, and tasks that have completed.
    pub(super) fn pass_time(&self, m: &mut Machine) {
        let now = Instant::now();
        let lease = *self.lease.lock();
        if lease.is_some_and(|lease| now > m.lease_renewed + lease) {
            self.end_all(m);
            m.incarnation += 1;
            m.lease_renewed = now;
        }
        let ended: Vec<TaskId> = m
            .tasks
            .iter()
            .filter(|(_, t)| t.state == TaskState::Running && t.until <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in ended {
            let t = m.tasks.get_mut(&task).expect("just seen");
            (t.state, t.exit_reason) = (TaskState::Ended, Some(ExitReason::Done));
            self.note(m, task, TaskChange::Ended { done: true });
        }
    }

    /// Sends a late copy of a heartbeat, whose response is dropped.
    pub(super) fn copy_late(&self, body: &[u8], to: &str) {
        let Some(delay) = *self.late_copies.lock() else {
            return;
        };
        let (body, to) = (body.to_vec(), to.to_owned());
        tokio::spawn(async move {
            sleep(delay).await;
            let method = hyper::Method::POST;
            let http = HttpClient::default();
            let _ = http
                .call(method, &to, "/v1/report", Some(body), RESPONSE_TIMEOUT)
                .await;
        });
    }

    /// The loop of a worker: a heartbeat each 150 ms, to the controller that it was
    /// redirected to, or to the next one after a failure.
    pub(super) async fn heartbeat(self: Arc<Self>, m: Arc<Mutex<Machine>>) {
        let http = HttpClient::default();
        let mut at = 0;
        loop {
            sleep(Duration::from_millis(150)).await;
            self.pass_time(&mut m.lock());
            if self.mute.load(Ordering::Relaxed) || self.hangs(&m) {
                continue;
            }
            let (sent, incarnation) = (Instant::now(), m.lock().incarnation);
            let body = {
                let mut m = m.lock();
                if m.released {
                    return;
                }
                serde_json::to_vec(&next_heartbeat(&mut m)).expect("json")
            };
            let controller = at % self.controllers.len();
            if self.unreachable.lock().contains(&controller) {
                at += 1;
                continue;
            }
            let to = self.controllers[controller].1.to_string();
            self.copy_late(&body, &to);
            let response = http
                .call(
                    hyper::Method::POST,
                    &to,
                    "/v1/report",
                    Some(body.clone()),
                    Duration::from_secs(2),
                )
                .await;
            match response {
                Ok(response) if response.status == 200 => {
                    self.reported.lock().push(body);
                    let accepted: HeartbeatResponse =
                        serde_json::from_slice(&response.body).expect("a response");
                    let mut m = m.lock();
                    let late = sent.elapsed() > RESPONSE_TIMEOUT;
                    if accepted.token < m.token || m.incarnation != incarnation || late {
                        continue;
                    }
                    m.token = accepted.token;
                    m.lease_renewed = m.lease_renewed.max(sent);
                    for c in accepted.commands {
                        self.execute(&mut m, c);
                    }
                }
                Ok(response) if response.status == 421 => {
                    let to = serde_json::from_slice::<Redirect>(&response.body)
                        .expect("a body")
                        .report_to;
                    at = self
                        .controllers
                        .iter()
                        .position(|c| Some(&c.0) == to.as_ref())
                        .unwrap_or(at + 1);
                }
                _ => at += 1,
            }
        }
    }
}
