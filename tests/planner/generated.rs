//! Generated clusters and jobs: a round of the planner keeps the rules of placement and
//! preemption, and decides as the plain rule does.

use std::collections::HashMap;

use bitternfold::core::scheduling::admission::fits_machine_type;
use bitternfold::core::scheduling::ranking::Tier;
use bitternfold::core::state::job::Job;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use proptest::prelude::*;

use crate::fixtures::*;
use crate::support::*;

fn check_placements(model: &ClusterModel) -> Result<(), TestCaseError> {
    let mut cpus: HashMap<String, f64> = HashMap::new();
    let mut places: HashMap<TaskId, u32> = HashMap::new();
    for machine in model.machines().values() {
        let kind = model
            .machine_types()
            .iter()
            .find(|t| t.name == machine.machine_type)
            .expect("a type");
        let (mut used_cpus, mut used_memory_gb) = (0.0, 0.0);
        for (task, slot) in machine.slots.iter().filter(|(_, slot)| slot.takes_resources()) {
            let spec = slot.spec.as_ref().expect("a job");
            *places.entry(*task).or_default() += 1;
            *cpus.entry(spec.team.clone()).or_default() += spec.cpus;
            if slot.stop_grace.is_none() {
                used_cpus += spec.cpus;
                used_memory_gb += spec.memory_gb;
            }
            prop_assert!(fits_machine_type(spec, kind), "forbidden type");
            prop_assert!(spec.spot || !machine.spot, "forbidden kind");
            prop_assert!(
                spec.zone.as_ref().is_none_or(|z| *z == machine.zone),
                "forbidden zone"
            );
        }
        prop_assert!(
            used_cpus <= kind.cpus + 1e-6 && used_memory_gb <= kind.memory_gb + 1e-6,
            "machine overfull"
        );
    }
    prop_assert!(places.values().all(|n| *n == 1), "a task in two places");
    prop_assert!(
        cpus.get("red").copied().unwrap_or(0.0) <= 40.0 + 1e-6,
        "above the team's limit"
    );
    for (id, job) in model.jobs() {
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for machine in job.places.values().flatten() {
            *zones.entry(model.machines()[machine].zone.as_str()).or_default() += 1;
        }
        if job.spec.one_zone {
            prop_assert!(zones.len() <= 1, "{id} in two zones");
        }
        if job.spec.spread {
            prop_assert!(
                zones.values().all(|n| *n <= job.spec.tasks.div_ceil(2)),
                "{id} not spread"
            );
        }
        if job.spec.kind == JobKind::Gang {
            let placed = job.places.len() as u32;
            prop_assert!(placed == 0 || placed == job.spec.tasks, "{id} is placed in part");
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
        .prop_map(move |(tasks, cpus, kind, priority, flags, place, estimate_s)| {
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
            spec.zone = (place == 1).then(|| "south".into());
            spec.machine_types = (place == 2).then(|| vec!["large".into()]);
            spec.estimate_s = f64::from(estimate_s);
            spec
        })
}

fn any_jobs() -> impl Strategy<Value = Vec<JobSpec>> {
    (1..12u32).prop_flat_map(|n| (0..n).map(any_job).collect::<Vec<_>>())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Never above a limit, never on a forbidden machine; only shadow load and young
    /// over-quota load is preempted, and only for a job that outranks it.
    #[test]
    fn rounds_keep_the_rules(
        first in any_jobs(),
        second in any_jobs(),
        machines in proptest::collection::vec(any::<[bool; 3]>(), 1..7),
    ) {
        let now = start();
        let mut model = model(5);
        for (i, [large, south, spot]) in machines.iter().enumerate() {
            let (kind, zone) = (if *large { "large" } else { "small" }, if *south { "south" } else { "north" });
            add_machine(&mut model, &format!("i-{i}"), kind, zone, *spot, now);
        }
        for spec in first { model.add_job(job_record(spec), now); }
        model.plan(now);
        check_placements(&model)?;
        mark_all_running(&mut model, now);
        let later = now + secs(2);
        for mut spec in second {
            spec.id = format!("{}9", spec.id).parse().expect("an id");
            model.add_job(job_record(spec), later);
        }
        let shadow_before: HashMap<TaskId, bool> = model.machines().values()
            .flat_map(|machine| machine.slots.iter().map(|(t, s)| (*t, s.backfilled))).collect();
        let waiting: HashMap<JobId, u32> = model.jobs().iter().map(|(id, j)| (*id, j.waiting.count())).collect();
        model.plan(later);
        check_placements(&model)?;
        let ranks = model.ranks(later);
        for (task, slot) in model.machines().values().flat_map(|machine| &machine.slots) {
            if slot.stop_grace.is_none() { continue; }
            if model.jobs()[&task.job].is_broken_gang() { continue; }
            let own = ranks[&task.job];
            let gained = |job: &Job| job.waiting.count() < waiting[&job.spec.id];
            let for_better = model.jobs().values().any(|j| ranks[&j.spec.id] < own && gained(j));
            prop_assert!(for_better, "{task} is stopped for nobody above it");
            if shadow_before[task] { continue; }
            // Sunny load, so it can only have been over quota.
            let job = &model.jobs()[&task.job];
            let for_higher = model.jobs().values()
                .any(|j| j.spec.priority > job.spec.priority && ranks[&j.spec.id].tier <= Tier::InTime && gained(j));
            prop_assert!(for_higher, "{task} is stopped for no higher priority");
            prop_assert!(job.spec.kind == JobKind::Array && job.spec.deadline_s.is_none(), "{task} has a deadline");
            prop_assert!(own.tier != Tier::WithinQuota, "{task} was within its team's quota");
            let young = model.predict(&job.spec) / 4;
            prop_assert!(slot.running_since.is_some_and(|t| later - t < young), "{task} is not young");
            let not_stopped = model.machines().values().flat_map(|machine| &machine.slots)
                .filter(|(t, s)| t.job == task.job && s.stop_grace.is_none()).count();
            prop_assert!(not_stopped >= 2, "{task} is stopped though its job has hardly begun");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Placing a job's tasks together is a matter of speed: it decides as
    /// placing them one by one does.
    #[test]
    fn rounds_decide_as_the_plain_rule_does(
        first in any_jobs(),
        second in any_jobs(),
        machines in proptest::collection::vec(any::<[bool; 3]>(), 1..9),
    ) {
        let now = start();
        let build = || {
            let mut model = model(5);
            for (i, [large, south, spot]) in machines.iter().enumerate() {
                let (kind, zone) = (if *large { "large" } else { "small" }, if *south { "south" } else { "north" });
                add_machine(&mut model, &format!("i-{i}"), kind, zone, *spot, now);
            }
            model
        };
        let places = |model: &ClusterModel| -> Vec<(MachineId, TaskId, bool, bool)> {
            model.machines().values()
                .flat_map(|machine| machine.slots.iter().map(|(t, s)| (machine.id.clone(), *t, s.backfilled, s.stop_grace.is_some())))
                .collect()
        };
        let (mut together, mut one_by_one) = (build(), build());
        for model in [&mut together, &mut one_by_one] {
            for spec in &first { model.add_job(job_record(spec.clone()), now); }
        }
        prop_assert_eq!(together.plan(now), one_by_one.plan_one_by_one(now));
        prop_assert_eq!(places(&together), places(&one_by_one));
        let later = now + secs(2);
        for model in [&mut together, &mut one_by_one] {
            mark_all_running(model, now);
            for spec in &second {
                let mut spec = spec.clone();
                spec.id = format!("{}9", spec.id).parse().expect("an id");
                model.add_job(job_record(spec), later);
            }
        }
        prop_assert_eq!(together.plan(later), one_by_one.plan_one_by_one(later));
        prop_assert_eq!(places(&together), places(&one_by_one));
    }
}
