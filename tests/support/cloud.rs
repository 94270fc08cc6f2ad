//! A cloud and its workers, with the troubles that tests ask for.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::http::HttpClient;
use bitternfold::wire::*;
use parking_lot::Mutex;
use serde_json::{json, Value};
use tokio::time::sleep;
use warp::Filter;

use super::{answer, serve, Json};

struct Task {
    attempt: u64,
    state: TaskState,
    exit_reason: Option<ExitReason>,
    until: Instant,
}

/// A machine with its worker.
pub struct Machine {
    id: MachineId,
    addr: String,
    zone: String,
    spot: bool,
    incarnation: u64,
    sequence: u64,
    token: u64,
    tasks: BTreeMap<TaskId, Task>,
    /// Its last answered report was sent then.
    renewed: Instant,
    gone: bool,
}

/// Something that a machine did.
#[derive(Debug, Clone)]
pub struct TaskEvent {
    pub at: Instant,
    pub task: TaskId,
    pub machine: String,
    pub zone: String,
    pub what: TaskChange,
}

/// What became of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskChange {
    Started,
    /// It is there no more; whether it had completed.
    Ended {
        done: bool,
    },
}

/// How long a worker waits for an answer to a report.
const REPORT_PATIENCE: Duration = Duration::from_secs(4);

/// One more of something, for as long as it lives.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

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
            .then(|r: Rental, c: Arc<Cloud>| async move { answer(c.rent(r).await) });
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

    async fn rent(self: &Arc<Self>, r: Rental) -> Json {
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

    /// Late copies of all commands that were carried out arrive.
    pub fn repeat_commands(&self) {
        let machines = self.machines.lock().clone();
        for (id, c) in self.carried_out.lock().clone() {
            if let Some(m) = machines.iter().find(|m| m.lock().id == id) {
                let mut m = m.lock();
                if !m.gone && c.token >= m.token {
                    m.token = c.token;
                    c.commands.iter().for_each(|c| self.execute(&mut m, *c));
                }
            }
        }
    }

    /// Reports that were answered, oldest first.
    pub fn reported(&self) -> Vec<Vec<u8>> {
        self.reported.lock().clone()
    }

    /// Lets tasks of a job that start from now on run for hours.
    pub fn run_slowly(&self, job: &str) {
        self.slow.lock().insert(job.parse().expect("an id"));
    }

    /// These machines hang from now on.
    pub fn hang(&self, machines: &[String]) {
        let ids = machines.iter().map(|id| id.as_str().into());
        self.hanging.lock().extend(ids);
    }

    fn hangs(&self, m: &Mutex<Machine>) -> bool {
        let id = m.lock().id.clone();
        self.hanging.lock().contains(&id)
    }

    /// How many commands wait for an answer of a machine that hangs.
    pub fn hanging_commands(&self) -> usize {
        self.hanging_commands.load(Ordering::Relaxed)
    }

    /// How often tasks of a job were started by a command that was carried out.
    pub fn starts_of(&self, job: &str) -> usize {
        let job: JobId = job.parse().expect("an id");
        let carried_out = self.carried_out.lock();
        let commands = carried_out.iter().flat_map(|(_, c)| &c.commands);
        commands
            .filter(|c| matches!(c, Command::Start { task, .. } if task.job == job))
            .count()
    }

    /// Machines on which no task is.
    pub fn empty_machines(&self) -> Vec<String> {
        let all = self.machines.lock();
        let empty = all
            .iter()
            .map(|m| m.lock())
            .filter(|m| !m.gone && m.tasks.is_empty());
        empty.map(|m| m.id.to_string()).collect()
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        let all = self.machines.lock();
        let there = all.iter().map(|m| m.lock()).filter(|m| !m.gone);
        there
            .map(|m| m.tasks.values().filter(|t| t.state == TaskState::Running).count())
            .sum()
    }

    /// The machines that are there.
    pub fn names(&self) -> Vec<String> {
        let all = self.machines.lock();
        let there = all.iter().map(|m| m.lock()).filter(|m| !m.gone);
        there.map(|m| m.id.to_string()).collect()
    }

    /// Boots a machine; its name.
    pub async fn boot(self: &Arc<Self>, zone: &str, spot: bool) -> String {
        let n = self.machines.lock().len();
        let id = format!("i-{n:06}");
        let machine = Arc::new(Mutex::new(Machine {
            id: id.as_str().into(),
            addr: String::new(),
            zone: zone.to_owned(),
            spot,
            incarnation: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            renewed: Instant::now(),
            gone: false,
        }));
        let (c, m) = (self.clone(), machine.clone());
        let with = warp::any().map(move || (c.clone(), m.clone()));
        let commands = warp::post()
            .and(warp::path!("commands"))
            .and(warp::body::json())
            .and(with)
            .then(
                |b: CommandBatch, (c, m): (Arc<Cloud>, Arc<Mutex<Machine>>)| async move {
                    if c.hangs(&m) {
                        let _counted = Counted::new(&c.hanging_commands);
                        sleep(Duration::from_secs(3600)).await;
                    }
                    {
                        let mut n = c.most_at_once.lock();
                        n.0 += 1;
                        n.1 = n.1.max(n.0);
                    }
                    sleep(Duration::from_millis(5)).await;
                    let r = c.command(&m, &b);
                    c.most_at_once.lock().0 -= 1;
                    answer(r)
                },
            );
        let addr = serve(commands).await;
        machine.lock().addr = addr.to_string();
        self.machines.lock().push(machine.clone());
        tokio::spawn(self.clone().heartbeat(machine));
        id
    }

    fn command(&self, m: &Mutex<Machine>, b: &CommandBatch) -> Json {
        let mut m = m.lock();
        if m.gone || self.no_commands.load(Ordering::Relaxed) {
            return (500, json!({}));
        }
        let ok = b.token >= m.token && b.incarnation == m.incarnation;
        if ok {
            m.token = b.token;
            self.carried_out.lock().push((m.id.clone(), b.clone()));
            for c in &b.commands {
                self.execute(&mut m, *c);
            }
        }
        (
            if ok { 200 } else { 409 },
            serde_json::to_value(report_of(&mut m)).expect("json"),
        )
    }

    fn execute(&self, m: &mut Machine, c: Command) {
        match c {
            Command::Start { task, attempt } => {
                if m.tasks.contains_key(&task) {
                    return;
                }
                *self.starts.lock() += 1;
                self.note(m, task, TaskChange::Started);
                let slow = self.slow.lock().contains(&task.job);
                let run = if slow { Duration::from_secs(7200) } else { self.run };
                let until = Instant::now() + run;
                m.tasks.insert(
                    task,
                    Task {
                        attempt,
                        state: TaskState::Running,
                        exit_reason: None,
                        until,
                    },
                );
                let here = m.id.clone();
                let twice = self.machines.lock().iter().any(|o| {
                    // Its own lock is held; the others are asked in turn.
                    o.try_lock().is_some_and(|o| {
                        o.id != here
                            && !o.gone
                            && o.tasks.get(&task).is_some_and(|t| t.state == TaskState::Running)
                    })
                });
                if twice {
                    self.doubles.lock().push(task);
                }
            }
            Command::Stop { task, attempt, .. } => {
                let live = |t: &&mut Task| t.attempt == attempt && t.state != TaskState::Exited;
                if let Some(t) = m.tasks.get_mut(&task).filter(live) {
                    (t.state, t.exit_reason) = (TaskState::Exited, Some(ExitReason::Stopped));
                    self.note(m, task, TaskChange::Ended { done: false });
                }
            }
            Command::Acknowledge { task, attempt } => {
                if m.tasks.get(&task).is_some_and(|t| t.attempt == attempt) {
                    m.tasks.remove(&task);
                }
            }
        }
    }

    fn note(&self, m: &Machine, task: TaskId, what: TaskChange) {
        self.events.lock().push(TaskEvent {
            at: Instant::now(),
            task,
            machine: m.id.to_string(),
            zone: m.zone.clone(),
            what,
        });
    }

    /// All that was started and ended, in the order of time.
    pub fn events(&self) -> Vec<TaskEvent> {
        self.events.lock().clone()
    }

    /// Workers have leases of such a life from now on.
    pub fn use_leases(&self, lease: Duration) {
        *self.lease.lock() = Some(lease);
    }

    /// Machines that hang go on.
    pub fn resume(&self) {
        self.hanging.lock().clear();
    }

    /// All that is on a machine is gone.
    fn end_all(&self, m: &mut Machine) {
        for (task, t) in std::mem::take(&mut m.tasks) {
            if t.state != TaskState::Exited {
                self.note(m, task, TaskChange::Ended { done: false });
            }
        }
    }

    /// Ends the session whose lease is over, and tasks that have completed.
    fn pass_time(&self, m: &mut Machine) {
        let now = Instant::now();
        let lease = *self.lease.lock();
        if lease.is_some_and(|lease| now > m.renewed + lease) {
            self.end_all(m);
            m.incarnation += 1;
            m.renewed = now;
        }
        let ended: Vec<TaskId> = m
            .tasks
            .iter()
            .filter(|(_, t)| t.state == TaskState::Running && t.until <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in ended {
            let t = m.tasks.get_mut(&task).expect("just seen");
            (t.state, t.exit_reason) = (TaskState::Exited, Some(ExitReason::Done));
            self.note(m, task, TaskChange::Ended { done: true });
        }
    }

    /// A copy of a report arrives late, and its answer reaches nobody.
    fn copy_late(&self, body: &[u8], to: &str) {
        let Some(delay) = *self.late_copies.lock() else {
            return;
        };
        let (body, to) = (body.to_vec(), to.to_owned());
        tokio::spawn(async move {
            sleep(delay).await;
            let method = hyper::Method::POST;
            let http = HttpClient::default();
            let _ = http
                .call(method, &to, "/v1/report", Some(body), REPORT_PATIENCE)
                .await;
        });
    }

    async fn heartbeat(self: Arc<Self>, m: Arc<Mutex<Machine>>) {
        let http = HttpClient::default();
        let mut at = 0;
        loop {
            sleep(Duration::from_millis(150)).await;
            self.pass_time(&mut m.lock());
            if self.mute.load(Ordering::Relaxed) || self.hangs(&m) {
                continue;
            }
            let (sent, incarnation) = (Instant::now(), m.lock().incarnation);
            let body = {
                let mut m = m.lock();
                if m.gone {
                    return;
                }
                serde_json::to_vec(&report_of(&mut m)).expect("json")
            };
            let controller = at % self.controllers.len();
            if self.unreachable.lock().contains(&controller) {
                at += 1;
                continue;
            }
            let to = self.controllers[controller].1.to_string();
            self.copy_late(&body, &to);
            let r = http
                .call(
                    hyper::Method::POST,
                    &to,
                    "/v1/report",
                    Some(body.clone()),
                    Duration::from_secs(2),
                )
                .await;
            match r {
                Ok(r) if r.status == 200 => {
                    self.reported.lock().push(body);
                    let reply: HeartbeatResponse = serde_json::from_slice(&r.body).expect("a reply");
                    let mut m = m.lock();
                    let late = sent.elapsed() > REPORT_PATIENCE;
                    if reply.token < m.token || m.incarnation != incarnation || late {
                        continue;
                    }
                    m.token = reply.token;
                    m.renewed = m.renewed.max(sent);
                    for c in reply.commands {
                        self.execute(&mut m, c);
                    }
                }
                Ok(r) if r.status == 421 => {
                    let to = serde_json::from_slice::<Redirect>(&r.body)
                        .expect("a body")
                        .report_to;
                    at = self
                        .controllers
                        .iter()
                        .position(|c| Some(&c.0) == to.as_ref())
                        .unwrap_or(at + 1);
                }
                _ => at += 1,
            }
        }
    }
}

fn report_of(m: &mut Machine) -> Heartbeat {
    m.sequence += 1;
    Heartbeat {
        machine: m.id.clone(),
        addr: m.addr.clone(),
        machine_type: "small".into(),
        zone: m.zone.clone(),
        spot: m.spot,
        incarnation: m.incarnation,
        sequence: m.sequence,
        token: m.token,
        notice_s: None,
        tasks: m
            .tasks
            .iter()
            .map(|(t, x)| ReportedTask {
                task: *t,
                attempt: x.attempt,
                state: x.state,
                exit_reason: x.exit_reason,
                saved: None,
            })
            .collect(),
    }
}
