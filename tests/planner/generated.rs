//! Generated clusters and jobs: a scheduling round keeps the rules of placement and preemption,
//! and decides the same as a round that places every task by itself.

use std::collections::HashMap;

use bitternfold::core::scheduling::admission::fits_machine_type;
use bitternfold::core::scheduling::ranking::Tier;
use bitternfold::core::state::job::Job;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use proptest::prelude::*;

use crate::fixtures::*;
use crate::support::*;

/// Checks capacities, team limits and the placement rules of all jobs.
fn check_placements(model: &ClusterModel) -> Result<(), TestCaseError> {
    let mut cpus_by_team: HashMap<String, f64> = HashMap::new();
    let mut place_counts: HashMap<TaskId, u32> = HashMap::new();
    for machine in model.machines().values() {
        let machine_type = model
            .machine_types()
            .iter()
            .find(|t| t.name == machine.machine_type)
            .expect("a type");
        let (mut used_cpus, mut used_memory_gb) = (0.0, 0.0);
        for (task, slot) in machine.slots.iter().filter(|(_, slot)| slot.takes_resources()) {
            let spec = slot.spec.as_ref().expect("a job");
            *place_counts.entry(*task).or_default() += 1;
            *cpus_by_team.entry(spec.team.clone()).or_default() += spec.cpus;
            if slot.stop_grace.is_none() {
                used_cpus += spec.cpus;
                used_memory_gb += spec.memory_gb;
            }
            prop_assert!(
                fits_machine_type(spec, machine_type),
                "{task} is on a machine type that its job forbids"
            );
            prop_assert!(
                spec.spot || !machine.spot,
                "{task} is on a spot machine, which its job forbids"
            );
            prop_assert!(
                spec.zone.as_ref().is_none_or(|z| *z == machine.zone),
                "{task} is in a zone that its job forbids"
            );
        }
        prop_assert!(
            used_cpus <= machine_type.cpus + 1e-6 && used_memory_gb <= machine_type.memory_gb + 1e-6,
            "the tasks on a machine take more than it has"
        );
    }
    prop_assert!(
        place_counts.values().all(|n| *n == 1),
        "a task has more than one place"
    );
    prop_assert!(
        cpus_by_team.get("red").copied().unwrap_or(0.0) <= 40.0 + 1e-6,
        "team red is above its limit"
    );
    for (id, job) in model.jobs() {
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for machine in job.places.values().flatten() {
            *zones.entry(model.machines()[machine].zone.as_str()).or_default() += 1;
        }
        if job.spec.one_zone {
            prop_assert!(zones.len() <= 1, "{id} has tasks in several zones");
        }
        if job.spec.spread {
            prop_assert!(
                zones.values().all(|n| *n <= job.spec.tasks.div_ceil(2)),
                "{id} has more than half of its tasks in one zone"
            );
        }
        if job.spec.kind == JobKind::Gang {
            let placed = job.places.len() as u32;
            prop_assert!(
                placed == 0 || placed == job.spec.tasks,
                "only some tasks of the gang {id} are placed"
            );
        }
    }
    Ok(())
}

fn any_job(number: u32) -> impl Strategy<Value = JobSpec> {
    (
        1..9u32,
        1..20u32,
        0..3u8,
        0..4u8,
        any::<[bool; 5]>(),
        0..4u8,
        1..200u32,
    )
        .prop_map(
            move |(tasks, cpus, kind, priority, flags, restriction, estimate_s)| {
                let mut spec = job(number, tasks, f64::from(cpus) / 2.0);
                spec.kind = [JobKind::Array, JobKind::Service, JobKind::Gang][kind as usize];
                spec.priority = [
                    Priority::Low,
                    Priority::Normal,
                    Priority::High,
                    Priority::Production,
                ][priority as usize];
                spec.spot = flags[0];
                spec.one_zone = flags[1] && flags[2];
                spec.spread = flags[1] && !flags[2] && flags[4];
                spec.team = if flags[3] { "red" } else { "blue" }.into();
                spec.zone = (restriction == 1).then(|| "south".into());
                spec.machine_types = (restriction == 2).then(|| vec!["large".into()]);
                spec.estimate_s = f64::from(estimate_s);
                spec
            },
        )
}

fn any_jobs() -> impl Strategy<Value = Vec<JobSpec>> {
    (1..12u32).prop_flat_map(|n| (0..n).map(any_job).collect::<Vec<_>>())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// No limit is exceeded, and no task is on a machine that its job forbids; only shadow
    /// load and young over-quota load is preempted, and only for a job that outranks it.
    #[test]
    fn rounds_keep_the_rules_of_placement_and_preemption(
        first in any_jobs(),
        second in any_jobs(),
        machines in proptest::collection::vec(any::<[bool; 3]>(), 1..7),
    ) {
        let now = start();
        let mut model = model(5);
        for (i, [large, south, spot]) in machines.iter().enumerate() {
            let (machine_type, zone) = (if *large { "large" } else { "small" }, if *south { "south" } else { "north" });
            add_machine(&mut model, &format!("i-{i}"), machine_type, zone, *spot, now);
        }
        for spec in first { model.add_job(job_record(spec), now); }
        model.run_scheduling_round(now);
        check_placements(&model)?;
        mark_all_running(&mut model, now);
        let later = now + secs(2);
        for mut spec in second {
            // Ids with one digit more than those of the first jobs.
            spec.id = format!("{}9", spec.id).parse().expect("an id");
            model.add_job(job_record(spec), later);
        }
        let backfilled_before: HashMap<TaskId, bool> = model.machines().values()
            .flat_map(|machine| machine.slots.iter().map(|(t, s)| (*t, s.backfilled))).collect();
        let waiting_before: HashMap<JobId, u32> = model.jobs().iter().map(|(id, j)| (*id, j.waiting.count())).collect();
        model.run_scheduling_round(later);
        check_placements(&model)?;
        let ranks = model.ranks(later);
        for (task, slot) in model.machines().values().flat_map(|machine| &machine.slots) {
            if slot.stop_grace.is_none() { continue; }
            if model.jobs()[&task.job].is_broken_gang() { continue; }
            let own_rank = ranks[&task.job];
            let gained = |job: &Job| job.waiting.count() < waiting_before[&job.spec.id];
            let for_higher_rank = model.jobs().values().any(|j| ranks[&j.spec.id] < own_rank && gained(j));
            prop_assert!(for_higher_rank, "{task} is stopped, but no job that outranks it gained a place");
            if backfilled_before[task] { continue; }
            // Sunny load may only be preempted as over-quota load.
            let job = &model.jobs()[&task.job];
            let for_higher_priority = model.jobs().values()
                .any(|j| j.spec.priority > job.spec.priority && ranks[&j.spec.id].tier <= Tier::InTime && gained(j));
            prop_assert!(for_higher_priority, "{task} is stopped, but no job of higher priority gained a place");
            prop_assert!(job.spec.kind == JobKind::Array && job.spec.deadline_s.is_none(), "{task} is stopped, but its job is no array or has a deadline");
            prop_assert!(own_rank.tier != Tier::WithinQuota, "{task} is stopped, but its job is within its team's quota");
            let max_young_run_time = model.predict(&job.spec) / 4;
            prop_assert!(slot.running_since.is_some_and(|t| later - t < max_young_run_time), "{task} is stopped, but is no longer young");
            let not_stopped = model.machines().values().flat_map(|machine| &machine.slots)
                .filter(|(t, s)| t.job == task.job && s.stop_grace.is_none()).count();
            prop_assert!(not_stopped >= 2, "{task} is stopped, but its job keeps fewer than two tasks");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Placing a job's tasks in groups only makes a round faster: it decides the same as
    /// placing them one by one.
    #[test]
    fn grouped_placement_decides_the_same_as_one_by_one(
        first in any_jobs(),
        second in any_jobs(),
        machines in proptest::collection::vec(any::<[bool; 3]>(), 1..9),
    ) {
        let now = start();
        let build = || {
            let mut model = model(5);
            for (i, [large, south, spot]) in machines.iter().enumerate() {
                let (machine_type, zone) = (if *large { "large" } else { "small" }, if *south { "south" } else { "north" });
                add_machine(&mut model, &format!("i-{i}"), machine_type, zone, *spot, now);
            }
            model
        };
        let places = |model: &ClusterModel| -> Vec<(MachineId, TaskId, bool, bool)> {
            model.machines().values()
                .flat_map(|machine| machine.slots.iter().map(|(t, s)| (machine.id.clone(), *t, s.backfilled, s.stop_grace.is_some())))
                .collect()
        };
        let (mut grouped, mut one_by_one) = (build(), build());
        for model in [&mut grouped, &mut one_by_one] {
            for spec in &first { model.add_job(job_record(spec.clone()), now); }
        }
        prop_assert_eq!(grouped.run_scheduling_round(now), one_by_one.run_scheduling_round_one_by_one(now));
        prop_assert_eq!(places(&grouped), places(&one_by_one));
        let later = now + secs(2);
        for model in [&mut grouped, &mut one_by_one] {
            mark_all_running(model, now);
            for spec in &second {
                let mut spec = spec.clone();
                // Ids with one digit more than those of the first jobs.
                spec.id = format!("{}9", spec.id).parse().expect("an id");
                model.add_job(job_record(spec), later);
            }
        }
        prop_assert_eq!(grouped.run_scheduling_round(later), one_by_one.run_scheduling_round_one_by_one(later));
        prop_assert_eq!(places(&grouped), places(&one_by_one));
    }
}
