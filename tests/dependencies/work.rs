//! The work that a change of the dependency graph causes, counted in visits of jobs.

use std::time::{Duration, Instant};

use bitternfold::core::state::dependencies::{Dependencies, DependentJob};
use bitternfold::core::state::model::LoadedJob;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::plain_model::urgency;
use crate::support::*;

/// Which of the two jobs of each stage runs longer. Both are tried, as a traversal may
/// happen to try the longer of two paths first.
#[derive(Debug, Clone, Copy)]
enum LongerJob {
    First,
    Second,
}

/// A pipeline of stages of two jobs that depend on both jobs of the stage before, and of a
/// last job, which alone has a due time. Of the paths to a job each takes another time.
struct Pipeline {
    stages: usize,
    longer_job: LongerJob,
    start: Instant,
}

impl Pipeline {
    const SHORT_RUN_TIME: Duration = Duration::from_secs(20);
    const DUE: Duration = Duration::from_secs(1_000_000);

    fn job_count(&self) -> usize {
        2 * self.stages + 1
    }

    /// The jobs that each job of a stage names; those of stage `self.stages` are named by the
    /// last job.
    fn dependencies_of_stage(stage: usize) -> Vec<JobId> {
        match stage {
            0 => Vec::new(),
            _ => vec![job_id(2 * stage - 2), job_id(2 * stage - 1)],
        }
    }

    /// How much longer the longer job of a stage runs. For 31 stages all sums of these times
    /// differ.
    fn extra_run_time(stage: usize) -> Duration {
        Duration::from_nanos(1 << (stage % 31))
    }

    fn run_time(&self, number: usize) -> Duration {
        let is_longer = match self.longer_job {
            LongerJob::First => number.is_multiple_of(2),
            LongerJob::Second => !number.is_multiple_of(2),
        };
        if is_longer {
            Self::SHORT_RUN_TIME + Self::extra_run_time(number / 2)
        } else {
            Self::SHORT_RUN_TIME
        }
    }

    /// Adds the job with this number to the graph and returns how many visits that took.
    fn add_job(&self, graph: &mut Dependencies, number: usize) -> u64 {
        let is_last = number + 1 == self.job_count();
        let awaits = Self::dependencies_of_stage(number / 2);
        let job = DependentJob {
            id: job_id(number),
            awaits: &awaits,
            urgency: urgency(Priority::Low, is_last.then_some(self.start + Self::DUE)),
            run_time: self.run_time(number),
        };
        let visits_before = graph.visits();
        graph.add(&job, |_| true);
        graph.visits() - visits_before
    }

    /// The due time that the jobs of a stage inherit: all later stages have to fit before
    /// the due time of the last job.
    fn inherited_due(&self, stage: usize) -> Instant {
        let last_job = self.run_time(self.job_count() - 1);
        let later_stages =
            (stage + 1..self.stages).map(|later| Self::SHORT_RUN_TIME + Self::extra_run_time(later));
        self.start + Self::DUE - last_job - later_stages.sum::<Duration>()
    }

    fn check_inherited(&self, graph: &Dependencies) {
        for number in 0..2 * self.stages {
            let inherited = graph.inherited_urgency(job_id(number));
            assert_eq!(
                inherited.and_then(|urgency| urgency.due),
                Some(self.inherited_due(number / 2)),
                "due time that job {number} of {} stages inherits",
                self.stages
            );
        }
    }
}

/// Pipelines of growing length: a traversal that visits a job once for each path to it fails
/// at one of the first ones, and does not end at the later ones.
fn pipelines() -> impl Iterator<Item = Pipeline> {
    let start = start();
    [2, 8, 16, 31, 5_000].into_iter().flat_map(move |stages| {
        [LongerJob::First, LongerJob::Second].map(|longer_job| Pipeline {
            stages,
            longer_job,
            start,
        })
    })
}

// Guards against due times that are passed on once for each path through a pipeline, which
// made a new leader of 31 stages compute without end.
#[test]
fn a_due_time_is_passed_on_in_one_visit_of_each_job_of_a_pipeline() {
    for pipeline in pipelines() {
        let mut graph = Dependencies::default();
        let last = pipeline.job_count() - 1;
        for number in 0..last {
            pipeline.add_job(&mut graph, number);
        }
        let visits = pipeline.add_job(&mut graph, last);
        assert!(
            visits <= pipeline.job_count() as u64,
            "{visits} visits of {} jobs, {:?} longer",
            pipeline.job_count(),
            pipeline.longer_job
        );
        pipeline.check_inherited(&graph);
    }
}

/// A multiplier that is odd, so that the products with job numbers put them in another order.
const SHUFFLE_MULTIPLIER: u32 = 0x9E37_79B9;

// Guards against positions that are wrong for jobs that are added after their dependents, so
// that due times are passed on once for each path all the same.
#[test]
fn a_job_added_after_its_dependents_causes_at_most_two_visits_of_each_job() {
    for pipeline in pipelines().filter(|pipeline| pipeline.stages <= 31) {
        let mut numbers: Vec<usize> = (0..pipeline.job_count()).collect();
        numbers.sort_by_key(|number| (*number as u32).wrapping_mul(SHUFFLE_MULTIPLIER));
        let mut graph = Dependencies::default();
        for number in numbers {
            let visits = pipeline.add_job(&mut graph, number);
            // One to move it in the order, one to pass on its due time.
            assert!(
                visits <= 2 * pipeline.job_count() as u64,
                "{visits} visits of {} jobs for job {number}, {:?} longer",
                pipeline.job_count(),
                pipeline.longer_job
            );
        }
        pipeline.check_inherited(&graph);
    }
}

// Guards against changes that are passed on once for each path through a pipeline when its
// last job is cancelled and the others lose its due time.
#[test]
fn a_cancelled_last_job_causes_one_visit_of_each_job_of_its_pipeline() {
    for pipeline in pipelines() {
        let mut graph = Dependencies::default();
        for number in 0..pipeline.job_count() {
            pipeline.add_job(&mut graph, number);
        }
        let visits_before = graph.visits();
        let last = job_id(pipeline.job_count() - 1);
        assert!(graph.cancellation_stored(last).is_empty());
        let visits = graph.visits() - visits_before;
        assert!(
            visits <= pipeline.job_count() as u64,
            "{visits} visits of {} jobs, {:?} longer",
            pipeline.job_count(),
            pipeline.longer_job
        );
        for number in 0..2 * pipeline.stages {
            let inherited = graph.inherited_urgency(job_id(number));
            assert_eq!(
                inherited.and_then(|urgency| urgency.due),
                None,
                "due time of job {number}"
            );
        }
    }
}

// Guards against a takeover that passes due times on through the whole graph once for each job
// that it loads.
#[test]
fn a_new_leader_loads_a_pipeline_in_which_each_job_has_a_due_time_in_one_visit_of_each_edge() {
    const STAGES: u32 = 1_000;
    let now = start();
    let with_due_time = |number: u32, awaits: &[u32]| {
        let mut record = job_awaiting(number, awaits);
        record.spec.deadline_s = Some(1e6);
        LoadedJob { record, arrival: now }
    };
    // In the order of their ids, as the state service lists them.
    let mut jobs = vec![with_due_time(0, &[]), with_due_time(1, &[])];
    for first in (2..2 * STAGES).step_by(2) {
        let stage_before = [first - 2, first - 1];
        jobs.extend([first, first + 1].map(|number| with_due_time(number, &stage_before)));
    }
    let edges: usize = jobs.iter().map(|job| job.record.spec.awaits.len()).sum();
    let most = (jobs.len() + edges) as u64;
    let mut model = model(7);
    model.load_jobs(jobs);
    let visits = model.dependencies().visits();
    assert!(visits <= most, "{visits} visits, {most} jobs and edges");
    assert!(model.dependencies().unresolved().is_empty());
    // All later stages have to fit before the due time of the last ones.
    let run_time = model.predict(&job(0, 1, 1.0));
    let due = now + Duration::from_secs(1_000_000) - run_time * (STAGES - 1);
    let inherited = model.dependencies().inherited_urgency(job_id(0));
    assert_eq!(inherited.and_then(|urgency| urgency.due), Some(due));
}
