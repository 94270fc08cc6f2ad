//! When a job that depends on others is placed, started and ranked, and when it counts for quotas
//! and rentals.

use bitternfold::core::scheduling::ranking::Tier;
use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn a_job_is_placed_only_once_its_dependencies_are_stored_as_done() {
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    model.run_scheduling_round(now);
    let placed = |m: &ClusterModel, n: usize| m.jobs().get(&job_id(n)).map_or(0, |j| j.place_count);
    assert_eq!((placed(&model, 1), placed(&model, 2)), (1, 0));
    finish_tasks(&mut model, &machine, 2, now);
    // All tasks of job 1 are done, but that isn't stored yet.
    model.run_scheduling_round(now);
    assert_eq!(placed(&model, 2), 0, "done, but not stored");
    let ended = now + secs(1);
    assert_eq!(store_due_writes(&mut model, ended), [(job_id(1), JobState::Done)]);
    model.run_scheduling_round(ended);
    assert_eq!(placed(&model, 2), 1);
    assert_eq!(model.ready_since(&model.jobs()[&job_id(2)]), ended);
}

#[test]
fn the_final_state_of_a_job_is_an_urgent_write_only_if_others_depend_on_it() {
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![])] {
        model.add_job(job_awaiting(n, &awaits), now);
    }
    model.run_scheduling_round(now);
    finish_tasks(&mut model, &machine, 2, now);
    let writes = model.take_due_writes(now);
    let finals = writes.iter().filter_map(|w| match w {
        PendingWrite::Final { id, .. } => Some((*id, w.to_atomic_write().urgent)),
        _ => None,
    });
    assert_eq!(
        finals.collect::<Vec<_>>(),
        [(job_id(1), true), (job_id(3), false)]
    );
}

#[test]
fn no_start_is_sent_for_a_placed_job_that_waits_for_a_dependency() {
    // Tests the last check before a command is sent, whatever led to the placement.
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    for n in [1, 2] {
        let task = TaskId {
            job: job_id(n),
            index: 0,
        };
        let attempt = model.new_attempt();
        model.place(&machine, task, attempt, false, now);
    }
    store_due_writes(&mut model, now);
    let commands = model.take_due_batches(now, 9);
    let started_jobs: Vec<JobId> = commands
        .iter()
        .flat_map(|due| &due.batch.commands)
        .filter_map(|c| match c {
            Command::Start { task, .. } => Some(task.job),
            _ => None,
        })
        .collect();
    assert_eq!(started_jobs, [job_id(1)]);
}

#[test]
fn a_job_that_waits_for_a_dependency_takes_no_quota_and_its_age_counts_once_it_is_ready() {
    let now = start();
    let (mut model, _) = model_with_machine(now);
    // Red's quota is 16 CPUs. Job 1 needs 12, which leaves enough for job 3 with 4, but not if
    // job 2 with 12 counts.
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![])] {
        let mut record = job_awaiting(n, &awaits);
        (record.spec.team, record.spec.cpus) = ("red".into(), if n == 3 { 4.0 } else { 12.0 });
        model.add_job(record, now - secs(300) + secs(u64::from(n)));
    }
    let ranks = model.ranks(now);
    assert!(!ranks.contains_key(&job_id(2)), "job 2 isn't ready");
    let waiting: Vec<JobId> = model.jobs_waiting_for_capacity().map(|j| j.spec.id).collect();
    assert_eq!(waiting, [job_id(1), job_id(3)]);
    assert_eq!(
        ranks[&job_id(3)].tier,
        Tier::Starved,
        "job 3 has waited since its arrival"
    );
    model
        .set_up()
        .jobs
        .get_mut(&job_id(3))
        .expect("known")
        .done
        .insert(0);
    assert_eq!(
        model.ranks(now)[&job_id(3)].tier,
        Tier::WithinQuota,
        "job 2 takes no part of the quota"
    );
    model.resolve_dependency(job_id(1), DependencyOutcome::Done(Some(now - secs(5))));
    assert_eq!(model.ready_since(&model.jobs()[&job_id(2)]), now - secs(5));
    assert_ne!(
        model.ranks(now)[&job_id(2)].tier,
        Tier::Starved,
        "job 2 has waited for 5 s, not for 300 s"
    );
}

#[test]
fn no_machine_is_rented_for_a_job_that_waits_for_a_dependency() {
    let now = start();
    let mut model = model(7);
    model.add_job(job_awaiting(1, &[9]), now);
    assert!(
        model.plan_fleet(now).is_empty(),
        "no machine is rented while the job waits"
    );
    model.resolve_dependency(job_id(9), DependencyOutcome::Done(None));
    assert!(
        !model.plan_fleet(now).is_empty(),
        "machines are rented once the job is ready"
    );
}

#[test]
fn a_job_is_ranked_by_the_urgency_of_the_job_that_depends_on_it() {
    let now = start();
    let (mut model, _) = model_with_machine(now);
    let mut first = job_awaiting(1, &[]);
    first.spec.priority = Priority::Low;
    model.add_job(first, now);
    model.add_job(job_awaiting(2, &[]), now);
    let before = model.ranks(now);
    assert!(before[&job_id(2)] < before[&job_id(1)]);
    let mut last = job_awaiting(3, &[1]);
    (last.spec.priority, last.spec.deadline_s) = (Priority::High, Some(100.0));
    model.add_job(last, now);
    let after = model.ranks(now);
    assert!(
        after[&job_id(1)] < after[&job_id(2)],
        "job 1 inherits the urgency of job 3"
    );
    // Job 1 is due 60 s, the predicted run time of job 3, before job 3 is.
    let inherited = model
        .dependencies()
        .inherited_urgency(job_id(1))
        .expect("job 3 depends on it");
    assert_eq!(inherited.due, Some(now + secs(40)));
    assert_eq!(
        model.effective_priority(&model.jobs()[&job_id(1)]),
        Priority::High
    );
}
