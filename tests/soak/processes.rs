//! Runs controllers as processes of the built program, on loopback.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::proxy::{LinkMode, Proxy};
use crate::site::Site;

/// Three controllers, each a process of its own. The links between them go through
/// proxies.
pub struct Processes {
    pub site: Site,
    /// Folder of the controllers' settings and logs.
    pub folder: PathBuf,
    controllers: [Option<Child>; 3],
    settings: Vec<String>,
    /// The proxy on the link from one controller to another.
    links: BTreeMap<(usize, usize), Arc<Proxy>>,
}

impl Drop for Processes {
    fn drop(&mut self) {
        (0..3).for_each(|i| self.kill_controller(i));
    }
}

impl Processes {
    /// Starts the stand-ins, the proxies and the controllers, whose settings `edit` changes.
    pub async fn start(folder: PathBuf, task_duration: Duration, edit: impl Fn(String) -> String) -> Self {
        let site = Site::without_controllers(task_duration, edit).await;
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
        (0..3).for_each(|i| processes.start_controller(i));
        processes
    }

    /// The log file of a controller.
    pub fn log_file(&self, i: usize) -> PathBuf {
        self.folder.join(format!("heron-{i}.log"))
    }

    /// Starts a controller unless it is running.
    pub fn start_controller(&mut self, i: usize) {
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
    pub fn kill_controller(&mut self, i: usize) {
        if let Some(mut process) = self.controllers[i].take() {
            process.kill().expect("it can be killed");
            process.wait().expect("it has ended");
        }
    }

    /// Whether a controller has exited without being killed.
    pub fn has_exited_by_itself(&mut self, i: usize) -> bool {
        let process = self.controllers[i].as_mut();
        process.is_some_and(|p| p.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Pauses (SIGSTOP) or resumes (SIGCONT) a controller process while the clocks advance.
    pub fn set_paused(&self, i: usize, paused: bool) {
        let Some(process) = &self.controllers[i] else {
            return;
        };
        let signal = if paused { "STOP" } else { "CONT" };
        let text = format!("kill -{signal} {}", process.id());
        let status = Command::new("sh").args(["-c", &text]).status();
        assert!(status.is_ok_and(|s| s.success()), "{text}");
    }

    /// Changes the mode of all links to and from a controller.
    pub fn set_link_modes(&self, controller: usize, mode: LinkMode) {
        let links = self
            .links
            .iter()
            .filter(|(link, _)| link.0 == controller || link.1 == controller);
        links.for_each(|(_, link)| link.set_mode(mode));
    }
}
