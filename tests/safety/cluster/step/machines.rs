//! Tasks go on or fail; machines die, are released or come back.

use bitternfold::wire::*;

use super::super::SimulatedCluster;
use crate::worker::Worker;

impl SimulatedCluster {
    pub(super) fn nth_worker(&mut self, which: usize) -> &mut Worker {
        let index = which % self.workers.len();
        &mut self.workers[index]
    }

    /// At least the first worker, at most all.
    pub(super) fn first_workers(&mut self, many: usize) -> impl Iterator<Item = &mut Worker> {
        let count = many % self.workers.len() + 1;
        self.workers.iter_mut().take(count)
    }

    pub(super) fn advance_tasks(&mut self, machine: usize, outcome: u8) {
        for task in self.nth_worker(machine).tasks.values_mut() {
            match (task.state, outcome % 5) {
                (TaskState::Fetching, _) => {
                    task.state = TaskState::Running;
                    task.exit_reason = None;
                }
                (TaskState::Running, 0..=2) => task.exit(ExitReason::Done),
                (TaskState::Running, 3) => task.exit(ExitReason::Failed),
                _ => {}
            }
        }
    }

    pub(super) fn fail_all_tasks(&mut self) {
        for task in self
            .workers
            .iter_mut()
            .flat_map(|worker| worker.tasks.values_mut())
        {
            if matches!(task.state, TaskState::Fetching | TaskState::Running) {
                task.exit(ExitReason::Failed);
            }
        }
    }

    pub(super) fn expire_lease(&mut self, machine: usize) {
        let worker = self.nth_worker(machine);
        worker.tasks.clear();
        worker.begin_incarnation();
    }

    pub(super) fn reboot(&mut self, machine: usize, new_incarnation: bool) {
        let worker = self.nth_worker(machine);
        worker.tasks.clear();
        if new_incarnation {
            worker.begin_incarnation();
        }
    }

    /// The cloud confirms a release; another machine, whose name is new, joins.
    pub(super) fn release(&mut self, machine: usize) {
        let id = self.nth_worker(machine).id.clone();
        if !self.model.machines().contains_key(&id) {
            return;
        }
        self.nth_worker(machine).alive = false;
        self.model.remove_released_machine(&id, self.now);
        let fresh = format!("{id}x");
        // Names are never used again.
        let used = self.workers.iter().any(|worker| *worker.id == *fresh);
        if fresh.len() < 9 && !used {
            self.workers.push(Worker::new(&fresh, false, self.now));
        }
    }
}
