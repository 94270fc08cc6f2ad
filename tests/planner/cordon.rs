//! Machines that fail the tasks of several jobs are cordoned, for a bounded time.

use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn a_machine_that_fails_the_tasks_of_several_jobs_is_cordoned() {
    // Jobs that succeed elsewhere, or more jobs than are likely to be faulty at once.
    for (jobs, succeeds_elsewhere) in [(2, true), (3, false)] {
        let now = start();
        let mut model = model(1);
        add_machine(&mut model, "i-1", "small", "north", false, now);
        for n in 1..=jobs {
            model.add_job(job_record(job(n, 2, 1.0)), now);
        }
        if succeeds_elsewhere {
            let first = model.set_up().jobs.values_mut().next().expect("a job");
            first.waiting.remove(1);
            first.done.insert(1);
        }
        model.plan(now);
        let id = MachineId::from("i-1");
        end_all_tasks(&mut model, "i-1", ExitReason::Failed, 2, now + secs(1));
        assert!(model.machines()[&id].cordoned_since.is_some(), "{jobs} jobs");
        add_machine(&mut model, "i-2", "small", "north", false, now + secs(1));
        model.plan(now + secs(1));
        assert!(!tasks_on(&model, "i-2").is_empty() && tasks_on(&model, "i-1").is_empty());
    }
}

#[test]
fn jobs_that_fail_everywhere_cordon_no_machine_and_take_little() {
    // Submitted with a mistake: two such jobs fail wherever they are tried,
    // beside a job that succeeds. Only their pauses grow, and not for long.
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
        model.plan(now);
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
    let longest = model
        .jobs()
        .values()
        .filter_map(|j| j.pause_until)
        .max()
        .expect("a pause");
    assert!(longest <= now + secs(20));
    // One failed by chance only: it is retried in time, and then runs in full.
    let job = model.set_up().jobs.get_mut(&failing[0]).expect("known");
    job.done.insert(0);
    job.waiting.remove(0);
    job.failures.clear();
    job.pause_until = None;
    model.plan(now + secs(1));
    assert_eq!(
        model.jobs()[&failing[0]].waiting.count(),
        0,
        "15 tasks on 8 machines of 8 CPUs"
    );
}

#[test]
fn a_job_whose_other_tasks_run_on_does_not_stay_on_probation() {
    // Three faulty machines among good ones, and no task is done for long: tried
    // on one at a time, its other tasks would wait despite free machines.
    let now = start();
    let mut model = model(1);
    let ids: Vec<String> = (1..=4).map(|i| format!("i-{i}")).collect();
    ids.iter()
        .for_each(|id| add_machine(&mut model, id, "small", "north", false, now));
    model.add_job(job_record(job(1, 4, 8.0)), now);
    model.plan(now);
    let mut message = heartbeat("i-1", "small", "north", false, 1, 2);
    message.tasks = reported_running(&model, &"i-1".into());
    model.apply_heartbeat(&message, now + secs(1));
    for id in &ids[1..] {
        end_all_tasks(&mut model, id, ExitReason::Failed, 2, now + secs(2));
    }
    let only = model.jobs().values().next().expect("the job");
    assert_eq!(
        model.placement_limit(only, now + secs(3)),
        1,
        "so far it may fail everywhere"
    );
    assert!(
        model.placement_limit(only, now + secs(60)) >= 4,
        "one task runs on and on: all are admitted"
    );
    add_machine(&mut model, "i-5", "small", "north", false, now + secs(60));
    add_machine(&mut model, "i-6", "small", "north", false, now + secs(60));
    model.plan(now + secs(60));
    assert_eq!(tasks_on(&model, "i-5").len() + tasks_on(&model, "i-6").len(), 2);
}

#[test]
fn a_cordon_ends_whether_or_not_the_machine_runs_something() {
    // An empty machine goes back to the cloud, but the cloud may refuse that for
    // long. One with long tasks stays, and with it its free capacity. The cause of either
    // may have ended.
    for busy in [false, true] {
        let now = start();
        let mut model = model(1);
        add_machine(&mut model, "i-1", "small", "north", false, now);
        if busy {
            model.add_job(job_record(job(1, 1, 4.0)), now);
            model.plan(now);
        }
        let id = MachineId::from("i-1");
        model
            .set_up()
            .machines
            .get_mut(&id)
            .expect("known")
            .cordoned_since = Some(now);
        model.add_job(job_record(job(2, 1, 4.0)), now);
        model.plan(now + secs(30));
        assert_eq!(tasks_on(&model, "i-1").len(), usize::from(busy), "still cordoned");
        let mut message = heartbeat("i-1", "small", "north", false, 1, 9);
        message.tasks = reported_running(&model, &id);
        model.apply_heartbeat(&message, now + secs(60));
        model.plan(now + secs(60));
        assert_eq!(tasks_on(&model, "i-1").len(), 1 + usize::from(busy));
    }
}
