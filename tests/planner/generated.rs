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

fn check_placements(m: &ClusterModel) -> Result<(), TestCaseError> {
    let mut cpus: HashMap<String, f64> = HashMap::new();
    let mut places: HashMap<TaskId, u32> = HashMap::new();
    for mac in m.machines().values() {
        let kind = m
            .machine_types()
            .iter()
            .find(|t| t.name == mac.machine_type)
            .expect("a type");
        let (mut c, mut mem) = (0.0, 0.0);
        for (task, s) in mac.slots.iter().filter(|(_, s)| s.takes_resources()) {
            let spec = s.spec.as_ref().expect("a job");
            *places.entry(*task).or_default() += 1;
            *cpus.entry(spec.team.clone()).or_default() += spec.cpus;
            if s.stop_grace.is_none() {
                c += spec.cpus;
                mem += spec.memory_gb;
            }
            prop_assert!(fits_machine_type(spec, kind), "forbidden type");
            prop_assert!(spec.spot || !mac.spot, "forbidden kind");
            prop_assert!(
                spec.zone.as_ref().is_none_or(|z| *z == mac.zone),
                "forbidden zone"
            );
        }
        prop_assert!(
            c <= kind.cpus + 1e-6 && mem <= kind.memory_gb + 1e-6,
            "machine overfull"
        );
    }
    prop_assert!(places.values().all(|n| *n == 1), "a task in two places");
    prop_assert!(
        cpus.get("red").copied().unwrap_or(0.0) <= 40.0 + 1e-6,
        "above the team's limit"
    );
    for (id, job) in m.jobs() {
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for mac in job.places.values().flatten() {
            *zones.entry(m.machines()[mac].zone.as_str()).or_default() += 1;
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

fn any_job(n: u32) -> impl Strategy<Value = JobSpec> {
    (
        1..9u32,
        1..20u32,
        0..3u8,
        0..4u8,
        any::<[bool; 5]>(),
        0..4u8,
        1..200u32,
    )
        .prop_map(move |(tasks, cpus, kind, prio, b, place, est)| {
            let mut j = job(n, tasks, f64::from(cpus) / 2.0);
            j.kind = [JobKind::Array, JobKind::Service, JobKind::Gang][kind as usize];
            j.priority = [
                Priority::Low,
                Priority::Normal,
                Priority::High,
                Priority::Production,
            ][prio as usize];
            j.spot = b[0];
            j.one_zone = b[1] && b[2];
            j.spread = b[1] && !b[2] && b[4];
            j.team = if b[3] { "red" } else { "blue" }.into();
            j.zone = (place == 1).then(|| "south".into());
            j.types = (place == 2).then(|| vec!["large".into()]);
            j.estimate_s = f64::from(est);
            j
        })
}

fn any_jobs() -> impl Strategy<Value = Vec<JobSpec>> {
    (1..12u32).prop_flat_map(|n| (0..n).map(any_job).collect::<Vec<_>>())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Never above a limit, never a forbidden place; only shadow and young
    /// borrowed load is preempted, and only for a job that outranks it.
    #[test]
    fn rounds_keep_the_rules(
        first in any_jobs(),
        second in any_jobs(),
        machines in proptest::collection::vec(any::<[bool; 3]>(), 1..7),
    ) {
        let now = start();
        let mut m = model(5);
        for (i, [large, south, spot]) in machines.iter().enumerate() {
            let (kind, zone) = (if *large { "large" } else { "small" }, if *south { "south" } else { "north" });
            add(&mut m, &format!("i-{i}"), kind, zone, *spot, now);
        }
        for j in first { m.add_job(record(j), now); }
        m.plan(now);
        check_placements(&m)?;
        run_all(&mut m, now);
        let later = now + secs(2);
        for mut j in second {
            j.id = format!("{}9", j.id).parse().expect("an id");
            m.add_job(record(j), later);
        }
        let shadow_before: HashMap<TaskId, bool> = m.machines().values()
            .flat_map(|x| x.slots.iter().map(|(t, s)| (*t, s.backfilled))).collect();
        let waiting: HashMap<JobId, u32> = m.jobs().iter().map(|(id, j)| (*id, j.waiting.count())).collect();
        m.plan(later);
        check_placements(&m)?;
        let ranks = m.ranks(later);
        for (task, s) in m.machines().values().flat_map(|x| &x.slots) {
            if s.stop_grace.is_none() { continue; }
            if m.jobs()[&task.job].is_broken_gang() { continue; }
            let own = ranks[&task.job];
            let gained = |j: &Job| j.waiting.count() < waiting[&j.spec.id];
            let for_better = m.jobs().values().any(|j| ranks[&j.spec.id] < own && gained(j));
            prop_assert!(for_better, "{task} is stopped for nobody above it");
            if shadow_before[task] { continue; }
            // Sunny, so it can only have been borrowed load.
            let of = &m.jobs()[&task.job];
            let for_higher = m.jobs().values()
                .any(|j| j.spec.priority > of.spec.priority && ranks[&j.spec.id].tier <= Tier::InTime && gained(j));
            prop_assert!(for_higher, "{task} is stopped for no higher priority");
            prop_assert!(of.spec.kind == JobKind::Array && of.spec.deadline_s.is_none(), "{task} was promised");
            prop_assert!(own.tier != Tier::WithinQuota, "{task} was within its team's guarantee");
            let young = m.predict(&of.spec) / 4;
            prop_assert!(s.running_since.is_some_and(|t| later - t < young), "{task} is not young");
            let kept = m.machines().values().flat_map(|x| &x.slots)
                .filter(|(t, s)| t.job == task.job && s.stop_grace.is_none()).count();
            prop_assert!(kept >= 2, "{task} is stopped though its job has hardly begun");
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
            let mut m = model(5);
            for (i, [large, south, spot]) in machines.iter().enumerate() {
                let (kind, zone) = (if *large { "large" } else { "small" }, if *south { "south" } else { "north" });
                add(&mut m, &format!("i-{i}"), kind, zone, *spot, now);
            }
            m
        };
        let places = |m: &ClusterModel| -> Vec<(MachineId, TaskId, bool, bool)> {
            m.machines().values()
                .flat_map(|x| x.slots.iter().map(|(t, s)| (x.id.clone(), *t, s.backfilled, s.stop_grace.is_some())))
                .collect()
        };
        let (mut a, mut b) = (build(), build());
        for m in [&mut a, &mut b] {
            for j in &first { m.add_job(record(j.clone()), now); }
        }
        prop_assert_eq!(a.plan(now), b.plan_one_by_one(now));
        prop_assert_eq!(places(&a), places(&b));
        let later = now + secs(2);
        for m in [&mut a, &mut b] {
            run_all(m, now);
            for j in &second {
                let mut j = j.clone();
                j.id = format!("{}9", j.id).parse().expect("an id");
                m.add_job(record(j), later);
            }
        }
        prop_assert_eq!(a.plan(later), b.plan_one_by_one(later));
        prop_assert_eq!(places(&a), places(&b));
    }
}
