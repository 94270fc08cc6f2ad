//! Late copies of start commands that were carried out and answered before. A controller or a
//! machine comes back within a second, and the task was moved or cancelled in between.
//!
//! A machine that comes back has lost its tasks. If its lease has not expired, its worker keeps
//! its incarnation and the highest token that it has seen, so that it accepts a copy of the
//! last batch of commands once more.

use proptest::prelude::*;

use crate::cluster::{Operation, SimulatedCluster};
use crate::worker::Worker;

/// The number of deliveries after which every scenario has come to rest.
const MAX_DELIVERIES: usize = 40;

/// What happens to the task before its machine comes back without it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    /// Nothing: it runs.
    Runs,
    /// It fails, and the leader knows.
    Fails,
    /// Its user has got the confirmation that its job is cancelled; the stop has not reached
    /// the machine.
    JobCancelled,
    /// Then the response to a heartbeat has stopped it, and the leader knows.
    JobCancelledAndTaskStopped,
}

const FATES: [Fate; 4] = [
    Fate::Runs,
    Fate::Fails,
    Fate::JobCancelled,
    Fate::JobCancelledAndTaskStopped,
];

/// Who comes back within a second.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Returns {
    Machine,
    /// The machine, then a controller, which is elected again.
    MachineAndController,
    Controller,
}

const RETURNS: [Returns; 3] = [
    Returns::Machine,
    Returns::MachineAndController,
    Returns::Controller,
];

/// Delivers messages, one every 100 ms, and keeps a copy of each batch of commands.
fn deliver(cluster: &mut SimulatedCluster, deliveries: usize) {
    for _ in 0..deliveries {
        cluster.step(Operation::PassTime(100));
        cluster.step(Operation::KeepCopiesOfCommands);
        cluster.step(Operation::Deliver(0));
    }
}

/// All machines send heartbeats, and messages are delivered.
fn exchange_heartbeats(cluster: &mut SimulatedCluster) {
    for machine in 0..cluster.workers.len() {
        cluster.step(Operation::SendHeartbeat(machine));
    }
    deliver(cluster, MAX_DELIVERIES);
}

fn deliver_all_copies(cluster: &mut SimulatedCluster) {
    for copy in 0..cluster.kept_copies.len() {
        cluster.step(Operation::DeliverKeptCopy(copy));
    }
}

/// A cluster in which one machine runs the task of a job; returns the number of the machine.
/// Once the task is lost, it is placed on another machine, as its own is cordoned.
fn cluster_with_running_task() -> (SimulatedCluster, usize) {
    let mut cluster = SimulatedCluster::new();
    exchange_heartbeats(&mut cluster);
    cluster.step(Operation::Submit {
        tasks: 1,
        cpus: 8,
        red_team: false,
        awaits: Vec::new(),
    });
    exchange_heartbeats(&mut cluster);
    let has_task = |worker: &Worker| !worker.tasks.is_empty();
    let machine = cluster
        .workers
        .iter()
        .position(has_task)
        .expect("a task was started");
    cluster.step(Operation::AdvanceTasks { machine, outcome: 0 });
    let id = cluster.workers[machine].id.clone();
    let now = cluster.now;
    let cordoned = cluster.model.set_up().machines.get_mut(&id).expect("known");
    cordoned.cordoned_since = Some(now);
    (cluster, machine)
}

fn apply_fate(cluster: &mut SimulatedCluster, machine: usize, fate: Fate) {
    match fate {
        Fate::Runs => {}
        Fate::Fails => {
            cluster.step(Operation::FailAllTasks);
            cluster.step(Operation::SendHeartbeat(machine));
            cluster.step(Operation::Deliver(0));
        }
        Fate::JobCancelled | Fate::JobCancelledAndTaskStopped => {
            cluster.workers[machine].commands_lost = true;
            cluster.step(Operation::Cancel(0));
            deliver(cluster, MAX_DELIVERIES);
            if fate == Fate::JobCancelledAndTaskStopped {
                cluster.step(Operation::SendHeartbeat(machine));
                deliver(cluster, MAX_DELIVERIES);
                cluster.step(Operation::SendHeartbeat(machine));
                cluster.step(Operation::Deliver(0));
            }
            cluster.workers[machine].commands_lost = false;
        }
    }
}

fn come_back(cluster: &mut SimulatedCluster, machine: usize, returns: Returns) {
    if returns != Returns::Controller {
        cluster.step(Operation::Reboot {
            machine,
            new_incarnation: false,
        });
    }
    if returns != Returns::Machine {
        cluster.step(Operation::Elect);
    }
    cluster.step(Operation::SendHeartbeat(machine));
}

fn count_machines_with_live_tasks(cluster: &SimulatedCluster) -> usize {
    let has_live_task = |worker: &&Worker| worker.tasks.values().any(|task| task.is_live());
    cluster.workers.iter().filter(has_live_task).count()
}

/// Plays one scenario. The copies arrive after this many further deliveries, and again at the
/// end. The invariants of the cluster are checked in every step.
fn play(fate: Fate, returns: Returns, deliveries_before_copies: usize) {
    let (mut cluster, machine) = cluster_with_running_task();
    apply_fate(&mut cluster, machine, fate);
    come_back(&mut cluster, machine, returns);
    deliver(&mut cluster, deliveries_before_copies);
    deliver_all_copies(&mut cluster);
    for _ in 0..6 {
        exchange_heartbeats(&mut cluster);
    }
    deliver_all_copies(&mut cluster);
    let live = count_machines_with_live_tasks(&cluster);
    let is_cancelled = matches!(fate, Fate::JobCancelled | Fate::JobCancelledAndTaskStopped);
    assert_eq!(live, usize::from(!is_cancelled), "machines with a live task");
    let has_ended = cluster.final_records.contains_key(&cluster.submitted[0]);
    assert_eq!(has_ended, is_cancelled, "whether the job has ended");
}

// Guards against a second run of a task that a machine has lost: it was placed elsewhere, or its
// job had ended as cancelled, while a copy of its start could still take effect there.
#[test]
fn a_late_copy_of_a_start_has_no_effect_on_a_task_that_was_moved_or_cancelled() {
    for fate in FATES {
        for returns in RETURNS {
            for deliveries in 0..MAX_DELIVERIES {
                let played = std::panic::catch_unwind(|| play(fate, returns, deliveries));
                assert!(
                    played.is_ok(),
                    "{fate:?}, {returns:?} comes back, copies after {deliveries} deliveries"
                );
            }
        }
    }
}

// Guards against the same after the attempt has failed and the leader knows, but the machine
// has lost it before it received the acknowledgement.
#[test]
fn a_failed_task_is_placed_elsewhere_only_once_late_copies_of_its_start_are_refused() {
    let (mut cluster, machine) = cluster_with_running_task();
    let id = cluster.workers[machine].id.clone();
    cluster.step(Operation::FailAllTasks);
    cluster.step(Operation::SendHeartbeat(machine));
    // The response gets lost, and for a while nothing passes between the machine and the
    // leader.
    cluster.workers[machine].unreachable = true;
    cluster.heartbeats_lost.insert(id);
    deliver(&mut cluster, MAX_DELIVERIES);
    cluster.step(Operation::Reboot {
        machine,
        new_incarnation: false,
    });
    exchange_heartbeats(&mut cluster);
    cluster.heartbeats_lost.clear();
    cluster.workers[machine].unreachable = false;
    deliver_all_copies(&mut cluster);
    for _ in 0..6 {
        exchange_heartbeats(&mut cluster);
    }
    deliver_all_copies(&mut cluster);
    assert_eq!(count_machines_with_live_tasks(&cluster), 1);
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let submit = (1..3u32, 5..9u32, any::<bool>()).prop_map(|(tasks, cpus, red_team)| Operation::Submit {
        tasks,
        cpus,
        red_team,
        awaits: Vec::new(),
    });
    prop_oneof![
        2 => submit,
        1 => any::<usize>().prop_map(Operation::Cancel),
        4 => any::<usize>().prop_map(Operation::SendHeartbeat),
        24 => Just(Operation::Deliver(0)),
        10 => Just(Operation::KeepCopiesOfCommands),
        4 => any::<usize>().prop_map(Operation::DeliverKeptCopy),
        2 => any::<usize>().prop_map(|machine| Operation::Reboot { machine, new_incarnation: false }),
        2 => (any::<usize>(), 0..5u8).prop_map(|(machine, outcome)| Operation::AdvanceTasks { machine, outcome }),
        1 => any::<usize>().prop_map(Operation::Lose),
        1 => Just(Operation::Elect),
        8 => (50..400u64).prop_map(Operation::PassTime),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, max_shrink_iters: 300, failure_persistence: None, ..ProptestConfig::default()
    })]

    // Guards against the same in any order of restarts, copies, ends and cancellations.
    #[test]
    fn no_late_copy_of_a_start_takes_effect_elsewhere(
        operations in proptest::collection::vec(any_operation(), 100..500),
    ) {
        let mut cluster = SimulatedCluster::new();
        for operation in operations {
            cluster.step(operation);
        }
    }
}
