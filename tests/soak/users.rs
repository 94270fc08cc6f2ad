//! Users of the soak: they submit jobs, cancel some, request their states from every
//! controller, and record the responses.
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

use crate::history::{Event, StatusResponse, Submitted};
use crate::site::job_id;
use crate::standins::{send_request, Cloud};
use crate::support;

/// What users do, and the responses that they receive.
pub struct Users {
    pub api: Vec<std::net::SocketAddr>,
    pub began: Instant,
    pub events: Mutex<Vec<(Duration, Event)>>,
    pub jobs: Mutex<BTreeMap<JobId, Submitted>>,
    pub cloud: Arc<Cloud>,
    /// Jobs that never end by themselves.
    pub endless: Mutex<Vec<JobId>>,
    pub stopped: AtomicBool,
    /// Submissions that are neither accepted nor given up.
    pub submitting: AtomicUsize,
    pub next: AtomicU64,
}

fn state_of(body: &Value) -> Option<JobState> {
    serde_json::from_value(body["standing"].clone()).ok()
}

impl Users {
    /// Records an event at the present time.
    pub fn record(&self, event: Event) {
        self.events.lock().push((self.began.elapsed(), event));
    }

    /// Records what a response to a request that was sent at `sent` says of a job.
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

    /// Requests the state of a job; `None` unless the response is 200.
    pub async fn poll(&self, job: JobId, at: usize) -> Option<JobState> {
        let sent = self.began.elapsed();
        let response = send_request("GET", self.api[at], &format!("/v2/runs/{job}"), None).await;
        self.record_response(job, sent, &response);
        state_of(&response.1).filter(|_| response.0 == 200)
    }

    /// Submits a job until it is accepted or refused, 40 times at most; whether it was
    /// accepted.
    pub async fn submit(&self, job: JobId, submitted: Submitted, body: Value, at: usize) -> bool {
        self.jobs.lock().insert(job, submitted);
        for attempt in 0..40 {
            let sent = self.began.elapsed();
            let response = send_request(
                "POST",
                self.api[(at + attempt) % 3],
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

    /// Cancels a job until that is confirmed, 120 times at most; whether it was.
    pub async fn cancel(&self, job: JobId, at: usize) -> bool {
        self.record(Event::CancelRequested(job));
        for attempt in 0..120 {
            let sent = self.began.elapsed();
            let path = format!("/v2/runs/{job}/cancel");
            let response = send_request("POST", self.api[(at + attempt) % 3], &path, None).await;
            if response.0 == 200 {
                self.record_response(job, sent, &response);
                return true;
            }
            sleep(Duration::from_millis(500)).await;
        }
        false
    }

    /// Jobs that name this one, directly or through others.
    pub fn dependents(&self, job: JobId) -> Vec<JobId> {
        let jobs = self.jobs.lock();
        let mut all = vec![job];
        // Jobs name only earlier ones.
        for (id, submitted) in jobs.iter() {
            if submitted.awaits.iter().any(|named| all.contains(named)) {
                all.push(*id);
            }
        }
        all.split_off(1)
    }

    /// Jobs whose acceptance a user has received.
    pub fn accepted(&self) -> BTreeSet<JobId> {
        let events = self.events.lock();
        let accepted = events.iter().filter_map(|(_, event)| match event {
            Event::Accepted(job) => Some(*job),
            _ => None,
        });
        accepted.collect()
    }

    /// One user: submits a job that may depend on others, may cancel it, and then
    /// requests its state and those of its dependents from every controller.
    pub async fn run_one(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let number = self.next.fetch_add(1, Ordering::Relaxed) as u32;
        let job: JobId = job_id(number).parse().expect("an id");
        let endless = rng.random_bool(0.25);
        let submitted = self.draw(&mut rng, endless);
        let body = body_of(number, &submitted, endless);
        let at = rng.random_range(0..3);
        if endless {
            self.cloud.slow_down_job(&job.to_string());
        }
        self.submitting.fetch_add(1, Ordering::Relaxed);
        let accepted = self.submit(job, submitted, body.clone(), at).await;
        self.submitting.fetch_sub(1, Ordering::Relaxed);
        if !accepted {
            return;
        }
        if endless {
            self.endless.lock().push(job);
        }
        let cancels = rng.random_bool(0.35);
        let after = Duration::from_secs_f64(rng.random_range(0.0..6.0));
        sleep(after).await;
        if cancels && self.cancel(job, rng.random_range(0..3)).await {
            self.poll_cancelled_everywhere(job).await;
        }
        self.poll_until_final(&mut rng, job, &body).await;
        // Later requests must find the same state.
        self.poll(job, rng.random_range(0..3)).await;
    }

    /// Requests the states of a cancelled job and its dependents, six jobs at most, from
    /// every controller.
    async fn poll_cancelled_everywhere(&self, job: JobId) {
        let mut concerned = self.dependents(job);
        concerned.push(job);
        for id in concerned.into_iter().take(6) {
            for at in 0..3 {
                self.poll(id, at).await;
            }
        }
    }

    /// Requests the state of an accepted job, or repeats its submission, until it is final
    /// or the run stops.
    async fn poll_until_final(&self, rng: &mut StdRng, job: JobId, body: &Value) {
        while !self.stopped.load(Ordering::Relaxed) {
            let at = rng.random_range(0..3);
            if rng.random_bool(0.2) {
                // A repeat of an accepted submission.
                let sent = self.began.elapsed();
                let response = send_request("POST", self.api[at], "/v2/runs", Some(body.clone())).await;
                self.record_response(job, sent, &response);
            } else if matches!(
                self.poll(job, at).await,
                Some(JobState::Done | JobState::Cancelled)
            ) {
                break;
            }
            sleep(Duration::from_secs(1)).await;
        }
    }

    /// Draws a job, half of the time dependent on recent ones.
    pub fn draw(&self, rng: &mut StdRng, endless: bool) -> Submitted {
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
        Submitted {
            tasks: rng.random_range(1..5),
            cpus: if endless { 4.0 } else { 2.0 },
            team: if red { "red" } else { "blue" }.into(),
            zone: rng.random_bool(0.3).then(|| "north".to_owned()),
            awaits,
        }
    }
}

fn body_of(number: u32, submitted: &Submitted, endless: bool) -> Value {
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
