//! What was seen from outside: what workers ran and when, and what users were
//! told. The checker judges it by the rules, without knowing how any of it came
//! about.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use bitternfold::wire::{JobId, JobState, TaskId};

/// A start that is carried out so long after its job's cancellation was confirmed
/// was not on its way then.
const IN_FLIGHT: Duration = Duration::from_secs(3);

/// What a user submitted.
#[derive(Debug, Clone)]
pub struct Submitted {
    pub tasks: u32,
    pub cpus: f64,
    pub team: String,
    pub zone: Option<String>,
    pub awaits: Vec<JobId>,
}

/// An answer to a question.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    Known(JobState),
    NotFound,
}

/// Something that was seen, at a time since the beginning.
#[derive(Debug, Clone)]
pub enum Event {
    /// A job was accepted.
    Accepted(JobId),
    /// A submission that is in order was answered 400 or 422.
    Refused { job: JobId, status: u16 },
    /// A user began to ask for its cancellation.
    CancelAsked(JobId),
    /// A user was told; the question was sent at `asked`.
    Told {
        job: JobId,
        asked: Duration,
        answer: Answer,
    },
    Started {
        task: TaskId,
        machine: String,
        zone: String,
    },
    /// It is gone from its machine; whether it had completed.
    Ended {
        task: TaskId,
        machine: String,
        done: bool,
    },
}

/// A broken rule and what shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub evidence: String,
}

/// All that was seen, in the order of time.
#[derive(Debug, Default, Clone)]
pub struct History {
    pub jobs: BTreeMap<JobId, Submitted>,
    pub team_cpus: BTreeMap<String, f64>,
    pub cancel: Duration,
    pub events: Vec<(Duration, Event)>,
    /// When the last was seen, and everything should be over.
    pub end: Duration,
}

/// State of the check as it walks the events.
#[derive(Default)]
struct Seen {
    live: BTreeMap<TaskId, BTreeSet<String>>,
    done: HashSet<TaskId>,
    /// When each job was accepted.
    accepted: BTreeMap<JobId, Duration>,
    asked_to_cancel: HashSet<JobId>,
    /// Final states that somebody was told, and when first.
    told: BTreeMap<JobId, (JobState, Duration)>,
    found: Vec<Violation>,
}

impl Seen {
    fn violated(&mut self, rule: &'static str, evidence: String) {
        self.found.push(Violation { rule, evidence });
    }
}

impl History {
    /// The rules that were broken.
    pub fn violations(&self) -> Vec<Violation> {
        let mut seen = Seen::default();
        for (at, event) in &self.events {
            match event {
                Event::Accepted(job) => drop(seen.accepted.entry(*job).or_insert(*at)),
                Event::Refused { job, status } => {
                    seen.violated("refused", format!("{job} is answered {status}, {at:?}"));
                }
                Event::CancelAsked(job) => drop(seen.asked_to_cancel.insert(*job)),
                Event::Told { job, asked, answer } => self.told(&mut seen, *at, *job, *asked, *answer),
                Event::Started { task, machine, zone } => {
                    self.started(&mut seen, *at, *task, machine, zone);
                }
                Event::Ended { task, machine, done } => {
                    self.outlived(&mut seen, *at, *task);
                    seen.live.entry(*task).or_default().remove(machine);
                    if *done {
                        seen.done.insert(*task);
                    }
                }
            }
        }
        self.at_the_end(&mut seen);
        seen.found
    }

    fn ancestors(&self, job: JobId) -> BTreeSet<JobId> {
        let mut all = BTreeSet::new();
        let mut next = vec![job];
        while let Some(id) = next.pop() {
            let named = self.jobs.get(&id).into_iter().flat_map(|j| &j.awaits);
            next.extend(named.copied().filter(|id| all.insert(*id)));
        }
        all
    }

    /// When somebody was first told that a job, or one that it needs, is cancelled.
    fn cancelled_since(&self, seen: &Seen, job: JobId) -> Option<Duration> {
        let mut jobs = self.ancestors(job);
        jobs.insert(job);
        let told = jobs.iter().filter_map(|id| seen.told.get(id));
        told.filter(|t| t.0 == JobState::Cancelled).map(|t| t.1).min()
    }

    fn is_done(&self, seen: &Seen, job: JobId) -> bool {
        let tasks = self.jobs.get(&job).map_or(0, |j| j.tasks);
        (0..tasks).all(|index| seen.done.contains(&TaskId { job, index }))
    }

    fn started(&self, seen: &mut Seen, at: Duration, task: TaskId, machine: &str, zone: &str) {
        let Some(job) = self.jobs.get(&task.job) else {
            return seen.violated(
                "invented",
                format!("{task} of a job that nobody submitted starts"),
            );
        };
        let elsewhere: Vec<String> = seen
            .live
            .get(&task)
            .into_iter()
            .flatten()
            .filter(|m| *m != machine)
            .cloned()
            .collect();
        if !elsewhere.is_empty() {
            seen.violated(
                "ran_twice",
                format!("{task} starts on {machine}, is on {elsewhere:?}, {at:?}"),
            );
        }
        seen.live.entry(task).or_default().insert(machine.to_owned());
        if job.zone.as_ref().is_some_and(|z| z != zone) {
            seen.violated("wrong_place", format!("{task} starts in {zone}, {at:?}"));
        }
        if let Some(limit) = self.team_cpus.get(&job.team) {
            let of_team = |t: &TaskId| self.jobs.get(&t.job).filter(|j| j.team == job.team);
            let live = seen.live.iter().filter(|(_, on)| !on.is_empty());
            let used: f64 = live.filter_map(|(t, _)| of_team(t)).map(|j| j.cpus).sum();
            if used > *limit {
                seen.violated(
                    "quota",
                    format!("{} uses {used} CPUs with {task}, {at:?}", job.team),
                );
            }
        }
        for needed in &job.awaits {
            if !self.is_done(seen, *needed) {
                seen.violated(
                    "too_early",
                    format!("{task} starts before {needed} is done, {at:?}"),
                );
            }
        }
        if let Some(since) = self.cancelled_since(seen, task.job) {
            if at > since + IN_FLIGHT {
                seen.violated(
                    "started_after_cancel",
                    format!("{task} starts at {at:?}, cancelled since {since:?}"),
                );
            }
        }
    }

    /// A task that goes at `at` must not have outlived its job's cancellation.
    fn outlived(&self, seen: &mut Seen, at: Duration, task: TaskId) {
        let is_live = seen.live.get(&task).is_some_and(|on| !on.is_empty());
        if !is_live {
            return;
        }
        if let Some(since) = self.cancelled_since(seen, task.job) {
            if at > since + self.cancel {
                seen.violated(
                    "ran_cancelled",
                    format!("{task} is there until {at:?}, cancelled since {since:?}"),
                );
            }
        }
    }

    fn told(&self, seen: &mut Seen, at: Duration, job: JobId, asked: Duration, answer: Answer) {
        let standing = match answer {
            Answer::NotFound => {
                // An answer to a question that was sent before may come after.
                if seen.accepted.get(&job).is_some_and(|since| asked > *since) {
                    seen.violated("forgotten", format!("{job} is not found, {at:?}"));
                }
                return;
            }
            Answer::Known(standing) => standing,
        };
        if !self.jobs.contains_key(&job) {
            return seen.violated("invented", format!("{job} is {standing:?}, {at:?}"));
        }
        if let Some((old, since)) = seen.told.get(&job).copied() {
            if old != standing && asked > since {
                seen.violated(
                    "went_back",
                    format!("{job} is {standing:?} at {at:?}, {old:?} since {since:?}"),
                );
            }
        }
        if standing == JobState::Done && !self.is_done(seen, job) {
            seen.violated("not_done", format!("{job} is called done, {at:?}"));
        }
        let mut with_ancestors = self.ancestors(job);
        with_ancestors.insert(job);
        if standing == JobState::Cancelled
            && with_ancestors.is_disjoint(&seen.asked_to_cancel.iter().copied().collect())
        {
            seen.violated("went_back", format!("{job} is cancelled by nobody, {at:?}"));
        }
        if matches!(standing, JobState::Queued | JobState::Running) {
            if let Some(since) = self
                .cancelled_since(seen, job)
                .filter(|since| asked > *since + self.cancel)
            {
                seen.violated(
                    "orphaned",
                    format!("{job} is {standing:?}, asked at {asked:?}, cancelled since {since:?}"),
                );
            }
        } else {
            seen.told.entry(job).or_insert((standing, at));
        }
    }

    fn at_the_end(&self, seen: &mut Seen) {
        let live: Vec<TaskId> = seen
            .live
            .iter()
            .filter(|(_, on)| !on.is_empty())
            .map(|(task, _)| *task)
            .collect();
        for task in live {
            self.outlived(seen, self.end, task);
            seen.violated("orphaned", format!("{task} still runs when all is over"));
        }
        let open: Vec<JobId> = seen
            .accepted
            .keys()
            .filter(|job| !seen.told.contains_key(job))
            .copied()
            .collect();
        for job in open {
            seen.violated("left_over", format!("{job} has not ended, or nobody was told"));
        }
    }
}
