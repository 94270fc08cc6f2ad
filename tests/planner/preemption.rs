//! Young over-quota tasks are preempted for urgent work, within bounds.

use std::time::Duration;

use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

/// Fills four machines with a job of low priority that is placed in order. When it has run
/// for `run`, a job of normal priority with a deadline arrives and finds no free capacity. Returns the
/// model after the next round, and the number of tasks that the round stops.
fn preempt_for_urgent_job(
    edit_low: impl Fn(&mut JobSpec),
    edit_urgent: impl Fn(&mut JobSpec),
    run: Duration,
) -> (ClusterModel, usize) {
    let now = start();
    let mut model = model(5);
    for i in 0..4 {
        add_machine(&mut model, &format!("i-{i}"), "small", "north", false, now);
    }
    let mut spec = job(1, 8, 4.0);
    spec.priority = Priority::Low;
    spec.estimate_s = 300.0;
    edit_low(&mut spec);
    model.add_job(job_record(spec), now);
    model.run_scheduling_round(now);
    mark_all_running(&mut model, now);
    let later = now + run;
    for i in 0..4 {
        let id = format!("i-{i}");
        let mut message = heartbeat(&id, "small", "north", false, 5, 2);
        message.tasks = reported_running(&model, &id.as_str().into());
        model.apply_heartbeat(&message, later);
    }
    let mut spec = job(2, 3, 4.0);
    spec.deadline_s = Some(120.0);
    edit_urgent(&mut spec);
    model.add_job(job_record(spec), later);
    model.run_scheduling_round(later);
    let slots = model
        .machines()
        .values()
        .flat_map(|machine| machine.slots.values());
    let stopped = slots.filter(|s| s.stop_grace.is_some()).count();
    (model, stopped)
}

#[test]
fn young_over_quota_tasks_are_preempted_for_urgent_work() {
    // A team without a quota has filled all machines in order, so that none of its tasks is
    // shadow load, right before a job with a deadline arrives.
    let unchanged = |_: &mut JobSpec| {};
    let (model, stopped) = preempt_for_urgent_job(unchanged, unchanged, secs(20));
    assert_eq!(stopped, 3);
    let ids: Vec<JobId> = model.jobs().keys().copied().collect();
    assert_eq!(
        model.jobs()[&ids[1]].waiting.count(),
        0,
        "the urgent job's tasks are placed at once"
    );
    assert!(
        model.jobs()[&ids[0]].pause_until.is_some(),
        "the over-quota job pauses, so that it doesn't fill the next gap"
    );
    // The urgent job needs more than may be preempted: two of the over-quota tasks are spared.
    let (_, stopped) = preempt_for_urgent_job(unchanged, |s| s.tasks = 20, secs(20));
    assert_eq!(stopped, 6);
    // After 80 s, too much work would be lost.
    let (_, stopped) = preempt_for_urgent_job(unchanged, unchanged, secs(80));
    assert_eq!(stopped, 0, "the tasks are no longer young");
    let (_, stopped) = preempt_for_urgent_job(|s| s.deadline_s = Some(900.0), unchanged, secs(20));
    assert_eq!(stopped, 0, "the over-quota job has a deadline");
    // Red's quota is 16 CPUs.
    let within_quota = |s: &mut JobSpec| (s.team, s.tasks) = ("red".into(), 4);
    let (_, stopped) = preempt_for_urgent_job(within_quota, |s| s.tasks = 8, secs(20));
    assert_eq!(stopped, 0, "the job is within its team's quota");
    let (_, stopped) = preempt_for_urgent_job(unchanged, |s| s.priority = Priority::Low, secs(20));
    assert_eq!(stopped, 0, "the urgent job has no higher priority");
    let (_, stopped) = preempt_for_urgent_job(unchanged, |s| s.deadline_s = Some(10.0), secs(20));
    assert_eq!(stopped, 0, "the urgent job can't meet its deadline anyway");
}

#[test]
fn further_preemptions_do_not_prolong_the_pause_of_an_over_quota_job() {
    // If each preemption prolonged the pause, the job's other tasks would wait despite free
    // capacity that the blocked head can't use, for as long as preemptions go on.
    let unchanged = |_: &mut JobSpec| {};
    let (mut model, stopped) = preempt_for_urgent_job(unchanged, unchanged, secs(20));
    assert_eq!(stopped, 3);
    let over_quota = *model.jobs().keys().next().expect("the over-quota job");
    let pause_end = model.jobs()[&over_quota].pause_until.expect("a pause");
    let mut urgent = job(3, 1, 4.0);
    urgent.deadline_s = Some(120.0);
    let before_pause_end = pause_end - secs(1);
    for i in 0..4 {
        let id = format!("i-{i}");
        let mut message = heartbeat(&id, "small", "north", false, 5, 3);
        message.tasks = reported_running(&model, &id.as_str().into());
        model.apply_heartbeat(&message, before_pause_end);
    }
    model.add_job(job_record(urgent), before_pause_end);
    model.run_scheduling_round(before_pause_end);
    let slots = model
        .machines()
        .values()
        .flat_map(|machine| machine.slots.values());
    assert_eq!(
        slots.filter(|s| s.stop_grace.is_some()).count(),
        4,
        "one more task is stopped"
    );
    assert_eq!(model.jobs()[&over_quota].pause_until, Some(pause_end));
}
