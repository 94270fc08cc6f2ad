//! The users of a soak run: they submit jobs, cancel some, poll them at every controller,
//! and record the responses.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::wire::{JobId, JobState};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::history::{Event, StatusResponse, SubmittedJob};
use crate::site::job_id;
use crate::standins::{send_request, Cloud};
use crate::support;

/// The users, what they have submitted, and the events that they have observed.
pub struct Users {
    /// The users' endpoint of each controller.
    pub api_addrs: Vec<std::net::SocketAddr>,
    /// Start of the run, which the times of events count from.
    pub began: Instant,
    pub events: Mutex<Vec<(Duration, Event)>>,
    /// Jobs that were submitted, accepted or not.
    pub jobs: Mutex<BTreeMap<JobId, SubmittedJob>>,
    pub cloud: Arc<Cloud>,
    /// Accepted jobs that run until they are cancelled.
    pub endless: Mutex<Vec<JobId>>,
    /// Set when the run ends; users then stop polling.
    pub stopped: AtomicBool,
    /// Submissions that are neither accepted nor given up.
    pub submitting: AtomicUsize,
    /// Number of the next job to submit.
    pub next_job: AtomicU64,
}

fn state_of(body: &Value) -> Option<JobState> {
    serde_json::from_value(body["standing"].clone()).ok()
}

impl Users {
    /// Records an event with the current time.
    pub fn record(&self, event: Event) {
        self.events.lock().push((self.began.elapsed(), event));
    }

    /// Records what a response says about a job; its request was sent at `sent`.
    pub fn record_response(&self, job: JobId, sent: Duration, (status, body): &(u16, Value)) {
        if [400, 422].contains(status) {
            return self.record(Event::Refused { job, status: *status });
        }
        let response = match status {
            200 => state_of(body).map(StatusResponse::Known),
            404 => Some(StatusResponse::NotFound),
            _ => None,
        };
        if let Some(response) = response {
            self.record(Event::Responded { job, sent, response });
        }
    }

    /// Polls a job at a controller; returns its state if the response is 200.
    pub async fn poll(&self, job: JobId, controller: usize) -> Option<JobState> {
        let sent = self.began.elapsed();
        let response = send_request(
            "GET",
            self.api_addrs[controller],
            &format!("/v2/runs/{job}"),
            None,
        )
        .await;
        self.record_response(job, sent, &response);
        state_of(&response.1).filter(|_| response.0 == 200)
    }

    /// Submits a job, at one controller after another, until it is accepted or refused, at
    /// most 40 times. Returns whether it was accepted.
    pub async fn submit(&self, job: JobId, submitted: SubmittedJob, body: Value, controller: usize) -> bool {
        self.jobs.lock().insert(job, submitted);
        for attempt in 0..40 {
            let sent = self.began.elapsed();
            let response = send_request(
                "POST",
                self.api_addrs[(controller + attempt) % 3],
                "/v2/runs",
                Some(body.clone()),
            )
            .await;
            match response.0 {
                201 => {
                    self.record(Event::Accepted(job));
                    return true;
                }
                200 => {
                    self.record(Event::Accepted(job));
                    self.record_response(job, sent, &response);
                    return true;
                }
                400 | 422 => {
                    self.record_response(job, sent, &response);
                    return false;
                }
                _ => sleep(Duration::from_millis(500)).await,
            }
        }
        false
    }

    /// Requests the cancellation of a job, at one controller after another, until it is
    /// confirmed, at most 120 times. Returns whether it was confirmed.
    pub async fn cancel(&self, job: JobId, controller: usize) -> bool {
        self.record(Event::CancelRequested(job));
        for attempt in 0..120 {
            let sent = self.began.elapsed();
            let path = format!("/v2/runs/{job}/cancel");
            let response =
                send_request("POST", self.api_addrs[(controller + attempt) % 3], &path, None).await;
            if response.0 == 200 {
                self.record_response(job, sent, &response);
                return true;
            }
            sleep(Duration::from_millis(500)).await;
        }
        false
    }

    /// Jobs that depend on this one, directly or indirectly.
    pub fn dependents(&self, job: JobId) -> Vec<JobId> {
        let jobs = self.jobs.lock();
        let mut all = vec![job];
        // One pass suffices: jobs depend only on earlier ones, which come first in the map.
        for (id, submitted) in jobs.iter() {
            if submitted.awaits.iter().any(|named| all.contains(named)) {
                all.push(*id);
            }
        }
        all.split_off(1)
    }

    /// Jobs whose acceptance was confirmed to a user.
    pub fn accepted(&self) -> BTreeSet<JobId> {
        let events = self.events.lock();
        let accepted = events.iter().filter_map(|(_, event)| match event {
            Event::Accepted(job) => Some(*job),
            _ => None,
        });
        accepted.collect()
    }

    /// Runs one user, who submits a job that may depend on others, may cancel it (and then
    /// polls it and its dependents at every controller), and polls it until it has ended.
    pub async fn run_user(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let number = self.next_job.fetch_add(1, Ordering::Relaxed) as u32;
        let job: JobId = job_id(number).parse().expect("an id");
        let endless = rng.random_bool(0.25);
        let submitted = self.draw_job(&mut rng, endless);
        let body = submission_body(number, &submitted, endless);
        let controller = rng.random_range(0..3);
        if endless {
            self.cloud.slow_down_job(&job.to_string());
        }
        self.submitting.fetch_add(1, Ordering::Relaxed);
        let accepted = self.submit(job, submitted, body.clone(), controller).await;
        self.submitting.fetch_sub(1, Ordering::Relaxed);
        if !accepted {
            return;
        }
        if endless {
            self.endless.lock().push(job);
        }
        let cancels = rng.random_bool(0.35);
        let delay = Duration::from_secs_f64(rng.random_range(0.0..6.0));
        sleep(delay).await;
        if cancels && self.cancel(job, rng.random_range(0..3)).await {
            self.poll_cancelled_everywhere(job).await;
        }
        self.poll_until_final(&mut rng, job, &body).await;
        // A later request must get the same final state.
        self.poll(job, rng.random_range(0..3)).await;
    }

    /// Polls a cancelled job and its dependents, at most six jobs, at every controller.
    async fn poll_cancelled_everywhere(&self, job: JobId) {
        let mut cancelled = self.dependents(job);
        cancelled.push(job);
        for id in cancelled.into_iter().take(6) {
            for controller in 0..3 {
                self.poll(id, controller).await;
            }
        }
    }

    /// Polls an accepted job at random controllers, or repeats its submission, until a poll
    /// returns a final state or the run stops.
    async fn poll_until_final(&self, rng: &mut StdRng, job: JobId, body: &Value) {
        while !self.stopped.load(Ordering::Relaxed) {
            let controller = rng.random_range(0..3);
            if rng.random_bool(0.2) {
                // Repeats the accepted submission.
                let sent = self.began.elapsed();
                let response =
                    send_request("POST", self.api_addrs[controller], "/v2/runs", Some(body.clone())).await;
                self.record_response(job, sent, &response);
            } else if matches!(
                self.poll(job, controller).await,
                Some(JobState::Done | JobState::Cancelled)
            ) {
                break;
            }
            sleep(Duration::from_secs(1)).await;
        }
    }

    /// Draws a random job; half of the jobs depend on recent ones.
    pub fn draw_job(&self, rng: &mut StdRng, endless: bool) -> SubmittedJob {
        let jobs = self.jobs.lock();
        let accepted = self.accepted();
        let recent: Vec<JobId> = jobs
            .keys()
            .rev()
            .filter(|id| accepted.contains(id))
            .take(8)
            .copied()
            .collect();
        let named = if rng.random_bool(0.5) {
            rng.random_range(1..3)
        } else {
            0
        };
        let mut awaits: Vec<JobId> = recent.choose_multiple(rng, named).copied().collect();
        awaits.sort_unstable();
        let red = rng.random_bool(0.4);
        SubmittedJob {
            tasks: rng.random_range(1..5),
            cpus: if endless { 4.0 } else { 2.0 },
            team: if red { "red" } else { "blue" }.into(),
            zone: rng.random_bool(0.3).then(|| "north".to_owned()),
            awaits,
        }
    }
}

/// The body of the request that submits this job.
fn submission_body(number: u32, submitted: &SubmittedJob, endless: bool) -> Value {
    let mut body = serde_json::to_value(support::job(number, submitted.tasks, submitted.cpus)).expect("json");
    body["expected_s"] = json!(if endless { 60.0 } else { 1.0 });
    body["desk"] = json!(submitted.team);
    body["yard"] = json!(submitted.zone);
    body["awaits"] = json!(submitted
        .awaits
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>());
    body
}
