//! Faults of the cloud and its workers that tests inject.

use std::time::Duration;

use parking_lot::Mutex;

use super::machine::Machine;
use super::Cloud;

impl Cloud {
    /// Delivers late copies of all executed batches of commands. Machines that have been
    /// released, or have seen a newer fencing token, ignore them.
    pub fn replay_commands(&self) {
        let machines = self.machines.lock().clone();
        for (id, batch) in self.executed_batches.lock().clone() {
            if let Some(machine) = machines.iter().find(|machine| machine.lock().id == id) {
                let mut machine = machine.lock();
                if !machine.released && batch.token >= machine.token {
                    machine.token = batch.token;
                    batch
                        .commands
                        .iter()
                        .for_each(|command| self.execute(&mut machine, *command));
                }
            }
        }
    }

    /// Makes tasks of a job that start from now on run for 2 hours.
    pub fn slow_down_job(&self, job: &str) {
        self.slow_jobs.lock().insert(job.parse().expect("an id"));
    }

    /// Makes machines hang: they accept connections, but send neither responses nor
    /// heartbeats.
    pub fn hang_machines(&self, machines: &[String]) {
        let ids = machines.iter().map(|id| id.as_str().into());
        self.hanging_machines.lock().extend(ids);
    }

    pub(super) fn is_hanging(&self, machine: &Mutex<Machine>) -> bool {
        let id = machine.lock().id.clone();
        self.hanging_machines.lock().contains(&id)
    }

    /// Sets the duration of the workers' leases, which never expire before this is called.
    pub fn set_worker_lease(&self, lease: Duration) {
        *self.worker_lease.lock() = Some(lease);
    }

    /// Makes all hanging machines respond again. Requests that already wait for a response
    /// still get none.
    pub fn resume_machines(&self) {
        self.hanging_machines.lock().clear();
    }
}
