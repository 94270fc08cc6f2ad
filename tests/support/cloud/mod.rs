//! A stand-in of the cloud and of the workers on its machines, with faults that tests
//! inject.

mod commands;
mod faults;
mod heartbeats;
mod machine;
mod observations;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::Arc;
use std::time::Duration;

use bitternfold::wire::*;
use parking_lot::Mutex;
use serde_json::{json, Value};
use warp::Filter;

use super::{json_response, serve, JsonResponse};
use machine::Machine;
pub use observations::{TaskEvent, TaskEventKind};

/// The number of command requests that workers execute at the same time.
#[derive(Default)]
pub struct ConcurrentCommands {
    pub current: u32,
    /// The highest value of `current` so far.
    pub max: u32,
}

/// A cloud whose machines start without delay and run every task for `task_duration`,
/// except for tasks of `slow_jobs`.
pub struct Cloud {
    /// Names and addresses of the controllers.
    pub controllers: Vec<(String, SocketAddr)>,
    pub task_duration: Duration,
    /// Jobs whose tasks run for 2 hours.
    slow_jobs: Mutex<BTreeSet<JobId>>,
    machines: Mutex<Vec<Arc<Mutex<Machine>>>>,
    /// The machines that each rental request got, so that a repeated request gets the same
    /// ones.
    rentals: Mutex<HashMap<String, Vec<String>>>,
    /// Tasks that ran on two machines at the same time.
    pub tasks_run_twice: Mutex<Vec<TaskId>>,
    /// The number of start commands that started a task.
    pub starts: Mutex<u32>,
    /// Batches of commands that were executed, with the machine of each.
    executed_batches: Mutex<Vec<(MachineId, CommandBatch)>>,
    /// Bodies of the heartbeats that got the status 200, oldest first.
    answered_heartbeats: Mutex<Vec<Vec<u8>>>,
    /// Fault: command requests get the status 500 and change nothing.
    pub reject_commands: AtomicBool,
    /// Duration of the workers' leases; `None`: they never expire.
    worker_lease: Mutex<Option<Duration>>,
    /// All starts and ends of tasks, oldest first.
    events: Mutex<Vec<TaskEvent>>,
    /// Fault: controllers that no heartbeat reaches.
    pub unreachable: Mutex<BTreeSet<usize>>,
    /// Fault: each heartbeat is sent a second time after this delay; `None`: no copies.
    pub late_copy_delay: Mutex<Option<Duration>>,
    /// Fault: machines that accept connections, but send neither responses nor heartbeats.
    hanging_machines: Mutex<BTreeSet<MachineId>>,
    /// The number of command requests that wait for a response of a hanging machine.
    hanging_commands: AtomicUsize,
    /// Fault: workers send no heartbeats.
    pub suppress_heartbeats: AtomicBool,
    pub concurrent_commands: Mutex<ConcurrentCommands>,
}

impl Cloud {
    /// A cloud without machines. Its workers report to these controllers, which are given by
    /// name and address.
    pub fn new(controllers: Vec<(String, SocketAddr)>, task_duration: Duration) -> Arc<Self> {
        Arc::new(Self {
            controllers,
            task_duration,
            slow_jobs: Mutex::default(),
            machines: Mutex::default(),
            rentals: Mutex::default(),
            tasks_run_twice: Mutex::default(),
            starts: Mutex::default(),
            executed_batches: Mutex::default(),
            answered_heartbeats: Mutex::default(),
            reject_commands: AtomicBool::new(false),
            worker_lease: Mutex::default(),
            events: Mutex::default(),
            unreachable: Mutex::default(),
            late_copy_delay: Mutex::default(),
            hanging_machines: Mutex::default(),
            hanging_commands: AtomicUsize::new(0),
            suppress_heartbeats: AtomicBool::new(false),
            concurrent_commands: Mutex::default(),
        })
    }

    /// Starts the cloud's endpoint on a free port of 127.0.0.1; returns the address.
    pub async fn start(self: &Arc<Self>) -> SocketAddr {
        let cloud = self.clone();
        let with_cloud = warp::any().map(move || cloud.clone());
        let types = warp::get()
            .and(warp::path!("machine_types"))
            .map(|| json_response((200, json!({"rigs": crate::support::machine_types()}))));
        let list = warp::get()
            .and(warp::path!("hosts"))
            .and(with_cloud.clone())
            .map(|cloud: Arc<Cloud>| {
                let listed: Vec<Value> = cloud
                    .machines
                    .lock()
                    .iter()
                    .map(|m| m.lock())
                    .filter(|m| !m.released)
                    .map(|m| {
                        json!({"name_id": m.id, "endpoint": m.addr, "rig": "small", "yard": m.zone,
                           "loaners": m.spot, "standing": "running", "age_s": 1.0})
                    })
                    .collect();
                json_response((200, json!({"racks": listed, "has_next": false})))
            });
        let rent = warp::post()
            .and(warp::path!("hosts"))
            .and(warp::body::json())
            .and(with_cloud.clone())
            .then(|rental: RentalRequest, cloud: Arc<Cloud>| async move {
                json_response(cloud.rent(rental).await)
            });
        let release = warp::post()
            .and(warp::path!("hosts" / "release"))
            .and(warp::body::json())
            .and(with_cloud)
            .map(|release: MachineIds, cloud: Arc<Cloud>| {
                for machine in cloud.machines.lock().iter() {
                    let mut machine = machine.lock();
                    if release.machines.contains(&machine.id) && !machine.released {
                        machine.released = true;
                        cloud.end_all_tasks(&mut machine);
                    }
                }
                json_response((200, json!({})))
            });
        serve(types.or(list).or(rent).or(release)).await
    }

    pub(super) async fn rent(self: &Arc<Self>, rental: RentalRequest) -> JsonResponse {
        if let Some(rented) = self.rentals.lock().get(&rental.name) {
            return (200, json!({"racks": rented}));
        }
        let mut rented = Vec::new();
        for _ in 0..rental.count {
            rented.push(self.boot(&rental.zone, rental.spot).await);
        }
        self.rentals.lock().insert(rental.name, rented.clone());
        (200, json!({"racks": rented}))
    }
}
