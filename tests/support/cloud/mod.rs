//! A cloud and its workers, with faults that tests inject.

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

use super::{json_response, serve, Json};
use machine::Machine;
pub use observations::{TaskChange, TaskEvent};

/// Requests with commands that are being carried out at the same time.
#[derive(Default)]
pub struct ConcurrentCommands {
    /// How many are now.
    pub now: u32,
    /// How many have been at most.
    pub max: u32,
}

/// A cloud whose machines are up at once and run every task for `run`.
pub struct Cloud {
    pub controllers: Vec<(String, SocketAddr)>,
    pub run: Duration,
    /// Jobs whose tasks run for hours.
    slow: Mutex<BTreeSet<JobId>>,
    machines: Mutex<Vec<Arc<Mutex<Machine>>>>,
    /// Machines that each rental request got, so that its repetition gets the same.
    requests: Mutex<HashMap<String, Vec<String>>>,
    /// Tasks that ran on two machines at a time.
    pub doubles: Mutex<Vec<TaskId>>,
    /// How many starts were carried out.
    pub starts: Mutex<u32>,
    /// Batches of commands that were carried out.
    carried_out: Mutex<Vec<(MachineId, CommandBatch)>>,
    /// Heartbeats that got a response, as they were sent.
    reported: Mutex<Vec<Vec<u8>>>,
    /// Commands get 500 and change nothing.
    pub no_commands: AtomicBool,
    /// Duration of the workers' leases; `None`: they never expire.
    lease: Mutex<Option<Duration>>,
    /// All starts and ends of tasks.
    events: Mutex<Vec<TaskEvent>>,
    /// Controllers that no worker reaches.
    pub unreachable: Mutex<BTreeSet<usize>>,
    /// The delay of a copy of each heartbeat; `None`: no copies are sent.
    pub late_copies: Mutex<Option<Duration>>,
    /// Machines that accept connections, but send neither responses nor heartbeats.
    hanging_machines: Mutex<BTreeSet<MachineId>>,
    /// Requests with commands that wait for a response of these.
    hanging_commands: AtomicUsize,
    /// Workers send no heartbeats.
    pub mute: AtomicBool,
    /// Requests with commands that are being carried out.
    pub concurrent_commands: Mutex<ConcurrentCommands>,
}

impl Cloud {
    /// A cloud for controllers at these addresses.
    pub fn new(controllers: Vec<(String, SocketAddr)>, run: Duration) -> Arc<Self> {
        Arc::new(Self {
            controllers,
            run,
            slow: Mutex::default(),
            machines: Mutex::default(),
            requests: Mutex::default(),
            doubles: Mutex::default(),
            starts: Mutex::default(),
            carried_out: Mutex::default(),
            reported: Mutex::default(),
            no_commands: AtomicBool::new(false),
            lease: Mutex::default(),
            events: Mutex::default(),
            unreachable: Mutex::default(),
            late_copies: Mutex::default(),
            hanging_machines: Mutex::default(),
            hanging_commands: AtomicUsize::new(0),
            mute: AtomicBool::new(false),
            concurrent_commands: Mutex::default(),
        })
    }

    /// Starts it on a free port of loopback; its address.
    pub async fn start(self: &Arc<Self>) -> SocketAddr {
        let c = self.clone();
        let with = warp::any().map(move || c.clone());
        let types = warp::get()
            .and(warp::path!("machine_types"))
            .map(|| json_response((200, json!({"rigs": crate::support::types()}))));
        let list = warp::get()
            .and(warp::path!("hosts"))
            .and(with.clone())
            .map(|c: Arc<Cloud>| {
                let all: Vec<Value> = c
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
                json_response((200, json!({"racks": all, "has_next": false})))
            });
        let rent = warp::post()
            .and(warp::path!("hosts"))
            .and(warp::body::json())
            .and(with.clone())
            .then(|r: RentalRequest, c: Arc<Cloud>| async move { json_response(c.rent(r).await) });
        let release = warp::post()
            .and(warp::path!("hosts" / "release"))
            .and(warp::body::json())
            .and(with)
            .map(|r: MachineIds, c: Arc<Cloud>| {
                for m in c.machines.lock().iter() {
                    let mut m = m.lock();
                    if r.machines.contains(&m.id) && !m.released {
                        m.released = true;
                        c.end_all(&mut m);
                    }
                }
                json_response((200, json!({})))
            });
        serve(types.or(list).or(rent).or(release)).await
    }

    pub(super) async fn rent(self: &Arc<Self>, r: RentalRequest) -> Json {
        if let Some(got) = self.requests.lock().get(&r.name) {
            return (200, json!({"racks": got}));
        }
        let mut names = Vec::new();
        for _ in 0..r.count {
            names.push(self.boot(&r.zone, r.spot).await);
        }
        self.requests.lock().insert(r.name, names.clone());
        (200, json!({"racks": names}))
    }
}
