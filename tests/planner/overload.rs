//! Under sustained overload no job waits for ever, whatever its priority, team or size.

use std::collections::HashMap;

use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use proptest::prelude::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn jobs_of_every_priority_team_and_size_start_in_time_under_overload() {
    // For ten minutes, nearly twice as much work arrives as the machines can do. Still every
    // job starts within four minutes, whatever its priority, team or size. After the
    // overload all jobs are done, also the widest.
    let now = start();
    let mut model = model(5);
    for i in 0..4 {
        add_machine(&mut model, &format!("i-{i}"), "small", "north", false, now);
    }
    let mut arrived: HashMap<JobId, (u64, u32)> = HashMap::new();
    let mut submitted = 0;
    let mut second = 0;
    while second < 600 || model.jobs().values().any(|j| !j.is_complete()) {
        let at = now + secs(second);
        let mut submit_every = |model: &mut ClusterModel, every: u64, tasks: u32, priority: Priority| {
            if second < 600 && second % every == 0 {
                submitted += 1;
                let mut spec = job(submitted, tasks, 4.0);
                spec.priority = priority;
                spec.team = if submitted % 2 == 0 { "red" } else { "blue" }.into();
                spec.class = format!("{priority:?}");
                spec.estimate_s = 20.0;
                spec.deadline_s = (submitted % 3 > 0).then_some(60.0);
                arrived.insert(spec.id, (second, tasks));
                model.add_job(job_record(spec), at);
            }
        };
        submit_every(&mut model, 10, 3, Priority::High);
        submit_every(&mut model, 40, 8, Priority::Normal);
        submit_every(&mut model, 120, 24, Priority::Low);
        simulate_second(&mut model, second, at, 20);
        for job in model.jobs().values().filter(|job| !job.has_started()) {
            let waited = second - arrived[&job.spec.id].0;
            assert!(
                waited < 220,
                "{} of {:?} has waited {waited} s",
                job.spec.id,
                job.spec.priority
            );
        }
        second += 1;
        assert!(second < 1800, "jobs are left long after the overload");
    }
    assert!(second > 900, "no overload: all jobs were done after {second} s");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// However many jobs of higher priority keep arriving, the widest arrays of every class
    /// and team start well within four minutes.
    #[test]
    fn wide_arrays_start_in_time_under_any_overload_of_higher_priority(
        wide_tasks in 8..60u32,
        deadline_s in proptest::option::of(10..90u32),
        jobs_per_s in 1..4u32,
        run_s in 10..40u64,
    ) {
        let now = start();
        let mut model = model(5);
        for i in 0..4 {
            add_machine(&mut model, &format!("i-{i}"), "small", "north", false, now);
        }
        let mut wide_jobs = Vec::new();
        for (n, team) in ["red", "blue"].into_iter().enumerate() {
            for priority in [Priority::Low, Priority::Normal] {
                let mut spec = job(wide_jobs.len() as u32 + 900, wide_tasks, 4.0);
                spec.team = team.into();
                spec.class = format!("wide-{n}");
                spec.priority = priority;
                spec.deadline_s = deadline_s.map(f64::from);
                wide_jobs.push(spec.id);
                model.add_job(job_record(spec), now);
            }
        }
        let mut started_at: HashMap<JobId, u64> = HashMap::new();
        for second in 0..240u64 {
            let at = now + secs(second);
            // More high-priority work than the machines can ever do.
            for k in 0..jobs_per_s {
                let mut spec = job(10_000 + (second as u32) * 8 + k, 4, 4.0);
                spec.priority = Priority::High;
                model.add_job(job_record(spec), at);
            }
            simulate_second(&mut model, second, at, run_s);
            for id in &wide_jobs {
                if model.jobs().get(id).is_none_or(|j| j.has_started()) {
                    started_at.entry(*id).or_insert(second);
                }
            }
        }
        for id in &wide_jobs {
            let at = started_at.get(id).copied();
            prop_assert!(at.is_some_and(|s| s < 220), "{} started at {:?}", id, at);
        }
    }
}
