//! Young over-quota tasks are preempted for urgent work, within bounds.

use std::time::Duration;

use bitternfold::core::ClusterModel;
use bitternfold::wire::*;

use crate::fixtures::*;
use crate::support::*;

/// Machines full of a job of low priority that was started in order and has
/// run for `run`, and a job of ordinary priority that then finds no room. Returns
/// the number of tasks that the next round preempts for it.
fn stopped_for_urgent_work(
    set_low: impl Fn(&mut JobSpec),
    set_urgent: impl Fn(&mut JobSpec),
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
    set_low(&mut spec);
    model.add_job(job_record(spec), now);
    model.plan(now);
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
    set_urgent(&mut spec);
    model.add_job(job_record(spec), later);
    model.plan(later);
    let slots = model
        .machines()
        .values()
        .flat_map(|machine| machine.slots.values());
    let stopped = slots.filter(|s| s.stop_grace.is_some()).count();
    (model, stopped)
}

#[test]
fn young_over_quota_tasks_are_preempted_for_urgent_work() {
    // A team without a quota filled all machines in order, so that none of its tasks
    // was shadow load, right before work with a deadline arrived.
    let as_is = |_: &mut JobSpec| {};
    let (model, stopped) = stopped_for_urgent_work(as_is, as_is, secs(20));
    assert_eq!(stopped, 3);
    let ids: Vec<JobId> = model.jobs().keys().copied().collect();
    assert_eq!(
        model.jobs()[&ids[1]].waiting.count(),
        0,
        "they are placed at once"
    );
    assert!(
        model.jobs()[&ids[0]].pause_until.is_some(),
        "the over-quota job refills no gaps"
    );
    // More is needed than may be preempted: two of the over-quota tasks go on.
    let (_, stopped) = stopped_for_urgent_work(as_is, |s| s.tasks = 20, secs(20));
    assert_eq!(stopped, 6);
    // Too much work would be lost.
    let (_, stopped) = stopped_for_urgent_work(as_is, as_is, secs(80));
    assert_eq!(stopped, 0, "no longer young");
    // It has a deadline.
    let (_, stopped) = stopped_for_urgent_work(|s| s.deadline_s = Some(900.0), as_is, secs(20));
    assert_eq!(stopped, 0, "has a deadline");
    // It is within its team's quota: red's is 16 CPUs.
    let within_quota = |s: &mut JobSpec| (s.team, s.tasks) = ("red".into(), 4);
    let (_, stopped) = stopped_for_urgent_work(within_quota, |s| s.tasks = 8, secs(20));
    assert_eq!(stopped, 0, "within quota");
    let (_, stopped) = stopped_for_urgent_work(as_is, |s| s.priority = Priority::Low, secs(20));
    assert_eq!(stopped, 0, "not of higher priority");
    let (_, stopped) = stopped_for_urgent_work(as_is, |s| s.deadline_s = Some(10.0), secs(20));
    assert_eq!(stopped, 0, "too late anyhow");
}

#[test]
fn preempting_over_quota_tasks_pauses_their_job_for_a_bounded_time() {
    // A pause that each preemption prolonged would keep other tasks waiting despite free
    // capacity that the blocked head can't use, for as long as preemptions go on.
    let as_is = |_: &mut JobSpec| {};
    let (mut model, stopped) = stopped_for_urgent_work(as_is, as_is, secs(20));
    assert_eq!(stopped, 3);
    let over_quota = *model.jobs().keys().next().expect("the over-quota job");
    let end = model.jobs()[&over_quota].pause_until.expect("a pause");
    let mut again = job(3, 1, 4.0);
    again.deadline_s = Some(120.0);
    let at = end - secs(1);
    for i in 0..4 {
        let id = format!("i-{i}");
        let mut message = heartbeat(&id, "small", "north", false, 5, 3);
        message.tasks = reported_running(&model, &id.as_str().into());
        model.apply_heartbeat(&message, at);
    }
    model.add_job(job_record(again), at);
    model.plan(at);
    let slots = model
        .machines()
        .values()
        .flat_map(|machine| machine.slots.values());
    assert_eq!(
        slots.filter(|s| s.stop_grace.is_some()).count(),
        4,
        "one more is stopped"
    );
    assert_eq!(model.jobs()[&over_quota].pause_until, Some(end));
}
