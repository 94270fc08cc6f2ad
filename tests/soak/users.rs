//! Users of the soak: they submit jobs, cancel some, and ask at every controller,
//! and note what they are told.
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

use crate::history::{Answer, Event, Submitted};
use crate::site::job_name;
use crate::standins::{ask, Cloud};
use crate::support;

/// What users do and are told.
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

fn standing_of(body: &Value) -> Option<JobState> {
    serde_json::from_value(body["standing"].clone()).ok()
}

impl Users {
    pub fn note(&self, event: Event) {
        self.events.lock().push((self.began.elapsed(), event));
    }

    pub fn note_answer(&self, job: JobId, asked: Duration, (status, body): &(u16, Value)) {
        if [400, 422].contains(status) {
            return self.note(Event::Refused { job, status: *status });
        }
        let answer = match status {
            200 => standing_of(body).map(Answer::Known),
            404 => Some(Answer::NotFound),
            _ => None,
        };
        if let Some(answer) = answer {
            self.note(Event::Told { job, asked, answer });
        }
    }

    pub async fn poll(&self, job: JobId, at: usize) -> Option<JobState> {
        let asked = self.began.elapsed();
        let answer = ask("GET", self.api[at], &format!("/v2/runs/{job}"), None).await;
        self.note_answer(job, asked, &answer);
        standing_of(&answer.1).filter(|_| answer.0 == 200)
    }

    /// Submits a job until it is accepted or the time is over.
    pub async fn submit(&self, job: JobId, submitted: Submitted, body: Value, at: usize) -> bool {
        self.jobs.lock().insert(job, submitted);
        for attempt in 0..40 {
            let asked = self.began.elapsed();
            let answer = ask(
                "POST",
                self.api[(at + attempt) % 3],
                "/v2/runs",
                Some(body.clone()),
            )
            .await;
            match answer.0 {
                201 => {
                    self.note(Event::Accepted(job));
                    return true;
                }
                200 => {
                    self.note(Event::Accepted(job));
                    self.note_answer(job, asked, &answer);
                    return true;
                }
                400 | 422 => {
                    self.note_answer(job, asked, &answer);
                    return false;
                }
                _ => sleep(Duration::from_millis(500)).await,
            }
        }
        false
    }

    pub async fn cancel(&self, job: JobId, at: usize) -> bool {
        self.note(Event::CancelAsked(job));
        for attempt in 0..120 {
            let asked = self.began.elapsed();
            let path = format!("/v2/runs/{job}/cancel");
            let answer = ask("POST", self.api[(at + attempt) % 3], &path, None).await;
            if answer.0 == 200 {
                self.note_answer(job, asked, &answer);
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

    /// Jobs whose acceptance somebody was told.
    pub fn accepted(&self) -> BTreeSet<JobId> {
        let events = self.events.lock();
        let accepted = events.iter().filter_map(|(_, event)| match event {
            Event::Accepted(job) => Some(*job),
            _ => None,
        });
        accepted.collect()
    }

    /// One user: a job, perhaps after others, perhaps cancelled and then asked
    /// about, with all jobs after it, at every controller.
    pub async fn one(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let number = self.next.fetch_add(1, Ordering::Relaxed) as u32;
        let job: JobId = job_name(number).parse().expect("an id");
        let endless = rng.random_bool(0.25);
        let submitted = self.draw(&mut rng, endless);
        let body = body_of(number, &submitted, endless);
        let at = rng.random_range(0..3);
        if endless {
            self.cloud.run_slowly(&job.to_string());
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
            let mut concerned = self.dependents(job);
            concerned.push(job);
            for id in concerned.into_iter().take(6) {
                for at in 0..3 {
                    self.poll(id, at).await;
                }
            }
        }
        while !self.stopped.load(Ordering::Relaxed) {
            let at = rng.random_range(0..3);
            if rng.random_bool(0.2) {
                // A repeat of an accepted submission.
                let asked = self.began.elapsed();
                let answer = ask("POST", self.api[at], "/v2/runs", Some(body.clone())).await;
                self.note_answer(job, asked, &answer);
            } else if matches!(
                self.poll(job, at).await,
                Some(JobState::Done | JobState::Cancelled)
            ) {
                break;
            }
            sleep(Duration::from_secs(1)).await;
        }
        // Later questions must find the same.
        self.poll(job, rng.random_range(0..3)).await;
    }

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
