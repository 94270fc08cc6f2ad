//! The rules that every history keeps, judged by what was seen from outside; they know
//! nothing of the implementation.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use bitternfold::wire::{JobId, JobState, TaskId};

use crate::history::{Event, History, StatusResponse, Submitted, Violation};

/// A start that is carried out so long after its job's cancellation was confirmed
/// was not on its way then.
const IN_FLIGHT: Duration = Duration::from_secs(3);

/// State of the check as it walks the events.
#[derive(Default)]
struct Seen {
    /// The machines that run each task.
    live: BTreeMap<TaskId, BTreeSet<String>>,
    done: HashSet<TaskId>,
    /// When each job was accepted.
    accepted: BTreeMap<JobId, Duration>,
    /// Jobs whose cancellation a user has requested.
    cancel_requested: HashSet<JobId>,
    /// Final states that a response has named, and when first.
    final_states: BTreeMap<JobId, (JobState, Duration)>,
    violations: Vec<Violation>,
}

impl Seen {
    fn violated(&mut self, rule: &'static str, evidence: String) {
        self.violations.push(Violation { rule, evidence });
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
                Event::CancelRequested(job) => drop(seen.cancel_requested.insert(*job)),
                Event::Responded { job, sent, response } => {
                    self.check_response(&mut seen, *at, *job, *sent, *response);
                }
                Event::Started { task, machine, zone } => {
                    self.check_start(&mut seen, *at, *task, machine, zone);
                }
                Event::Ended { task, machine, done } => {
                    self.check_outlived(&mut seen, *at, *task);
                    seen.live.entry(*task).or_default().remove(machine);
                    if *done {
                        seen.done.insert(*task);
                    }
                }
            }
        }
        self.check_end(&mut seen);
        seen.violations
    }

    /// The jobs that this one depends on, directly or through others.
    fn ancestors(&self, job: JobId) -> BTreeSet<JobId> {
        let mut all = BTreeSet::new();
        let mut next = vec![job];
        while let Some(id) = next.pop() {
            let named = self.jobs.get(&id).into_iter().flat_map(|j| &j.awaits);
            next.extend(named.copied().filter(|id| all.insert(*id)));
        }
        all
    }

    /// When a response first said that a job, or one that it depends on, is cancelled.
    fn cancelled_since(&self, seen: &Seen, job: JobId) -> Option<Duration> {
        let mut jobs = self.ancestors(job);
        jobs.insert(job);
        let final_states = jobs.iter().filter_map(|id| seen.final_states.get(id));
        final_states
            .filter(|(state, _)| *state == JobState::Cancelled)
            .map(|(_, since)| *since)
            .min()
    }

    fn is_done(&self, seen: &Seen, job: JobId) -> bool {
        let tasks = self.jobs.get(&job).map_or(0, |j| j.tasks);
        (0..tasks).all(|index| seen.done.contains(&TaskId { job, index }))
    }

    /// Checks a start on a machine of this zone.
    fn check_start(&self, seen: &mut Seen, at: Duration, task: TaskId, machine: &str, zone: &str) {
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
        self.check_quota(seen, at, task, job);
        self.check_dependencies(seen, at, task, job);
        self.check_started_after_cancel(seen, at, task);
    }

    /// The live tasks of a team must stay within its quota.
    fn check_quota(&self, seen: &mut Seen, at: Duration, task: TaskId, job: &Submitted) {
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
    }

    /// All jobs that a started task's job names must be done.
    fn check_dependencies(&self, seen: &mut Seen, at: Duration, task: TaskId, job: &Submitted) {
        for needed in &job.awaits {
            if !self.is_done(seen, *needed) {
                seen.violated(
                    "too_early",
                    format!("{task} starts before {needed} is done, {at:?}"),
                );
            }
        }
    }

    /// No task may start once the cancellation of its job was confirmed.
    fn check_started_after_cancel(&self, seen: &mut Seen, at: Duration, task: TaskId) {
        if let Some(since) = self.cancelled_since(seen, task.job) {
            if at > since + IN_FLIGHT {
                seen.violated(
                    "started_after_cancel",
                    format!("{task} starts at {at:?}, cancelled since {since:?}"),
                );
            }
        }
    }

    /// A task that ends at `at` must not have outlived its job's cancellation.
    fn check_outlived(&self, seen: &mut Seen, at: Duration, task: TaskId) {
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

    /// Checks what a response, to a request that was sent at `sent`, says of a job.
    fn check_response(
        &self,
        seen: &mut Seen,
        at: Duration,
        job: JobId,
        sent: Duration,
        response: StatusResponse,
    ) {
        let state = match response {
            StatusResponse::NotFound => {
                // The response to a request sent before the acceptance may arrive after it.
                if seen.accepted.get(&job).is_some_and(|since| sent > *since) {
                    seen.violated("forgotten", format!("{job} is not found, {at:?}"));
                }
                return;
            }
            StatusResponse::Known(state) => state,
        };
        if !self.jobs.contains_key(&job) {
            return seen.violated("invented", format!("{job} is {state:?}, {at:?}"));
        }
        if let Some((old, since)) = seen.final_states.get(&job).copied() {
            if old != state && sent > since {
                seen.violated(
                    "went_back",
                    format!("{job} is {state:?} at {at:?}, {old:?} since {since:?}"),
                );
            }
        }
        self.check_final_state(seen, at, job, state);
        if matches!(state, JobState::Queued | JobState::Running) {
            if let Some(since) = self
                .cancelled_since(seen, job)
                .filter(|since| sent > *since + self.cancel)
            {
                seen.violated(
                    "orphaned",
                    format!("{job} is {state:?}, requested at {sent:?}, cancelled since {since:?}"),
                );
            }
        } else {
            seen.final_states.entry(job).or_insert((state, at));
        }
    }

    /// A job that is reported done has completed, one reported cancelled was requested to be.
    fn check_final_state(&self, seen: &mut Seen, at: Duration, job: JobId, state: JobState) {
        if state == JobState::Done && !self.is_done(seen, job) {
            seen.violated("not_done", format!("{job} is reported done, {at:?}"));
        }
        let mut with_ancestors = self.ancestors(job);
        with_ancestors.insert(job);
        if state == JobState::Cancelled
            && with_ancestors.is_disjoint(&seen.cancel_requested.iter().copied().collect())
        {
            seen.violated("went_back", format!("{job} is cancelled by nobody, {at:?}"));
        }
    }

    /// At the end no task runs, and every accepted job has a final state.
    fn check_end(&self, seen: &mut Seen) {
        let live: Vec<TaskId> = seen
            .live
            .iter()
            .filter(|(_, on)| !on.is_empty())
            .map(|(task, _)| *task)
            .collect();
        for task in live {
            self.check_outlived(seen, self.end, task);
            seen.violated("orphaned", format!("{task} still runs at the end"));
        }
        let unfinished: Vec<JobId> = seen
            .accepted
            .keys()
            .filter(|job| !seen.final_states.contains_key(job))
            .copied()
            .collect();
        for job in unfinished {
            seen.violated(
                "left_over",
                format!("{job} has not ended, or no response said so"),
            );
        }
    }
}
