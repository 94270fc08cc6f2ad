//! Which machines are kept, evacuated or released: silent and partitioned ones, those that the
//! cloud reclaims, those that no command reaches, and idle ones.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::core::evidence::heartbeats::HeartbeatOutcome;
use bitternfold::core::fleet::FleetAction;
use bitternfold::core::state::machine::MachinePhase;
use bitternfold::core::ClusterModel;
use bitternfold::core::SchedulerConfig;
use bitternfold::settings::{DeploymentSettings, OperatorSettings};
use bitternfold::wire::*;
use support::*;

/// Plans the fleet's actions and returns the machines that are to be released.
fn plan_releases(model: &mut ClusterModel, now: Instant) -> Vec<String> {
    model
        .plan_fleet(now)
        .into_iter()
        .filter_map(|w| match w {
            FleetAction::Release(ids) => Some(ids),
            FleetAction::Rent(_) => None,
        })
        .flatten()
        .map(|id| id.to_string())
        .collect()
}

/// A model with `per_zone` machines in each zone, each with a running task of its own.
fn busy_cluster(per_zone: usize, now: Instant) -> ClusterModel {
    let mut model = model(7);
    model.add_job(job_record(job(1, 2 * per_zone as u32, 8.0)), now);
    for zone in ["north", "south"] {
        for i in 0..per_zone {
            model.apply_heartbeat(
                &heartbeat(&format!("i-{zone}-{i}"), "small", zone, false, 7, 1),
                now,
            );
        }
    }
    model.run_scheduling_round(now);
    let writes = model.take_due_writes(now);
    writes
        .iter()
        .for_each(|write| model.write_finished(write, true, now));
    for due in model.take_due_batches(now, 0) {
        let id = due.machine;
        let mut message = heartbeat(&id, "small", &model.machines()[&id].zone.clone(), false, 7, 2);
        message.token = due.batch.token;
        message.tasks = reported_running(&model, &id);
        model.batch_finished(&id, Some(&message), now);
    }
    model
}

/// Each machine whose id contains `zone` sends a heartbeat from that zone with its running
/// tasks, and gets a response.
fn send_heartbeats(model: &mut ClusterModel, zone: &str, sequence: u64, now: Instant) {
    let ids: Vec<MachineId> = model
        .machines()
        .keys()
        .filter(|id| id.contains(zone))
        .cloned()
        .collect();
    for id in ids {
        let mut message = heartbeat(&id, "small", zone, false, 7, sequence);
        message.token = model.machines()[&id].seen_token;
        message.tasks = reported_running(model, &id);
        model.apply_heartbeat(&message, now);
        model.heartbeat_response(&id, message.token, now);
    }
}

#[test]
fn machines_of_a_partitioned_zone_are_kept_and_lose_their_tasks_once_their_leases_expire() {
    // Releasing a third of the machines because of a partition of one minute would cost the
    // boot and the images of each.
    let now = start();
    let mut model = busy_cluster(5, now);
    send_heartbeats(&mut model, "north", 10, now);
    send_heartbeats(&mut model, "south", 10, now);
    for second in 1..=20 {
        send_heartbeats(&mut model, "north", 10 + second, now + secs(second));
        assert_eq!(
            plan_releases(&mut model, now + secs(second)),
            Vec::<String>::new(),
            "{second} s"
        );
        assert!(
            model.machines().values().all(|machine| machine.slots.len() == 1),
            "{second} s"
        );
    }
    // A worker's lease lasts for 20 s. The tasks in the partitioned zone are removed only
    // after that and a margin.
    send_heartbeats(&mut model, "north", 40, now + secs(22));
    assert_eq!(plan_releases(&mut model, now + secs(22)), Vec::<String>::new());
    let count_emptied_in_south = |model: &ClusterModel| {
        model
            .machines()
            .values()
            .filter(|machine| machine.zone == "south" && machine.slots.is_empty())
            .count()
    };
    assert_eq!(count_emptied_in_south(&model), 5);
    assert_eq!(model.jobs().values().next().expect("the job").waiting.count(), 5);
    // A late message of the incarnation whose lease has expired changes nothing.
    let id = MachineId::from("i-south-0");
    let mut late = heartbeat(&id, "small", "south", false, 7, 30);
    late.token = model.machines()[&id].seen_token;
    assert_eq!(
        model.apply_heartbeat(&late, now + secs(23)),
        HeartbeatOutcome::Outdated
    );
    assert!(model.machines()[&id].incarnation_ended(1));
    late.incarnation = 2;
    late.sequence = 1;
    assert_eq!(
        model.apply_heartbeat(&late, now + secs(24)),
        HeartbeatOutcome::Applied
    );
    // Machines that are silent for long after that are released.
    send_heartbeats(&mut model, "north", 50, now + secs(75));
    let released_machines = plan_releases(&mut model, now + secs(75));
    let expected: Vec<String> = (1..5).map(|i| format!("i-south-{i}")).collect();
    assert_eq!(
        released_machines, expected,
        "all of the zone but the one that sent a heartbeat"
    );
}

#[test]
fn a_single_silent_machine_is_released_so_that_its_tasks_run_elsewhere() {
    let now = start();
    let mut model = busy_cluster(5, now);
    let silent = MachineId::from("i-north-3");
    for second in 1..=9 {
        send_heartbeats(&mut model, "north", 10 + second, now + secs(second));
        send_heartbeats(&mut model, "south", 10 + second, now + secs(second));
        let machine = model.set_up().machines.get_mut(&silent).expect("known");
        machine.last_heartbeat = Some(now);
    }
    assert_eq!(plan_releases(&mut model, now + secs(9)), Vec::<String>::new());
    model
        .set_up()
        .machines
        .get_mut(&silent)
        .expect("known")
        .last_heartbeat = Some(now - secs(1));
    assert_eq!(plan_releases(&mut model, now + secs(9)), ["i-north-3"]);
}

#[test]
fn no_machine_is_released_when_its_heartbeat_is_half_an_interval_late() {
    // Heartbeats are sent every `report_s` seconds, give or take a quarter, and two of them may
    // be late. A fixed silence limit would suit one interval only.
    for report_s in [1.0, 3.0, 8.0, 12.0] {
        let text = SETTINGS
            .replace("report_s = 3.0", &format!("report_s = {report_s:.1}"))
            .replace("lease_s = 20.0", "lease_s = 34.0");
        let settings = DeploymentSettings::parse(&text, "test").expect("settings");
        let config = SchedulerConfig::new(&settings, OperatorSettings::default());
        let max_interval = Duration::from_secs_f64(report_s * 1.25);
        assert!(
            config.silence_limit > max_interval + Duration::from_secs(2),
            "report_s = {report_s}"
        );
        assert!(config.silence_limit <= config.worker_lease);
        let mut model = ClusterModel::new(Arc::new(config), 7);
        model.set_machine_types(machine_types());
        let now = start();
        for i in 0..4 {
            model.apply_heartbeat(&heartbeat(&format!("i-{i}"), "small", "north", true, 7, 1), now);
        }
        // A job waits for the machines, so that they aren't released as idle.
        model.add_job(job_record(job(1, 40, 8.0)), now);
        assert_eq!(
            plan_releases(&mut model, now + max_interval * 3 / 2),
            Vec::<String>::new()
        );
    }
}

#[test]
fn tasks_on_a_reclaimed_machine_are_stopped_if_they_cannot_end_in_time() {
    let now = start();
    let mut model = busy_cluster(2, now);
    let id = MachineId::from("i-north-0");
    let stops_task = |model: &mut ClusterModel, sequence: u64, reclaim_in_s: f64, now: Instant| {
        let mut message = heartbeat(&id, "small", "north", false, 7, sequence);
        message.token = model.machines()[&id].seen_token;
        message.tasks = reported_running(model, &id);
        message.reclaim_in_s = Some(reclaim_in_s);
        model.apply_heartbeat(&message, now);
        model.plan_fleet(now);
        model.machines()[&id]
            .slots
            .values()
            .any(|s| s.stop_grace.is_some())
    };
    // Without free capacity elsewhere the task stays, as it may still end in time.
    assert!(!stops_task(&mut model, 10, 15.0, now + secs(1)));
    model.apply_heartbeat(
        &heartbeat("i-spare", "small", "north", false, 7, 1),
        now + secs(1),
    );
    // The task is predicted to run for 60 s: 50 s may suffice, as predictions are often wrong,
    // but 15 s won't.
    assert!(!stops_task(&mut model, 11, 50.0, now + secs(1)));
    assert!(stops_task(&mut model, 12, 15.0, now + secs(1)));
}

#[test]
fn a_machine_that_no_command_reaches_is_not_schedulable_and_is_released() {
    // The machine isn't silent, as its heartbeats arrive. But no command and no response
    // reaches it, so its lease expires, a new incarnation begins, and so on for ever.
    let now = start();
    let mut model = busy_cluster(3, now);
    let id = MachineId::from("i-south-1");
    model.set_up().machines.get_mut(&id).expect("known").needs_probe = true;
    model.set_up().command_candidates.insert(id.clone());
    let sent = model.take_due_batches(now, 5);
    assert!(sent.iter().any(|due| due.machine == id));
    model.batch_finished(&id, None, now);
    assert!(!model.is_schedulable(&model.machines()[&id], now + secs(1)));
    // The heartbeat is of a later incarnation than the start was sent to, so the task doesn't
    // run there.
    let mut message = heartbeat(&id, "small", "south", false, 7, 1);
    message.incarnation = 2;
    model.apply_heartbeat(&message, now + secs(12));
    assert!(model.machines()[&id].slots.is_empty());
    for second in 13..30 {
        message.sequence += 1;
        model.apply_heartbeat(&message, now + secs(second));
        send_heartbeats(&mut model, "north", second * 10, now + secs(second));
        send_heartbeats(&mut model, "south", second * 10, now + secs(second));
    }
    assert_eq!(plan_releases(&mut model, now + secs(29)), ["i-south-1"]);
    assert_eq!(model.machines()[&id].phase, MachinePhase::Releasing);
}

#[test]
fn a_process_pause_is_not_taken_for_missed_heartbeats() {
    // A controller that resumes after a pause has received no heartbeat meanwhile, but may
    // still hold its lease, as in an outage. Releasing all machines for that would end all
    // running tasks.
    let now = start();
    let mut model = busy_cluster(5, now);
    send_heartbeats(&mut model, "north", 10, now);
    send_heartbeats(&mut model, "south", 10, now);
    let id = MachineId::from("i-north-0");
    model.batch_finished(&id, None, now);
    let resumed_at = now + secs(15);
    model.ignore_silence_before(resumed_at);
    // Most machines send a heartbeat within a second, a few only when their interval is over.
    send_heartbeats(&mut model, "south", 20, resumed_at);
    send_heartbeats(&mut model, "north-1", 20, resumed_at);
    send_heartbeats(&mut model, "north-2", 20, resumed_at);
    assert_eq!(
        plan_releases(&mut model, resumed_at + secs(1)),
        Vec::<String>::new()
    );
    assert!(!model.is_partitioned_from_workers(resumed_at + secs(1)));
    assert!(model
        .machines()
        .values()
        .all(|machine| machine.cordoned_since.is_none() && machine.slots.len() == 1));
    // A machine that stays silent from then on is released as usual.
    for second in 1..=12 {
        send_heartbeats(&mut model, "south", 30 + second, resumed_at + secs(second));
        let ids: Vec<MachineId> = model.machines().keys().cloned().collect();
        for id in ids.iter().filter(|i| i.contains("north") && ***i != *"i-north-0") {
            let mut message = heartbeat(id, "small", "north", false, 7, 30 + second);
            message.token = model.machines()[id].seen_token;
            message.tasks = reported_running(&model, id);
            model.apply_heartbeat(&message, resumed_at + secs(second));
            model.heartbeat_response(id, message.token, resumed_at + secs(second));
        }
    }
    assert_eq!(plan_releases(&mut model, resumed_at + secs(12)), ["i-north-0"]);
}

#[test]
fn a_lease_that_an_earlier_leader_may_renew_is_not_taken_as_expired() {
    // Until a machine has seen a token of this term, an earlier leader may renew its lease.
    let now = start();
    let mut model = busy_cluster(1, now);
    let id = MachineId::from("i-north-0");
    model.set_up().machines.get_mut(&id).expect("known").seen_token = 6 << 20;
    model.expire_leases(now + secs(90));
    assert_eq!(model.machines()[&id].slots.len(), 1);
    let other = MachineId::from("i-south-0");
    assert!(
        model.machines()[&other].slots.is_empty(),
        "this machine has seen a token of the term, so its lease has expired"
    );
}

#[test]
fn a_job_that_cannot_start_does_not_hold_idle_machines() {
    // A job that fails everywhere waits until its user cancels it; mostly it pauses, or its
    // single task on trial is placed. A job at its team's limit waits until tasks of its own
    // end. Neither can use more machines.
    let now = start();
    let later = now + secs(600);
    let idle_fleet = || {
        let mut model = model(7);
        for i in 0..20 {
            model.apply_heartbeat(
                &heartbeat(&format!("i-{i:02}"), "small", "north", false, 7, 1),
                now,
            );
        }
        for i in 0..20 {
            model.apply_heartbeat(
                &heartbeat(&format!("i-{i:02}"), "small", "north", false, 7, 2),
                later,
            );
        }
        model
    };

    let mut paused = idle_fleet();
    paused.add_job(job_record(job(1, 50, 8.0)), later);
    let failing = paused.set_up().jobs.values_mut().next().expect("the job");
    fail_on_three_machines(failing, secs(1), later);
    let pause = failing.failures.pause();
    failing.pause_until = Some(later + pause);
    assert_eq!(plan_releases(&mut paused, later).len(), 20, "the job pauses");

    let mut on_probation = idle_fleet();
    on_probation.add_job(job_record(job(1, 50, 8.0)), later);
    let failing = on_probation.set_up().jobs.values_mut().next().expect("the job");
    fail_on_three_machines(failing, secs(1), later);
    on_probation.run_scheduling_round(later);
    assert_eq!(
        on_probation.jobs().values().next().expect("the job").place_count,
        1
    );
    assert!(
        plan_releases(&mut on_probation, later).len() >= 17,
        "only one task may run, as a trial"
    );

    let mut limited = idle_fleet();
    let mut spec = job(1, 50, 8.0);
    spec.team = "red".into();
    limited.add_job(job_record(spec), later);
    limited.run_scheduling_round(later);
    assert_eq!(
        limited.jobs().values().next().expect("the job").place_count,
        5,
        "5 tasks of 8 CPUs; the team's limit is 40"
    );
    assert!(
        plan_releases(&mut limited, later).len() >= 13,
        "the team of the job is at its limit"
    );

    let mut placeable = idle_fleet();
    placeable.add_job(job_record(job(1, 50, 8.0)), later);
    assert_eq!(plan_releases(&mut placeable, later), Vec::<String>::new());
}
