//! The faults of the cloud that tests inject.

use std::time::Duration;

use parking_lot::Mutex;

use super::machine::Machine;
use super::Cloud;

impl Cloud {
    /// Late copies of all commands that were carried out arrive.
    pub fn repeat_commands(&self) {
        let machines = self.machines.lock().clone();
        for (id, c) in self.carried_out.lock().clone() {
            if let Some(m) = machines.iter().find(|m| m.lock().id == id) {
                let mut m = m.lock();
                if !m.released && c.token >= m.token {
                    m.token = c.token;
                    c.commands.iter().for_each(|c| self.execute(&mut m, *c));
                }
            }
        }
    }

    /// Lets tasks of a job that start from now on run for hours.
    pub fn run_slowly(&self, job: &str) {
        self.slow.lock().insert(job.parse().expect("an id"));
    }

    /// These machines hang from now on.
    pub fn hang(&self, machines: &[String]) {
        let ids = machines.iter().map(|id| id.as_str().into());
        self.hanging_machines.lock().extend(ids);
    }

    pub(super) fn hangs(&self, m: &Mutex<Machine>) -> bool {
        let id = m.lock().id.clone();
        self.hanging_machines.lock().contains(&id)
    }

    /// Workers' leases last this long from now on.
    pub fn use_leases(&self, lease: Duration) {
        *self.lease.lock() = Some(lease);
    }

    /// Machines that hang go on; requests that wait for a response stay without one.
    pub fn resume(&self) {
        self.hanging_machines.lock().clear();
    }
}
