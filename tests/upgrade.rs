//! The version in production and this one side by side, as real processes on
//! loopback: controllers are replaced one by one, and back. The production version
//! is built from the repository's history.

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
use site::{job_name, on_loopback, Site};
use tokio::time::sleep;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    Production,
    New,
}

/// When the leader is replaced, among the three controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderPlace {
    First,
    Last,
}

impl LeaderPlace {
    fn other(self) -> Self {
        match self {
            Self::First => Self::Last,
            Self::Last => Self::First,
        }
    }
}

/// Runs a command that has to succeed.
fn run(command: &mut Command) {
    let output = command.output().expect("it can be run");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{command:?}: {errors}");
}

/// The commit that `deploy/service.toml` names as the one in production.
fn production_commit() -> String {
    let text = std::fs::read_to_string(Path::new(ROOT).join("deploy/service.toml")).expect("a file");
    let deploy: toml::Table = text.parse().expect("TOML");
    deploy["production"].as_str().expect("a commit").to_owned()
}

/// The production version's program, built once.
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

/// A site whose controllers are processes of either version.
struct Cluster {
    site: Site,
    processes: [Option<Child>; 3],
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..3).for_each(|i| self.kill(i));
    }
}

impl Cluster {
    /// All controllers run the version in production.
    async fn start() -> Self {
        let site = Site::without_controllers(Duration::from_millis(300), |text| text).await;
        let mut cluster = Self {
            site,
            processes: [None, None, None],
        };
        (0..3).for_each(|i| cluster.boot(i, Version::Production));
        cluster
    }

    fn boot(&mut self, i: usize, version: Version) {
        let own = self.site.api[i].to_string().replace([':', '.'], "-");
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

    /// Kills a controller (SIGKILL).
    fn kill(&mut self, i: usize) {
        if let Some(mut process) = self.processes[i].take() {
            process.kill().expect("it can be killed");
            process.wait().expect("it has ended");
        }
    }

    async fn replace(&mut self, i: usize, version: Version) {
        self.kill(i);
        sleep(Duration::from_millis(200)).await;
        self.boot(i, version);
    }

    /// Submits a job at one controller; it is known at all that run.
    async fn accept(&self, at: usize, body: Value) {
        let (status, v) = self.site.insist("POST", at, "/v2/runs", Some(body.clone())).await;
        assert!([200, 201].contains(&status), "{status} {v}");
        let path = format!("/v2/runs/{}", body["name_id"].as_str().expect("an id"));
        for other in (0..3).filter(|i| self.processes[*i].is_some()) {
            assert_eq!(
                self.site.insist("GET", other, &path, None).await.0,
                200,
                "at {other}"
            );
        }
    }

    /// Waits until every controller reports these jobs done.
    async fn until_done(&self, jobs: std::ops::RangeInclusive<u32>) {
        for n in jobs {
            for at in 0..3 {
                self.site.until(at, &job_name(n), "done").await;
            }
        }
    }

    /// The order in which controllers are replaced.
    fn order(&self, place: LeaderPlace) -> Vec<usize> {
        let leader = self.site.leader().expect("a leader");
        let mut order: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        let index = match place {
            LeaderPlace::First => 0,
            LeaderPlace::Last => 2,
        };
        order.insert(index, leader);
        order
    }
}

/// Replaces all controllers by the new version, lets jobs wait for others, and
/// goes back again.
async fn upgrade_and_back(place: LeaderPlace) {
    let mut cluster = Cluster::start().await;
    cluster.site.until_some_leader().await;
    for n in 1..=3 {
        cluster.accept(n as usize % 3, cluster.site.job(n, 4)).await;
    }
    cluster.site.cloud.run_slowly(&job_name(4));
    cluster.accept(0, cluster.site.job(4, 1)).await;
    for (turn, i) in cluster.order(place).into_iter().enumerate() {
        // One is restarted before its turn, in its old version.
        if turn == 1 {
            cluster.replace(i, Version::Production).await;
        }
        cluster.replace(i, Version::New).await;
        let n = 10 + turn as u32;
        cluster.accept((i + 1) % 3, cluster.site.job(n, 4)).await;
    }
    cluster.until_done(1..=3).await;
    // The new feature: jobs depend on those that the other version accepted.
    cluster
        .accept(0, cluster.site.job_awaiting(20, 2, &[1, 10]))
        .await;
    cluster
        .accept(1, cluster.site.job_awaiting(21, 2, &[20, 12]))
        .await;
    cluster.accept(2, cluster.site.job_awaiting(22, 2, &[4])).await;
    cluster.until_done(20..=21).await;
    let path = format!("/v2/runs/{}/cancel", job_name(4));
    assert_eq!(
        cluster.site.insist("POST", 1, &path, None).await.1["standing"],
        "cancelled"
    );
    for at in 0..3 {
        cluster.site.until(at, &job_name(22), "cancelled").await;
    }
    // And back, now that no such job is left.
    for (turn, i) in cluster.order(place.other()).into_iter().enumerate() {
        cluster.replace(i, Version::Production).await;
        let n = 30 + turn as u32;
        cluster.accept((i + 1) % 3, cluster.site.job(n, 4)).await;
    }
    for jobs in [1..=3, 10..=12, 20..=21, 30..=32] {
        cluster.until_done(jobs).await;
    }
    for n in [4, 22] {
        for at in 0..3 {
            cluster.site.until(at, &job_name(n), "cancelled").await;
        }
    }
    assert!(cluster.site.cloud.doubles.lock().is_empty());
}

#[test]
fn controllers_are_replaced_one_by_one_the_leader_first() {
    on_loopback(upgrade_and_back(LeaderPlace::First));
}

#[test]
fn controllers_are_replaced_one_by_one_the_leader_last() {
    on_loopback(upgrade_and_back(LeaderPlace::Last));
}
