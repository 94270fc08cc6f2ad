//! When a job that waits for others is placed, started, ranked and counted.

use bitternfold::core::scheduling::ranking::Tier;
use bitternfold::core::state::dependencies::DependencyOutcome;
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn a_job_starts_only_once_all_that_it_needs_are_stored_as_done() {
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    model.plan(now);
    let placed = |m: &ClusterModel, n: usize| m.jobs().get(&id(n)).map_or(0, |j| j.place_count);
    assert_eq!((placed(&model, 1), placed(&model, 2)), (1, 0));
    end_tasks(&mut model, &machine, 2, now);
    // All tasks are done, which isn't stored yet.
    model.plan(now);
    assert_eq!(placed(&model, 2), 0, "done, but not stored");
    let ended = now + secs(1);
    assert_eq!(store_all(&mut model, ended), [(id(1), JobState::Done)]);
    model.plan(ended);
    assert_eq!(placed(&model, 2), 1);
    assert_eq!(model.ready_since(&model.jobs()[&id(2)]), ended);
}

#[test]
fn the_end_of_a_job_that_others_wait_for_is_stored_before_other_ends() {
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![])] {
        model.add_job(job_awaiting(n, &awaits), now);
    }
    model.plan(now);
    end_tasks(&mut model, &machine, 2, now);
    let writes = model.take_due_writes(now);
    let finals = writes.iter().filter_map(|w| match w {
        PendingWrite::Final { id, .. } => Some((*id, w.to_atomic_write().urgent)),
        _ => None,
    });
    assert_eq!(finals.collect::<Vec<_>>(), [(id(1), true), (id(3), false)]);
}

#[test]
fn no_start_is_sent_for_a_job_that_waits_whatever_led_to_its_placement() {
    // The last check before a command is sent.
    let now = start();
    let (mut model, machine) = model_with_machine(now);
    model.add_job(job_awaiting(1, &[]), now);
    model.add_job(job_awaiting(2, &[1]), now);
    for n in [1, 2] {
        let task = TaskId { job: id(n), index: 0 };
        let attempt = model.new_attempt();
        model.place(&machine, task, attempt, false, now);
    }
    store_all(&mut model, now);
    let commands = model.take_due_commands(now, 9);
    let started: Vec<JobId> = commands
        .iter()
        .flat_map(|due| &due.batch.commands)
        .filter_map(|c| match c {
            Command::Start { task, .. } => Some(task.job),
            _ => None,
        })
        .collect();
    assert_eq!(started, [id(1)]);
}

#[test]
fn a_job_that_waits_holds_nothing_and_ages_from_when_it_is_ready() {
    let now = start();
    let (mut model, _) = model_with_machine(now);
    // Red's quota is 16 CPUs: the first job of 12 leaves no room for another.
    for (n, awaits) in [(1, vec![]), (2, vec![1]), (3, vec![])] {
        let mut record = job_awaiting(n, &awaits);
        (record.spec.team, record.spec.cpus) = ("red".into(), if n == 3 { 4.0 } else { 12.0 });
        model.add_job(record, now - secs(300) + secs(u64::from(n)));
    }
    let ranks = model.ranks(now);
    assert!(!ranks.contains_key(&id(2)), "it has no place in the queue");
    let waiting: Vec<JobId> = model.jobs_waiting_for_capacity().map(|j| j.spec.id).collect();
    assert_eq!(waiting, [id(1), id(3)]);
    assert_eq!(ranks[&id(3)].tier, Tier::Starved, "it waits since it arrived");
    model.set_up().jobs.get_mut(&id(3)).expect("known").done.insert(0);
    assert_eq!(
        model.ranks(now)[&id(3)].tier,
        Tier::WithinQuota,
        "the one that waits takes no part"
    );
    model.resolve_dependency(id(1), DependencyOutcome::Done(Some(now - secs(5))));
    assert_eq!(model.ready_since(&model.jobs()[&id(2)]), now - secs(5));
    assert_ne!(
        model.ranks(now)[&id(2)].tier,
        Tier::Starved,
        "it waits for 5 s, not for 300"
    );
}

#[test]
fn a_job_that_waits_rents_nothing() {
    let now = start();
    let mut model = model(7);
    model.add_job(job_awaiting(1, &[9]), now);
    assert!(
        model.plan_fleet(now).is_empty(),
        "nothing is rented for a job that waits"
    );
    model.resolve_dependency(id(9), DependencyOutcome::Done(None));
    assert!(!model.plan_fleet(now).is_empty(), "it is once the job is ready");
}

#[test]
fn a_pipeline_is_ranked_by_its_last_job() {
    let now = start();
    let (mut model, _) = model_with_machine(now);
    let mut first = job_awaiting(1, &[]);
    first.spec.priority = Priority::Low;
    model.add_job(first, now);
    model.add_job(job_awaiting(2, &[]), now);
    let before = model.ranks(now);
    assert!(before[&id(2)] < before[&id(1)]);
    let mut last = job_awaiting(3, &[1]);
    (last.spec.priority, last.spec.deadline_s) = (Priority::High, Some(100.0));
    model.add_job(last, now);
    let after = model.ranks(now);
    assert!(
        after[&id(1)] < after[&id(2)],
        "it inherits the urgency of the last"
    );
    // The last one's own run is left out of the time that the first has.
    let inherited = model
        .dependencies()
        .inherited_urgency(id(1))
        .expect("it is needed");
    assert_eq!(inherited.due, Some(now + secs(40)));
    assert_eq!(model.priority(&model.jobs()[&id(1)]), Priority::High);
}
