//! Generated faults. During them no task runs on two machines and no job is reported as
//! done too early; after them all jobs finish.

use std::collections::{BTreeMap, BTreeSet};

use bitternfold::wire::*;
use proptest::prelude::*;

use crate::cluster::{Operation, SimulatedCluster};
use crate::support::*;

/// Half of the jobs have no dependencies, the others have up to three.
fn any_submit() -> impl Strategy<Value = Operation> {
    let awaits = prop_oneof![Just(Vec::new()), proptest::collection::vec(any::<usize>(), 1..4)];
    (1..5u32, 1..9u32, any::<bool>(), awaits).prop_map(|(tasks, cpus, red_team, awaits)| Operation::Submit {
        tasks,
        cpus,
        red_team,
        awaits,
    })
}

fn any_operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => any_submit(),
        1 => any::<usize>().prop_map(Operation::Cancel),
        2 => any::<usize>().prop_map(Operation::ResolveDependency),
        6 => any::<usize>().prop_map(Operation::SendHeartbeat),
        20 => any::<usize>().prop_map(Operation::Deliver),
        2 => any::<usize>().prop_map(Operation::Duplicate),
        2 => any::<usize>().prop_map(Operation::Lose),
        4 => (any::<usize>(), any::<u8>()).prop_map(|(machine, outcome)| Operation::AdvanceTasks { machine, outcome }),
        1 => any::<usize>().prop_map(Operation::ExpireLease),
        1 => any::<usize>().prop_map(Operation::Release),
        1 => any::<usize>().prop_map(Operation::MachineDies),
        1 => (0..4usize, any::<bool>()).prop_map(|(machines, begins)| Operation::Unreachable { machines, begins }),
        1 => (0..4usize, any::<bool>()).prop_map(|(machines, begins)| Operation::CommandsLost { machines, begins }),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(machine, new_incarnation)| Operation::Reboot { machine, new_incarnation }),
        1 => (0..4usize, any::<bool>()).prop_map(|(machines, begins)| Operation::HeartbeatsLost { machines, begins }),
        1 => any::<usize>().prop_map(Operation::CancelAsTasksEnd),
        1 => (2..11u8).prop_map(Operation::ElectInSuccession),
        1 => Just(Operation::NoLeaderForALease),
        3 => Just(Operation::FailAllTasks),
        2 => any::<usize>().prop_map(Operation::KeepCopy),
        2 => any::<usize>().prop_map(Operation::DeliverKeptCopy),
        2 => any::<usize>().prop_map(Operation::DeposedLeaderResponds),
        1 => Just(Operation::Elect),
        3 => (1..2000u64).prop_map(Operation::PassTime),
        1 => (1..60u64).prop_map(Operation::PauseLeader),
    ]
}

/// Applies these operations, except for deaths of machines, and then ends every fault that
/// makes messages get lost.
fn cluster_after_faults(operations: Vec<Operation>) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new();
    for operation in operations {
        if !matches!(operation, Operation::MachineDies(_)) {
            cluster.step(operation);
        }
    }
    cluster.step(Operation::Unreachable {
        machines: usize::MAX - 1,
        begins: false,
    });
    cluster.heartbeats_lost.clear();
    for worker in &mut cluster.workers {
        worker.unreachable = false;
        worker.commands_lost = false;
    }
    cluster
}

/// Runs the cluster without faults. Fails if a job doesn't finish, or waits for more than
/// 90 s despite free capacity.
fn finish_without_faults(cluster: &mut SimulatedCluster) -> Result<(), TestCaseError> {
    let mut waiting_since = BTreeMap::new();
    for i in 0..9600usize {
        // Outcome 0 completes running tasks, 4 leaves them running. They run long enough that
        // jobs wait and every machine is needed.
        let task_outcome = if i / 8 % 60 < 8 { 0 } else { 4 };
        let operation = match i % 8 {
            0 => Operation::SendHeartbeat(i / 8),
            1 => Operation::AdvanceTasks {
                machine: i / 8,
                outcome: task_outcome,
            },
            7 => Operation::PassTime(400),
            6 => Operation::ResolveDependency(0),
            _ => Operation::Deliver(0),
        };
        // Stands for the fleet management, which releases silent machines.
        let is_alive = |id: &MachineId| {
            cluster
                .workers
                .iter()
                .any(|worker| worker.alive && worker.id == *id)
        };
        let dead: Vec<MachineId> = cluster
            .model
            .machines()
            .keys()
            .filter(|id| !is_alive(id))
            .cloned()
            .collect();
        for id in dead {
            cluster.model.remove_released_machine(&id, cluster.now);
        }
        cluster.step(operation);
        let waiting = cluster.jobs_waiting_despite_free_capacity();
        waiting_since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *waiting_since.entry(id).or_insert(cluster.now);
            prop_assert!(
                cluster.now - since <= secs(90),
                "{id} has waited for {:?} despite free capacity",
                cluster.now - since
            );
        }
    }
    let open_jobs: BTreeSet<_> = cluster.stored_jobs.keys().collect();
    prop_assert!(
        open_jobs.is_empty(),
        "unfinished jobs: {:?}, messages in flight: {}",
        open_jobs,
        cluster.in_flight.len()
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, max_shrink_iters: 300, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn no_task_runs_on_two_machines_under_faults(operations in proptest::collection::vec(any_operation(), 50..400)) {
        let mut cluster = SimulatedCluster::new();
        for operation in operations {
            cluster.step(operation);
        }
    }

    /// After the faults every job that isn't cancelled gets done, and none waits for long
    /// while a machine has enough free capacity for one of its tasks.
    #[test]
    fn all_jobs_finish_after_the_faults_end(operations in proptest::collection::vec(any_operation(), 20..200)) {
        let mut cluster = cluster_after_faults(operations);
        finish_without_faults(&mut cluster)?;
    }

    /// The same after all live tasks have failed, six times in a row.
    #[test]
    fn no_job_waits_long_despite_free_capacity_after_all_tasks_failed(operations in proptest::collection::vec(any_operation(), 20..200)) {
        let mut cluster = cluster_after_all_tasks_failed(operations);
        finish_without_faults(&mut cluster)?;
    }
}

/// Applies these operations, ends the faults, and then lets all live tasks fail six times.
fn cluster_after_all_tasks_failed(operations: Vec<Operation>) -> SimulatedCluster {
    let mut cluster = cluster_after_faults(operations);
    for i in 0..240usize {
        let operation = match (i % 40, i % 8) {
            (39, _) => Operation::FailAllTasks,
            (_, 0) => Operation::SendHeartbeat(i / 8),
            (_, 7) => Operation::PassTime(400),
            _ => Operation::Deliver(0),
        };
        cluster.step(operation);
    }
    cluster
}

#[test]
fn a_job_whose_tasks_failed_on_all_machines_is_fully_placed_in_time() {
    // After this generated sequence, tasks once waited for 90.4 s despite free capacity:
    // their job was paused for 32 s at a time and then placed one task at a time, while
    // machines stayed cordoned.
    let submit = |tasks, cpus, red_team| Operation::Submit {
        tasks,
        cpus,
        red_team,
        awaits: Vec::new(),
    };
    let deliver = Operation::Deliver;
    let operations = vec![
        submit(4, 8, false),
        deliver(8392230948040143242),
        deliver(16564175535304606279),
        Operation::NoLeaderForALease,
        Operation::SendHeartbeat(9103296329697265438),
        Operation::Elect,
        Operation::SendHeartbeat(4200274648089707579),
        submit(2, 3, true),
        Operation::Lose(16004930154143770109),
        deliver(17343191845699540759),
        Operation::Lose(4468235302978096618),
        deliver(1425582355381907534),
        deliver(13532930482197435665),
        submit(3, 2, false),
        submit(4, 8, true),
        deliver(14900104632600383177),
        deliver(9102860268548386656),
        Operation::Unreachable {
            machines: 3,
            begins: true,
        },
        deliver(8569058169103209391),
        Operation::Cancel(12789475987345334307),
        deliver(4598935939551699462),
        Operation::Cancel(11118938990765730372),
        Operation::ElectInSuccession(7),
        Operation::CancelAsTasksEnd(13691221138265307172),
        deliver(6658439204812937593),
        Operation::Release(2914089572435201884),
        Operation::Lose(14365060187647711373),
        Operation::SendHeartbeat(17289338726488251579),
        deliver(2993201230049916690),
        Operation::PassTime(1597),
        deliver(9587532462849967997),
        deliver(9131733887317759306),
        deliver(9369583810463035282),
        Operation::Elect,
        submit(1, 6, true),
        deliver(9037973649855983994),
        deliver(11834334059939642239),
        deliver(5766986400068430867),
    ];
    let mut cluster = cluster_after_all_tasks_failed(operations);
    finish_without_faults(&mut cluster).expect("all jobs finish and none waits for long");
}
