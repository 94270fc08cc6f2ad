//! Controllers as real processes of the built program, on loopback.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::proxy::{LinkMode, Proxy};
use crate::site::Site;

/// Three controllers, each a process; links between them go through proxies.
pub struct Processes {
    pub site: Site,
    /// Where settings and logs are.
    pub folder: PathBuf,
    controllers: [Option<Child>; 3],
    settings: Vec<String>,
    /// The link from one controller to another.
    links: BTreeMap<(usize, usize), Arc<Proxy>>,
}

impl Drop for Processes {
    fn drop(&mut self) {
        (0..3).for_each(|i| self.kill(i));
    }
}

impl Processes {
    /// Starts them; `edit` changes their settings.
    pub async fn start(folder: PathBuf, run: Duration, edit: impl Fn(String) -> String) -> Self {
        let site = Site::without_controllers(run, edit).await;
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut links = BTreeMap::new();
        let mut settings = Vec::new();
        for i in 0..3 {
            let mut text = site.settings(i).to_owned();
            for j in (0..3).filter(|j| *j != i) {
                let link = Proxy::start(site.peer_addrs[j]).await;
                let old = format!("endpoint = \"{}\"", site.peer_addrs[j]);
                text = text.replace(&old, &format!("endpoint = \"{}\"", link.addr));
                links.insert((i, j), link);
            }
            settings.push(text);
        }
        let mut processes = Self {
            site,
            folder,
            controllers: [None, None, None],
            settings,
            links,
        };
        (0..3).for_each(|i| processes.boot(i));
        processes
    }

    /// The file that a controller logs to.
    pub fn log_file(&self, i: usize) -> PathBuf {
        self.folder.join(format!("heron-{i}.log"))
    }

    /// Starts a controller, unless it runs.
    pub fn boot(&mut self, i: usize) {
        if self.controllers[i].is_some() {
            return;
        }
        let file = self.folder.join(format!("heron-{i}.toml"));
        std::fs::write(&file, &self.settings[i]).expect("settings");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_file(i));
        let process = Command::new(env!("CARGO_BIN_EXE_bitternfold"))
            .arg("--config")
            .arg(&file)
            .env("LOG_LEVEL", "debug")
            .stderr(Stdio::from(log.expect("a log")))
            .spawn();
        self.controllers[i] = Some(process.expect("it starts"));
    }

    /// Kills a controller (SIGKILL).
    pub fn kill(&mut self, i: usize) {
        if let Some(mut process) = self.controllers[i].take() {
            process.kill().expect("it can be killed");
            process.wait().expect("it has ended");
        }
    }

    /// Whether a controller that was started has ended by itself.
    pub fn ended_by_itself(&mut self, i: usize) -> bool {
        let process = self.controllers[i].as_mut();
        process.is_some_and(|p| p.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Stops a controller process, or lets it go on; its clocks run on.
    pub fn pause(&self, i: usize, paused: bool) {
        let Some(process) = &self.controllers[i] else {
            return;
        };
        let signal = if paused { "STOP" } else { "CONT" };
        let text = format!("kill -{signal} {}", process.id());
        let status = Command::new("sh").args(["-c", &text]).status();
        assert!(status.is_ok_and(|s| s.success()), "{text}");
    }

    /// Changes the links of a controller to and from the others.
    pub fn set_links(&self, of: usize, mode: LinkMode) {
        let concerned = self.links.iter().filter(|(link, _)| link.0 == of || link.1 == of);
        concerned.for_each(|(_, link)| link.set(mode));
    }
}
