//! The rules that every history has to keep. They judge only what is observed from
//! outside and know nothing of the implementation.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use bitternfold::wire::{JobId, JobState, TaskId};

use crate::history::{Event, History, StatusResponse, SubmittedJob, Violation};

/// How long a start command may be in flight. If a task starts later than this after the
/// cancellation of its job was confirmed, the command was sent after the confirmation.
const MAX_START_DELAY: Duration = Duration::from_secs(3);

/// What the check knows from the events up to the current one.
#[derive(Default)]
struct CheckState {
    /// The machines that run each task.
    live: BTreeMap<TaskId, BTreeSet<String>>,
    /// Tasks that have completed.
    done: HashSet<TaskId>,
    /// When each job was accepted.
    accepted: BTreeMap<JobId, Duration>,
    /// Jobs whose cancellation a user has requested.
    cancel_requested: HashSet<JobId>,
    /// The final state that a response first reported for each job, and when.
    final_states: BTreeMap<JobId, (JobState, Duration)>,
    violations: Vec<Violation>,
}

impl CheckState {
    fn add_violation(&mut self, rule: &'static str, evidence: String) {
        self.violations.push(Violation { rule, evidence });
    }
}

impl History {
    /// Checks all events, and returns every violation of a rule.
    pub fn violations(&self) -> Vec<Violation> {
        let mut check = CheckState::default();
        for (at, event) in &self.events {
            match event {
                Event::Accepted(job) => drop(check.accepted.entry(*job).or_insert(*at)),
                Event::Refused { job, status } => {
                    check.add_violation("refused", format!("{job} is answered {status}, {at:?}"));
                }
                Event::CancelRequested(job) => drop(check.cancel_requested.insert(*job)),
                Event::Responded { job, sent, response } => {
                    self.check_response(&mut check, *at, *job, *sent, *response);
                }
                Event::Started { task, machine, zone } => {
                    self.check_start(&mut check, *at, *task, machine, zone);
                }
                Event::Ended { task, machine, done } => {
                    self.check_outlived(&mut check, *at, *task);
                    check.live.entry(*task).or_default().remove(machine);
                    if *done {
                        check.done.insert(*task);
                    }
                }
            }
        }
        self.check_end(&mut check);
        check.violations
    }

    /// The jobs that this one depends on, directly or indirectly.
    fn ancestors(&self, job: JobId) -> BTreeSet<JobId> {
        let mut all = BTreeSet::new();
        let mut next = vec![job];
        while let Some(id) = next.pop() {
            let named = self.jobs.get(&id).into_iter().flat_map(|j| &j.awaits);
            next.extend(named.copied().filter(|id| all.insert(*id)));
        }
        all
    }

    /// When a response first reported this job, or one that it depends on, as cancelled.
    fn cancelled_since(&self, check: &CheckState, job: JobId) -> Option<Duration> {
        let mut jobs = self.ancestors(job);
        jobs.insert(job);
        let final_states = jobs.iter().filter_map(|id| check.final_states.get(id));
        final_states
            .filter(|(state, _)| *state == JobState::Cancelled)
            .map(|(_, since)| *since)
            .min()
    }

    fn is_done(&self, check: &CheckState, job: JobId) -> bool {
        let tasks = self.jobs.get(&job).map_or(0, |j| j.tasks);
        (0..tasks).all(|index| check.done.contains(&TaskId { job, index }))
    }

    /// Checks the start of a task on a machine in this zone.
    fn check_start(&self, check: &mut CheckState, at: Duration, task: TaskId, machine: &str, zone: &str) {
        let Some(job) = self.jobs.get(&task.job) else {
            return check.add_violation(
                "invented",
                format!("{task} of a job that nobody submitted starts"),
            );
        };
        let elsewhere: Vec<String> = check
            .live
            .get(&task)
            .into_iter()
            .flatten()
            .filter(|m| *m != machine)
            .cloned()
            .collect();
        if !elsewhere.is_empty() {
            check.add_violation(
                "ran_twice",
                format!("{task} starts on {machine}, is on {elsewhere:?}, {at:?}"),
            );
        }
        check.live.entry(task).or_default().insert(machine.to_owned());
        if job.zone.as_ref().is_some_and(|z| z != zone) {
            check.add_violation("wrong_place", format!("{task} starts in {zone}, {at:?}"));
        }
        self.check_quota(check, at, task, job);
        self.check_dependencies(check, at, task, job);
        self.check_started_after_cancel(check, at, task);
    }

    /// Checks that the team's running tasks stay within its quota.
    fn check_quota(&self, check: &mut CheckState, at: Duration, task: TaskId, job: &SubmittedJob) {
        if let Some(limit) = self.team_cpus.get(&job.team) {
            let of_team = |t: &TaskId| self.jobs.get(&t.job).filter(|j| j.team == job.team);
            let live = check.live.iter().filter(|(_, machines)| !machines.is_empty());
            let used: f64 = live.filter_map(|(t, _)| of_team(t)).map(|j| j.cpus).sum();
            if used > *limit {
                check.add_violation(
                    "quota",
                    format!("{} uses {used} CPUs with {task}, {at:?}", job.team),
                );
            }
        }
    }

    /// Checks that all jobs that the started task's job depends on are done.
    fn check_dependencies(&self, check: &mut CheckState, at: Duration, task: TaskId, job: &SubmittedJob) {
        for needed in &job.awaits {
            if !self.is_done(check, *needed) {
                check.add_violation(
                    "too_early",
                    format!("{task} starts before {needed} is done, {at:?}"),
                );
            }
        }
    }

    /// Checks that the task doesn't start more than [`MAX_START_DELAY`] after the cancellation
    /// of its job was confirmed.
    fn check_started_after_cancel(&self, check: &mut CheckState, at: Duration, task: TaskId) {
        if let Some(since) = self.cancelled_since(check, task.job) {
            if at > since + MAX_START_DELAY {
                check.add_violation(
                    "started_after_cancel",
                    format!("{task} starts at {at:?}, cancelled since {since:?}"),
                );
            }
        }
    }

    /// Checks that a task that is on a machine until `at` doesn't outlive the cancellation of
    /// its job by more than the deadline.
    fn check_outlived(&self, check: &mut CheckState, at: Duration, task: TaskId) {
        let is_live = check.live.get(&task).is_some_and(|machines| !machines.is_empty());
        if !is_live {
            return;
        }
        if let Some(since) = self.cancelled_since(check, task.job) {
            if at > since + self.cancel_deadline {
                check.add_violation(
                    "ran_cancelled",
                    format!("{task} is there until {at:?}, cancelled since {since:?}"),
                );
            }
        }
    }

    /// Checks what a response says about a job; its request was sent at `sent`.
    fn check_response(
        &self,
        check: &mut CheckState,
        at: Duration,
        job: JobId,
        sent: Duration,
        response: StatusResponse,
    ) {
        let state = match response {
            StatusResponse::NotFound => {
                // The response to a request sent before the acceptance may arrive after it.
                if check.accepted.get(&job).is_some_and(|since| sent > *since) {
                    check.add_violation("forgotten", format!("{job} is not found, {at:?}"));
                }
                return;
            }
            StatusResponse::Known(state) => state,
        };
        if !self.jobs.contains_key(&job) {
            return check.add_violation("invented", format!("{job} is {state:?}, {at:?}"));
        }
        if let Some((old, since)) = check.final_states.get(&job).copied() {
            if old != state && sent > since {
                check.add_violation(
                    "went_back",
                    format!("{job} is {state:?} at {at:?}, {old:?} since {since:?}"),
                );
            }
        }
        self.check_final_state(check, at, job, state);
        if matches!(state, JobState::Queued | JobState::Running) {
            if let Some(since) = self
                .cancelled_since(check, job)
                .filter(|since| sent > *since + self.cancel_deadline)
            {
                check.add_violation(
                    "orphaned",
                    format!("{job} is {state:?}, requested at {sent:?}, cancelled since {since:?}"),
                );
            }
        } else {
            check.final_states.entry(job).or_insert((state, at));
        }
    }

    /// Checks that a job reported as done has completed, and that a user requested the
    /// cancellation of one reported as cancelled.
    fn check_final_state(&self, check: &mut CheckState, at: Duration, job: JobId, state: JobState) {
        if state == JobState::Done && !self.is_done(check, job) {
            check.add_violation("not_done", format!("{job} is reported done, {at:?}"));
        }
        let mut with_ancestors = self.ancestors(job);
        with_ancestors.insert(job);
        if state == JobState::Cancelled
            && with_ancestors.is_disjoint(&check.cancel_requested.iter().copied().collect())
        {
            check.add_violation("went_back", format!("{job} is cancelled by nobody, {at:?}"));
        }
    }

    /// Checks that at the end no task runs and every accepted job has a final state.
    fn check_end(&self, check: &mut CheckState) {
        let live: Vec<TaskId> = check
            .live
            .iter()
            .filter(|(_, machines)| !machines.is_empty())
            .map(|(task, _)| *task)
            .collect();
        for task in live {
            self.check_outlived(check, self.end, task);
            check.add_violation("orphaned", format!("{task} still runs at the end"));
        }
        let unfinished: Vec<JobId> = check
            .accepted
            .keys()
            .filter(|job| !check.final_states.contains_key(job))
            .copied()
            .collect();
        for job in unfinished {
            check.add_violation(
                "left_over",
                format!("{job} has not ended, or no response said so"),
            );
        }
    }
}
