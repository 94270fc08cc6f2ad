//! Under sustained overload no job waits for ever, whatever its priority, team or size.

use std::collections::HashMap;

use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use proptest::prelude::*;

use crate::fixtures::*;
use crate::support::*;

#[test]
fn an_overload_leaves_no_class_team_or_size_unserved() {
    // Ten minutes of nearly twice what the machines can do: all that has waited
    // for four minutes has begun by then, whatever its priority, team or size, and
    // once it ends all is done, the widest, too.
    let now = start();
    let mut m = model(5);
    for i in 0..4 {
        add(&mut m, &format!("i-{i}"), "small", "north", false, now);
    }
    let mut arrived: HashMap<JobId, (u64, u32)> = HashMap::new();
    let mut n = 0;
    let mut s = 0;
    while s < 600 || m.jobs().values().any(|j| !j.is_complete()) {
        let t = now + secs(s);
        let mut come = |m: &mut ClusterModel, every: u64, tasks: u32, priority: Priority| {
            if s < 600 && s % every == 0 {
                n += 1;
                let mut j = job(n, tasks, 4.0);
                j.priority = priority;
                j.team = if n % 2 == 0 { "red" } else { "blue" }.into();
                j.class = format!("{priority:?}");
                j.estimate_s = 20.0;
                j.deadline_s = (n % 3 > 0).then_some(60.0);
                arrived.insert(j.id, (s, tasks));
                m.add_job(record(j), t);
            }
        };
        come(&mut m, 10, 3, Priority::High);
        come(&mut m, 40, 8, Priority::Normal);
        come(&mut m, 120, 24, Priority::Low);
        turn(&mut m, s, t, 20);
        for j in m.jobs().values().filter(|j| !j.has_started()) {
            let waited = s - arrived[&j.spec.id].0;
            assert!(
                waited < 220,
                "{} of {:?} has waited {waited} s",
                j.spec.id,
                j.spec.priority
            );
        }
        s += 1;
        assert!(s < 1800, "work is left over");
    }
    assert!(s > 900, "it was an overload: {s} s");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// However much better-placed work keeps coming, the widest arrays of every
    /// class and team begin well within four minutes, and go on to be done.
    #[test]
    fn no_overload_keeps_a_job_from_beginning(
        wide in 8..60u32,
        due in proptest::option::of(10..90u32),
        flood in 1..4u32,
        run in 10..40u64,
    ) {
        let now = start();
        let mut m = model(5);
        for i in 0..4 {
            add(&mut m, &format!("i-{i}"), "small", "north", false, now);
        }
        let mut low = Vec::new();
        for (n, team) in ["red", "blue"].into_iter().enumerate() {
            for prio in [Priority::Low, Priority::Normal] {
                let mut j = job(low.len() as u32 + 900, wide, 4.0);
                j.team = team.into();
                j.class = format!("wide-{n}");
                j.priority = prio;
                j.deadline_s = due.map(f64::from);
                low.push(j.id);
                m.add_job(record(j), now);
            }
        }
        let mut begun: HashMap<JobId, u64> = HashMap::new();
        for s in 0..240u64 {
            let t = now + secs(s);
            // More high-priority work than the machines can ever do.
            for k in 0..flood {
                let mut j = job(10_000 + (s as u32) * 8 + k, 4, 4.0);
                j.priority = Priority::High;
                m.add_job(record(j), t);
            }
            turn(&mut m, s, t, run);
            for id in &low {
                if m.jobs().get(id).is_none_or(|j| j.has_started()) {
                    begun.entry(*id).or_insert(s);
                }
            }
        }
        for id in &low {
            let at = begun.get(id).copied();
            prop_assert!(at.is_some_and(|s| s < 220), "{} began at {:?}", id, at);
        }
    }
}
