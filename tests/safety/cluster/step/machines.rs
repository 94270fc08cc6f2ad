//! Changes of tasks and machines: tasks advance or fail, machines die, restart or are
//! released.

use bitternfold::wire::*;

use super::super::SimulatedCluster;
use crate::worker::Worker;

impl SimulatedCluster {
    pub(super) fn selected_worker(&mut self, selector: usize) -> &mut Worker {
        let index = selector % self.workers.len();
        &mut self.workers[index]
    }

    /// The first `selector % len + 1` workers: at least one, at most all.
    pub(super) fn first_workers(&mut self, selector: usize) -> impl Iterator<Item = &mut Worker> {
        let count = selector % self.workers.len() + 1;
        self.workers.iter_mut().take(count)
    }

    pub(super) fn advance_tasks(&mut self, machine: usize, outcome: u8) {
        for task in self.selected_worker(machine).tasks.values_mut() {
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

    /// Keeps the results of the tasks that are done by now.
    pub(super) fn keep_results(&mut self) {
        let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
        let done = tasks.filter(|(_, task)| task.exit_reason == Some(ExitReason::Done));
        self.results.extend(done.map(|(id, _)| *id));
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
        let worker = self.selected_worker(machine);
        worker.tasks.clear();
        worker.begin_incarnation();
    }

    pub(super) fn reboot(&mut self, machine: usize, new_incarnation: bool) {
        let worker = self.selected_worker(machine);
        worker.tasks.clear();
        if new_incarnation {
            worker.begin_incarnation();
        }
    }

    /// The cloud confirms the release of a machine. A replacement with a new name joins.
    pub(super) fn release(&mut self, machine: usize) {
        let id = self.selected_worker(machine).id.clone();
        if !self.model.machines().contains_key(&id) {
            return;
        }
        self.selected_worker(machine).alive = false;
        self.model.remove_released_machine(&id, self.now);
        let replacement = format!("{id}x");
        // Names of machines are never reused.
        let is_used = self.workers.iter().any(|worker| *worker.id == *replacement);
        if replacement.len() < 9 && !is_used {
            self.workers.push(Worker::new(&replacement, false, self.now));
        }
    }
}
