//! A machine on which tasks of several jobs fail is cordoned, for a bounded time.

use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn a_machine_on_which_tasks_of_several_jobs_fail_is_cordoned() {
    // Two jobs of which one is proven by a task that is done; or three jobs, as so many are
    // unlikely to be faulty at the same time.
    for (jobs, one_is_proven) in [(2, true), (3, false)] {
        let now = start();
        let mut model = model(1);
        add_machine(&mut model, "i-1", "small", "north", false, now);
        for n in 1..=jobs {
            model.add_job(job_record(job(n, 2, 1.0)), now);
        }
        if one_is_proven {
            let first = model.set_up().jobs.values_mut().next().expect("a job");
            first.waiting.remove(1);
            first.done.insert(1);
        }
        model.run_scheduling_round(now);
        let id = MachineId::from("i-1");
        end_all_tasks(&mut model, "i-1", ExitReason::Failed, 2, now + secs(1));
        assert!(model.machines()[&id].cordoned_since.is_some(), "{jobs} jobs");
        add_machine(&mut model, "i-2", "small", "north", false, now + secs(1));
        model.run_scheduling_round(now + secs(1));
        assert!(!tasks_on(&model, "i-2").is_empty() && tasks_on(&model, "i-1").is_empty());
    }
}

#[test]
fn jobs_that_fail_everywhere_cordon_no_machine_and_make_few_attempts() {
    // Two jobs were submitted with a mistake, so their tasks fail on every machine. Only the
    // pauses between their attempts grow, up to a bound.
    let mut now = start();
    let mut model = model(1);
    let ids: Vec<String> = (1..=8).map(|i| format!("i-{i}")).collect();
    ids.iter()
        .for_each(|id| add_machine(&mut model, id, "small", "north", false, now));
    for n in [1, 2] {
        model.add_job(job_record(job(n, 16, 4.0)), now);
    }
    let failing: Vec<JobId> = model.jobs().keys().copied().collect();
    let mut attempts = 0;
    for i in 0..300u64 {
        now += secs(1);
        model.run_scheduling_round(now);
        for id in &ids {
            attempts += tasks_on(&model, id).len();
            end_all_tasks(&mut model, id, ExitReason::Failed, 10 + i * 2, now);
        }
    }
    assert!(model
        .machines()
        .values()
        .all(|machine| machine.cordoned_since.is_none()));
    assert!((18..80).contains(&attempts), "{attempts} attempts in 300 s");
    let last_pause_end = model
        .jobs()
        .values()
        .filter_map(|j| j.pause_until)
        .max()
        .expect("a pause");
    assert!(last_pause_end <= now + secs(20));
    // One of the jobs failed by chance only: it is retried in time, and once one of its tasks
    // is done, all others are placed.
    let job = model.set_up().jobs.get_mut(&failing[0]).expect("known");
    job.done.insert(0);
    job.waiting.remove(0);
    job.failures.clear();
    job.pause_until = None;
    model.run_scheduling_round(now + secs(1));
    assert_eq!(
        model.jobs()[&failing[0]].waiting.count(),
        0,
        "15 tasks on 8 machines of 8 CPUs"
    );
}

#[test]
fn a_job_on_probation_may_run_all_its_tasks_once_one_keeps_running() {
    // Three of the machines are faulty, and no task is done for a long time. If the job were
    // limited to one task at a time until then, the others would wait despite free machines.
    let now = start();
    let mut model = model(1);
    let ids: Vec<String> = (1..=4).map(|i| format!("i-{i}")).collect();
    ids.iter()
        .for_each(|id| add_machine(&mut model, id, "small", "north", false, now));
    model.add_job(job_record(job(1, 4, 8.0)), now);
    model.run_scheduling_round(now);
    let mut message = heartbeat("i-1", "small", "north", false, 1, 2);
    message.tasks = reported_running(&model, &"i-1".into());
    model.apply_heartbeat(&message, now + secs(1));
    for id in &ids[1..] {
        end_all_tasks(&mut model, id, ExitReason::Failed, 2, now + secs(2));
    }
    let job = model.jobs().values().next().expect("the job");
    assert_eq!(
        model.placement_limit(job, now + secs(3)),
        1,
        "its tasks may still fail everywhere"
    );
    assert!(
        model.placement_limit(job, now + secs(60)) >= 4,
        "one task has survived its trial, so all four may be placed"
    );
    add_machine(&mut model, "i-5", "small", "north", false, now + secs(60));
    add_machine(&mut model, "i-6", "small", "north", false, now + secs(60));
    model.run_scheduling_round(now + secs(60));
    assert_eq!(tasks_on(&model, "i-5").len() + tasks_on(&model, "i-6").len(), 2);
}

#[test]
fn a_cordon_ends_whether_or_not_the_machine_is_empty() {
    // An empty cordoned machine is released, but the cloud may refuse the release for a long
    // time. One with long tasks stays, and its free capacity would stay unused. In both cases
    // the cause of the cordon may be over.
    for busy in [false, true] {
        let now = start();
        let mut model = model(1);
        add_machine(&mut model, "i-1", "small", "north", false, now);
        if busy {
            model.add_job(job_record(job(1, 1, 4.0)), now);
            model.run_scheduling_round(now);
        }
        let id = MachineId::from("i-1");
        model
            .set_up()
            .machines
            .get_mut(&id)
            .expect("known")
            .cordoned_since = Some(now);
        model.add_job(job_record(job(2, 1, 4.0)), now);
        model.run_scheduling_round(now + secs(30));
        assert_eq!(tasks_on(&model, "i-1").len(), usize::from(busy), "still cordoned");
        let mut message = heartbeat("i-1", "small", "north", false, 1, 9);
        message.tasks = reported_running(&model, &id);
        model.apply_heartbeat(&message, now + secs(60));
        model.run_scheduling_round(now + secs(60));
        assert_eq!(tasks_on(&model, "i-1").len(), 1 + usize::from(busy));
    }
}
