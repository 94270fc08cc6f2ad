//! A whole site on loopback, for tests through the real endpoints.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::leader;
use bitternfold::settings::{DeploymentSettings, OperatorSettings};
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::standins::{send_request, Cloud, State};
use crate::support;

/// Far above what anything here takes; a test that waits so long has failed.
pub const LONG: Duration = Duration::from_secs(60);

/// An address of loopback that no other server of any test uses. On a common one, a
/// port that becomes free while a controller is down may be taken by a stand-in,
/// which then responds in its place.
fn free_address() -> SocketAddr {
    static TAKEN: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let own = Ipv4Addr::new(
        127,
        100 + (process % 100) as u8,
        (process / 100 % 250) as u8,
        TAKEN.fetch_add(1, Ordering::Relaxed),
    );
    let listener = std::net::TcpListener::bind((own, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// The id of the job with this number.
pub fn job_name(n: u32) -> String {
    format!("job-{n:06}")
}

/// Three controllers, a state service and a cloud.
pub struct Site {
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub api: Vec<SocketAddr>,
    pub back: Vec<SocketAddr>,
    texts: Vec<String>,
    stops: Vec<Option<std::sync::mpsc::Sender<()>>>,
}

impl Site {
    /// A site with default settings, whose tasks run for `run`.
    pub async fn start(run: Duration) -> Self {
        Self::with(run, |text| text).await
    }

    /// A site whose settings are changed by `edit`.
    pub async fn with(run: Duration, edit: impl Fn(String) -> String) -> Self {
        let mut site = Self::without_controllers(run, edit).await;
        for i in 0..3 {
            site.boot(i);
        }
        site
    }

    /// The same, none of whose controllers has been started.
    pub async fn without_controllers(run: Duration, edit: impl Fn(String) -> String) -> Self {
        let api: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let back: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let state = Arc::new(State::default());
        let mut state_addrs = Vec::new();
        for i in 0..3 {
            state_addrs.push(state.start(i).await);
        }
        let names = (0..3).map(|i| (format!("heron-{i}"), api[i])).collect();
        let cloud = Cloud::new(names, run);
        let cloud_addr = cloud.start().await;
        let texts = (0..3)
            .map(|i| {
                let seeds: String = (0..3)
                    .filter(|j| *j != i)
                    .map(|j| format!("[[seeds]]\nhost_name = \"heron-{j}\"\nendpoint = \"{}\"\n", back[j]))
                    .collect();
                let rest = support::SETTINGS.split("[services]").nth(1).expect("a table");
                edit(format!(
                    "host_name = \"heron-{i}\"\nzone = \"north\"\napi_addr = \"{}\"\nback = \"{}\"\n{seeds}[services]{}",
                    api[i],
                    back[i],
                    rest.replace("127.0.0.1:4", &cloud_addr.to_string())
                        .replace("127.0.0.1:5", &state_addrs[i].to_string()),
                ))
            })
            .collect();
        Self {
            state,
            cloud,
            api,
            back,
            texts,
            stops: vec![None, None, None],
        }
    }

    /// A controller's settings.
    pub fn settings(&self, i: usize) -> &str {
        &self.texts[i]
    }

    /// Runs a controller on a thread of its own, as a process would.
    pub fn boot(&mut self, i: usize) {
        let deployment = DeploymentSettings::parse(&self.texts[i], "test").expect("settings");
        let (tx, rx) = std::sync::mpsc::channel::<()>();
        self.stops[i] = Some(tx);
        std::thread::spawn(move || {
            let rt = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            rt.block_on(async move {
                tokio::spawn(async move {
                    // A restart may find the port still closing.
                    while leader::run(deployment.clone(), OperatorSettings::default())
                        .await
                        .is_err()
                    {
                        sleep(Duration::from_millis(50)).await;
                    }
                });
                while rx.try_recv() == Err(std::sync::mpsc::TryRecvError::Empty) {
                    sleep(Duration::from_millis(20)).await;
                }
            });
        });
    }

    /// Which controller leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        self.state.leader()?.strip_prefix("heron-")?.parse().ok()
    }

    /// Waits until somebody leads.
    pub async fn until_some_leader(&self) {
        let began = Instant::now();
        while self.leader().is_none() {
            assert!(began.elapsed() < LONG, "nobody is elected");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until as many tasks run as `enough` says.
    pub async fn until_running(&self, enough: impl Fn(usize) -> bool) {
        let began = Instant::now();
        while !enough(self.cloud.running()) {
            assert!(began.elapsed() < LONG, "{} tasks run", self.cloud.running());
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether a controller was booted and not killed since.
    pub fn is_up(&self, i: usize) -> bool {
        self.stops[i].is_some()
    }

    /// Kills a controller.
    pub fn kill(&mut self, i: usize) {
        self.stops[i] = None;
    }

    /// A job of tasks with 2 CPUs.
    pub fn job(&self, n: u32, tasks: u32) -> Value {
        let mut v = serde_json::to_value(support::job(n, tasks, 2.0)).expect("json");
        v["expected_s"] = json!(1.0);
        v
    }

    /// A job that waits for others.
    pub fn job_awaiting(&self, n: u32, tasks: u32, others: &[u32]) -> Value {
        let mut v = self.job(n, tasks);
        v["awaits"] = json!(others.iter().map(|other| job_name(*other)).collect::<Vec<_>>());
        v
    }

    /// Repeats a request until its response has another status than 503.
    pub async fn insist(&self, method: &str, at: usize, path: &str, body: Option<Value>) -> (u16, Value) {
        let began = Instant::now();
        loop {
            let (status, body) = send_request(method, self.api[at], path, body.clone()).await;
            if status != 503 && status != 0 {
                return (status, body);
            }
            assert!(began.elapsed() < LONG, "{method} {path} gets no response but 503");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Polls a job at a controller until it has this state; the response's body.
    pub async fn until(&self, at: usize, job: &str, state: &str) -> Value {
        let began = Instant::now();
        loop {
            let (status, v) = self.insist("GET", at, &format!("/v2/runs/{job}"), None).await;
            assert_eq!(status, 200, "{job}: {v}");
            if v["standing"] == state {
                return v;
            }
            assert!(began.elapsed() < LONG, "{job} is still {v}");
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Runs a test in a runtime of its own.
pub fn on_loopback<F: std::future::Future>(f: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(f)
}
