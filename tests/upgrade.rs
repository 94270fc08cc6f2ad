//! Upgrade of a running site from the version in production to this one, and back. The
//! controllers are real processes on loopback and are replaced one by one, so both versions
//! run side by side. The production version is built from the repository's history.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::time::Duration;

use serde_json::Value;
use site::{job_id, run_async_test, Site};
use tokio::time::sleep;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    Production,
    New,
}

/// The position of the leader in the order in which the three controllers are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderPosition {
    First,
    Last,
}

impl LeaderPosition {
    fn opposite(self) -> Self {
        match self {
            Self::First => Self::Last,
            Self::Last => Self::First,
        }
    }
}

/// Runs a command to its end; panics if it fails.
fn run(command: &mut Command) {
    let output = command.output().expect("it can be run");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{command:?}: {errors}");
}

/// The commit that is in production according to `deploy/service.toml`.
fn production_commit() -> String {
    let text = std::fs::read_to_string(Path::new(ROOT).join("deploy/service.toml")).expect("a file");
    let deploy: toml::Table = text.parse().expect("TOML");
    deploy["production"].as_str().expect("a commit").to_owned()
}

/// The path of the production version's program, which is built by the first call.
fn production_program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let commit = production_commit();
        let work = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("production-{commit}"));
        let (sources, target) = (work.join("sources"), work.join("target"));
        std::fs::create_dir_all(&sources).expect("a folder");
        let archive = work.join("sources.tar");
        let mut git = Command::new("git");
        git.current_dir(ROOT).args(["archive", "--output"]);
        run(git.arg(&archive).arg(&commit));
        run(Command::new("tar")
            .arg("-xf")
            .arg(&archive)
            .arg("-C")
            .arg(&sources));
        let mut cargo = Command::new(env!("CARGO"));
        cargo
            .current_dir(&sources)
            .args(["build", "--locked", "--bin", "bitternfold"]);
        run(cargo.arg("--target-dir").arg(&target));
        target.join("debug/bitternfold")
    })
}

/// A site whose controllers are processes, each of either version.
struct Cluster {
    site: Site,
    processes: [Option<Child>; 3],
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..3).for_each(|i| self.kill_controller(i));
    }
}

impl Cluster {
    /// Starts a site all of whose controllers run the version in production.
    async fn start() -> Self {
        let site = Site::without_controllers(Duration::from_millis(300), |text| text).await;
        let mut cluster = Self {
            site,
            processes: [None, None, None],
        };
        (0..3).for_each(|i| cluster.start_controller(i, Version::Production));
        cluster
    }

    fn start_controller(&mut self, i: usize, version: Version) {
        let own = self.site.api_addrs[i].to_string().replace([':', '.'], "-");
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{own}.toml"));
        std::fs::write(&file, self.site.settings(i)).expect("settings");
        let program = match version {
            Version::Production => production_program(),
            Version::New => Path::new(env!("CARGO_BIN_EXE_bitternfold")),
        };
        let process = Command::new(program)
            .arg("--config")
            .arg(&file)
            .env("LOG_LEVEL", "error")
            .stderr(Stdio::null())
            .spawn();
        self.processes[i] = Some(process.expect("it starts"));
    }

    /// Kills a controller with SIGKILL, if it runs.
    fn kill_controller(&mut self, i: usize) {
        if let Some(mut process) = self.processes[i].take() {
            process.kill().expect("it can be killed");
            process.wait().expect("it has ended");
        }
    }

    /// Kills a controller and starts this version of it.
    async fn replace_controller(&mut self, i: usize, version: Version) {
        self.kill_controller(i);
        sleep(Duration::from_millis(200)).await;
        self.start_controller(i, version);
    }

    /// Submits a job to controller `at`, and checks that all running controllers know it.
    async fn submit(&self, at: usize, body: Value) {
        let (status, view) = self.site.submit(at, body.clone()).await;
        assert!([200, 201].contains(&status), "{status} {view}");
        let id = body["name_id"].as_str().expect("an id");
        for other in (0..3).filter(|i| self.processes[*i].is_some()) {
            assert_eq!(self.site.poll(other, id).await.0, 200, "at {other}");
        }
    }

    /// Waits until every controller reports that these jobs are done.
    async fn wait_for_done(&self, jobs: std::ops::RangeInclusive<u32>) {
        for n in jobs {
            for at in 0..3 {
                self.site.wait_for_state(at, &job_id(n), "done").await;
            }
        }
    }

    /// The order in which the controllers are replaced.
    fn replacement_order(&self, leader_position: LeaderPosition) -> Vec<usize> {
        let leader = self.site.leader().expect("a leader");
        let mut order: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        let index = match leader_position {
            LeaderPosition::First => 0,
            LeaderPosition::Last => 2,
        };
        order.insert(index, leader);
        order
    }
}

/// Replaces all controllers by the new version, submits jobs that depend on others, which
/// only the new version supports, and replaces all controllers by the production version
/// again.
async fn upgrade_and_downgrade(leader_position: LeaderPosition) {
    let mut cluster = Cluster::start().await;
    cluster.site.wait_for_leader().await;
    for n in 1..=3 {
        cluster.submit(n as usize % 3, cluster.site.job(n, 4)).await;
    }
    cluster.site.cloud.slow_down_job(&job_id(4));
    cluster.submit(0, cluster.site.job(4, 1)).await;
    for (turn, i) in cluster.replacement_order(leader_position).into_iter().enumerate() {
        // The second one is restarted with its old version before it is replaced.
        if turn == 1 {
            cluster.replace_controller(i, Version::Production).await;
        }
        cluster.replace_controller(i, Version::New).await;
        let n = 10 + turn as u32;
        cluster.submit((i + 1) % 3, cluster.site.job(n, 4)).await;
    }
    cluster.wait_for_done(1..=3).await;
    // The new feature: jobs that depend on others, among them jobs that the production
    // version accepted.
    cluster
        .submit(0, cluster.site.job_awaiting(20, 2, &[1, 10]))
        .await;
    cluster
        .submit(1, cluster.site.job_awaiting(21, 2, &[20, 12]))
        .await;
    cluster.submit(2, cluster.site.job_awaiting(22, 2, &[4])).await;
    cluster.wait_for_done(20..=21).await;
    assert_eq!(
        cluster.site.cancel(1, &job_id(4)).await.1["standing"],
        "cancelled"
    );
    for at in 0..3 {
        cluster.site.wait_for_state(at, &job_id(22), "cancelled").await;
    }
    // Downgrade, now that all jobs that depend on others have ended.
    for (turn, i) in cluster
        .replacement_order(leader_position.opposite())
        .into_iter()
        .enumerate()
    {
        cluster.replace_controller(i, Version::Production).await;
        let n = 30 + turn as u32;
        cluster.submit((i + 1) % 3, cluster.site.job(n, 4)).await;
    }
    for jobs in [1..=3, 10..=12, 20..=21, 30..=32] {
        cluster.wait_for_done(jobs).await;
    }
    for n in [4, 22] {
        for at in 0..3 {
            cluster.site.wait_for_state(at, &job_id(n), "cancelled").await;
        }
    }
    assert!(cluster.site.cloud.tasks_run_twice.lock().is_empty());
}

#[test]
fn upgrade_and_downgrade_keep_jobs_if_the_leader_is_replaced_first_and_then_last() {
    run_async_test(upgrade_and_downgrade(LeaderPosition::First));
}

#[test]
fn upgrade_and_downgrade_keep_jobs_if_the_leader_is_replaced_last_and_then_first() {
    run_async_test(upgrade_and_downgrade(LeaderPosition::Last));
}
