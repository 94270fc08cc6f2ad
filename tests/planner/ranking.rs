//! The order of the queue: by priority, then by how long a job has waited without a start, by
//! quota, deadline and arrival.

use bitternfold::core::scheduling::ranking::Tier;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn jobs_start_by_priority_then_arrival() {
    let now = start();
    let mut model = model(1);
    add_machine(&mut model, "i-1", "small", "north", false, now);
    let mut low = job(1, 1, 8.0);
    low.priority = Priority::Low;
    model.add_job(job_record(low), now);
    model.add_job(job_record(job(2, 1, 8.0)), now + secs(1));
    model.add_job(job_record(job(3, 1, 8.0)), now);
    model.run_scheduling_round(now + secs(1));
    assert_eq!(tasks_on(&model, "i-1"), ["job-000003/0"]);
}

#[test]
fn a_job_at_its_teams_limit_does_not_block_the_jobs_behind_it() {
    let now = start();
    let mut model = model(1);
    add_machine(&mut model, "i-1", "large", "north", false, now);
    add_machine(&mut model, "i-2", "large", "north", false, now);
    let mut big = job(1, 8, 8.0);
    big.team = "red".into();
    model.add_job(job_record(big), now);
    model.add_job(job_record(job(2, 3, 8.0)), now);
    let round = model.run_scheduling_round(now);
    assert_eq!(
        (round.placed_in_order, round.backfilled),
        (8, 0),
        "5 tasks of red, whose limit is 40 CPUs, then 3 of blue"
    );
}

#[test]
fn under_load_jobs_that_can_still_be_in_time_come_before_late_ones() {
    // In the order of arrival, the job that is already late would come first, and with free
    // capacity for one job all others would be late in turn.
    let now = start();
    let submitted = |n: u32, deadline_s: Option<f64>, age_s: u64, team: &str| {
        let mut spec = job(n, 1, 8.0);
        spec.deadline_s = deadline_s;
        spec.team = team.into();
        (job_record(spec), now - secs(age_s))
    };
    let late = submitted(1, Some(50.0), 100, "blue");
    let in_time = submitted(2, Some(100.0), 20, "blue");
    let no_deadline = submitted(3, None, 10, "blue");
    let within_quota = submitted(4, None, 5, "red");
    let starved = submitted(5, Some(50.0), 1000, "blue");
    let jobs = [starved, late, in_time, no_deadline, within_quota];
    let mut model = model(1);
    jobs.iter()
        .for_each(|(record, arrival)| model.add_job(record.clone(), *arrival));
    let ranks = model.ranks(now);
    let mut ids: Vec<JobId> = ranks.keys().copied().collect();
    ids.sort_by_key(|id| ranks[id]);
    let ids: Vec<String> = ids.iter().map(ToString::to_string).collect();
    // Job 5 has waited long without a start, and job 4 is within red's quota. Job 2 comes after
    // job 3, which has no deadline, as it can wait for another 20 s. Job 1 has missed its
    // deadline.
    let expected = [5, 4, 3, 2, 1].map(|n| format!("job-{n:06}"));
    assert_eq!(ids, expected);
}

#[test]
fn under_load_the_job_with_the_least_work_comes_first_among_those_with_deadlines() {
    // In the order of arrival or of latest start, a large job would make ten small ones late.
    let now = start();
    let mut model = model(1);
    add_machine(&mut model, "i-1", "small", "north", false, now);
    for (n, tasks) in [(1, 40), (2, 5), (3, 1)] {
        let mut spec = job(n, tasks, 8.0);
        spec.deadline_s = Some(200.0);
        model.add_job(job_record(spec), now + secs(u64::from(n)));
    }
    model.run_scheduling_round(now + secs(4));
    assert_eq!(tasks_on(&model, "i-1"), ["job-000003/0"]);
}

#[test]
fn a_quota_covers_a_teams_earliest_jobs_only() {
    let now = start();
    let mut model = model(1);
    for n in 1..4 {
        let mut spec = job(n, 1, 8.0);
        spec.team = "red".into();
        model.add_job(job_record(spec), now + secs(u64::from(n)));
    }
    let ranks = model.ranks(now + secs(9));
    let tiers: Vec<Tier> = ranks.values().map(|r| r.tier).collect();
    assert_eq!(
        tiers,
        [Tier::WithinQuota, Tier::WithinQuota, Tier::InTime],
        "red's quota is 16 CPUs, and each job needs 8"
    );
}
