//! A whole site on loopback: controllers with their real endpoints, against stand-ins of
//! the state service and the cloud.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::leader;
use bitternfold::settings::{DeploymentSettings, OperatorSettings};
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::standins::{send_request, Cloud, StateService};
use crate::support;

/// How long a test waits for a condition before it fails; far longer than any of them takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// An address on a loopback IP that no other server of any test uses. If servers shared
/// an IP, a stand-in could take the port of a controller that is down and respond in
/// its place.
fn free_address() -> SocketAddr {
    static NEXT_OCTET: AtomicU8 = AtomicU8::new(1);
    let process_id = std::process::id();
    let ip = Ipv4Addr::new(
        127,
        100 + (process_id % 100) as u8,
        (process_id / 100 % 250) as u8,
        NEXT_OCTET.fetch_add(1, Ordering::Relaxed),
    );
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// The id of the job with this number.
pub fn job_id(n: u32) -> String {
    format!("job-{n:06}")
}

/// Three controllers, a state service and a cloud.
pub struct Site {
    pub state: Arc<StateService>,
    pub cloud: Arc<Cloud>,
    pub api_addrs: Vec<SocketAddr>,
    pub peer_addrs: Vec<SocketAddr>,
    settings: Vec<String>,
    /// Dropping a controller's sender kills the controller; `None`: it doesn't run.
    stop_senders: Vec<Option<std::sync::mpsc::Sender<()>>>,
}

impl Site {
    /// Starts a site with default settings, whose tasks run for `task_duration`.
    pub async fn start(task_duration: Duration) -> Self {
        Self::with_settings(task_duration, |settings| settings).await
    }

    /// Starts a site; `edit` changes the settings text of each controller.
    pub async fn with_settings(task_duration: Duration, edit: impl Fn(String) -> String) -> Self {
        let mut site = Self::without_controllers(task_duration, edit).await;
        for i in 0..3 {
            site.start_controller(i);
        }
        site
    }

    /// Like [`with_settings`](Self::with_settings), but starts no controller.
    pub async fn without_controllers(task_duration: Duration, edit: impl Fn(String) -> String) -> Self {
        let api_addrs: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let peer_addrs: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let state = Arc::new(StateService::default());
        let mut state_addrs = Vec::new();
        for i in 0..3 {
            state_addrs.push(state.start(i).await);
        }
        let controllers = (0..3).map(|i| (format!("heron-{i}"), api_addrs[i])).collect();
        let cloud = Cloud::new(controllers, task_duration);
        let cloud_addr = cloud.start().await;
        let settings = (0..3)
            .map(|i| {
                let seeds: String = (0..3)
                    .filter(|j| *j != i)
                    .map(|j| format!("[[seeds]]\nhost_name = \"heron-{j}\"\nendpoint = \"{}\"\n", peer_addrs[j]))
                    .collect();
                let rest = support::SETTINGS.split("[services]").nth(1).expect("a table");
                edit(format!(
                    "host_name = \"heron-{i}\"\nzone = \"north\"\napi_addr = \"{}\"\nback = \"{}\"\n{seeds}[services]{}",
                    api_addrs[i],
                    peer_addrs[i],
                    rest.replace("127.0.0.1:4", &cloud_addr.to_string())
                        .replace("127.0.0.1:5", &state_addrs[i].to_string()),
                ))
            })
            .collect();
        Self {
            state,
            cloud,
            api_addrs,
            peer_addrs,
            settings,
            stop_senders: vec![None, None, None],
        }
    }

    /// The text of a controller's settings file.
    pub fn settings(&self, i: usize) -> &str {
        &self.settings[i]
    }

    /// Starts a controller on a thread and runtime of its own, as in a process of its own.
    pub fn start_controller(&mut self, i: usize) {
        let deployment = DeploymentSettings::parse(&self.settings[i], "test").expect("settings");
        let (stop_sender, stop_receiver) = std::sync::mpsc::channel::<()>();
        self.stop_senders[i] = Some(stop_sender);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async move {
                tokio::spawn(async move {
                    // After a restart, the port may not be free again yet.
                    while leader::run(deployment.clone(), OperatorSettings::default())
                        .await
                        .is_err()
                    {
                        sleep(Duration::from_millis(50)).await;
                    }
                });
                while stop_receiver.try_recv() == Err(std::sync::mpsc::TryRecvError::Empty) {
                    sleep(Duration::from_millis(20)).await;
                }
            });
        });
    }

    /// The number of the leading controller, if there is a leader.
    pub fn leader(&self) -> Option<usize> {
        self.state.leader()?.strip_prefix("heron-")?.parse().ok()
    }

    /// Waits until a controller has been elected leader.
    pub async fn wait_for_leader(&self) {
        let began = Instant::now();
        while self.leader().is_none() {
            assert!(began.elapsed() < TEST_TIMEOUT, "no leader was elected");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until `is_expected` holds for the number of running tasks.
    pub async fn wait_for_running_tasks(&self, is_expected: impl Fn(usize) -> bool) {
        let began = Instant::now();
        while !is_expected(self.cloud.running_tasks()) {
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "{} tasks run",
                self.cloud.running_tasks()
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether a controller has been started and not killed since.
    pub fn is_up(&self, i: usize) -> bool {
        self.stop_senders[i].is_some()
    }

    /// Kills a controller: its runtime is dropped with everything that runs on it.
    pub fn kill_controller(&mut self, i: usize) {
        self.stop_senders[i] = None;
    }

    /// The body that submits job `n`, whose tasks have 2 CPUs each.
    pub fn job(&self, n: u32, tasks: u32) -> Value {
        let mut body = serde_json::to_value(support::job(n, tasks, 2.0)).expect("json");
        body["expected_s"] = json!(1.0);
        body
    }

    /// The body that submits a job that depends on others.
    pub fn job_awaiting(&self, n: u32, tasks: u32, others: &[u32]) -> Value {
        let mut body = self.job(n, tasks);
        body["awaits"] = json!(others.iter().map(|other| job_id(*other)).collect::<Vec<_>>());
        body
    }

    /// Sends a request to controller `at`, and repeats it after a response of 503 or none at
    /// all.
    pub async fn request_with_retries(
        &self,
        method: &str,
        at: usize,
        path: &str,
        body: Option<Value>,
    ) -> (u16, Value) {
        let began = Instant::now();
        loop {
            let (status, body) = send_request(method, self.api_addrs[at], path, body.clone()).await;
            if status != 503 && status != 0 {
                return (status, body);
            }
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "{method} {path} got only 503 or no response"
            );
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Submits a job at controller `at`, as [`request_with_retries`](Self::request_with_retries).
    pub async fn submit(&self, at: usize, body: Value) -> (u16, Value) {
        self.request_with_retries("POST", at, "/v2/runs", Some(body))
            .await
    }

    /// Polls a job at controller `at`, as [`request_with_retries`](Self::request_with_retries).
    pub async fn poll(&self, at: usize, job: &str) -> (u16, Value) {
        let path = format!("/v2/runs/{job}");
        self.request_with_retries("GET", at, &path, None).await
    }

    /// Cancels a job at controller `at`, as [`request_with_retries`](Self::request_with_retries).
    pub async fn cancel(&self, at: usize, job: &str) -> (u16, Value) {
        let path = format!("/v2/runs/{job}/cancel");
        self.request_with_retries("POST", at, &path, None).await
    }

    /// Polls a job at controller `at` until it has this state; returns the response's body.
    pub async fn wait_for_state(&self, at: usize, job: &str, state: &str) -> Value {
        let began = Instant::now();
        loop {
            let (status, view) = self.poll(at, job).await;
            assert_eq!(status, 200, "{job}: {view}");
            if view["standing"] == state {
                return view;
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "{job} is still {view}");
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Runs a test's future on a new single-threaded runtime.
pub fn run_async_test<F: std::future::Future>(test: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}
