//! A cloud and its workers, with the troubles that tests ask for.

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

use super::{answer, serve, Json};
use machine::Machine;
pub use observations::{TaskChange, TaskEvent};

/// A cloud whose machines are up at once and run every task for `run`.
pub struct Cloud {
    pub controllers: Vec<(String, SocketAddr)>,
    pub run: Duration,
    /// Jobs whose tasks run for hours.
    slow: Mutex<BTreeSet<JobId>>,
    machines: Mutex<Vec<Arc<Mutex<Machine>>>>,
    requests: Mutex<HashMap<String, Vec<String>>>,
    /// Starts of each task, and whether any ran twice at a time.
    pub doubles: Mutex<Vec<TaskId>>,
    pub starts: Mutex<u32>,
    /// Commands that were carried out, reports that were answered, releases.
    carried_out: Mutex<Vec<(MachineId, CommandBatch)>>,
    reported: Mutex<Vec<Vec<u8>>>,
    /// Commands get no answer and change nothing.
    pub no_commands: AtomicBool,
    /// Life of the workers' leases; none: they last for ever.
    lease: Mutex<Option<Duration>>,
    /// All that was started and ended.
    events: Mutex<Vec<TaskEvent>>,
    /// Controllers that no worker reaches, and the delay of a copy of each report.
    pub unreachable: Mutex<BTreeSet<usize>>,
    pub late_copies: Mutex<Option<Duration>>,
    /// Machines that hang: they take connections, answer nothing and report nothing.
    hanging: Mutex<BTreeSet<MachineId>>,
    /// Commands on their way to them.
    hanging_commands: AtomicUsize,
    /// Workers report nothing.
    pub mute: AtomicBool,
    /// Commands on their way at once, at the most.
    pub most_at_once: Mutex<(u32, u32)>,
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
            hanging: Mutex::default(),
            hanging_commands: AtomicUsize::new(0),
            mute: AtomicBool::new(false),
            most_at_once: Mutex::default(),
        })
    }

    /// Starts it on a port that was bound before.
    pub async fn start(self: &Arc<Self>) -> SocketAddr {
        let c = self.clone();
        let with = warp::any().map(move || c.clone());
        let types = warp::get()
            .and(warp::path!("machine_types"))
            .map(|| answer((200, json!({"rigs": crate::support::types()}))));
        let list = warp::get()
            .and(warp::path!("hosts"))
            .and(with.clone())
            .map(|c: Arc<Cloud>| {
                let all: Vec<Value> = c
                    .machines
                    .lock()
                    .iter()
                    .map(|m| m.lock())
                    .filter(|m| !m.gone)
                    .map(|m| {
                        json!({"name_id": m.id, "endpoint": m.addr, "rig": "small", "yard": m.zone,
                           "loaners": m.spot, "standing": "running", "age_s": 1.0})
                    })
                    .collect();
                answer((200, json!({"racks": all, "has_next": false})))
            });
        let rent = warp::post()
            .and(warp::path!("hosts"))
            .and(warp::body::json())
            .and(with.clone())
            .then(|r: RentalRequest, c: Arc<Cloud>| async move { answer(c.rent(r).await) });
        let release = warp::post()
            .and(warp::path!("hosts" / "release"))
            .and(warp::body::json())
            .and(with)
            .map(|r: MachineNames, c: Arc<Cloud>| {
                for m in c.machines.lock().iter() {
                    let mut m = m.lock();
                    if r.machines.contains(&m.id) && !m.gone {
                        m.gone = true;
                        c.end_all(&mut m);
                    }
                }
                answer((200, json!({})))
            });
        serve(types.or(list).or(rent).or(release)).await
    }

    pub(super) async fn rent(self: &Arc<Self>, r: RentalRequest) -> Json {
        if let Some(got) = self.requests.lock().get(&r.request) {
            return (200, json!({"racks": got}));
        }
        let mut names = Vec::new();
        for _ in 0..r.count {
            names.push(self.boot(&r.zone, r.spot).await);
        }
        self.requests.lock().insert(r.request, names.clone());
        (200, json!({"racks": names}))
    }
}
