//! Evacuation of machines that the cloud reclaims: tasks that can't end in time are
//! stopped, so that they run elsewhere.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::machine::MachinePhase;
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::{Slot, SlotState};
use crate::wire::{MachineId, TaskId};

/// A task is evacuated only if its predicted remaining run time is more than this many
/// times the time that its machine has left: predictions are often wrong by half.
const PREDICTION_MARGIN: f64 = 1.5;

/// A task to be stopped on a machine that the cloud reclaims.
struct Evacuation {
    machine: MachineId,
    task: TaskId,
    grace: Duration,
}

impl ClusterModel {
    /// Stops tasks that are predicted to run well past the time when the cloud reclaims their
    /// machine, as far as there is free capacity elsewhere: every second that they stay is
    /// lost.
    pub(super) fn evacuate_reclaimed_machines(&mut self, now: Instant) {
        if self.machines.values().all(|machine| machine.reclaim_at.is_none()) {
            return;
        }
        let evacuations = self.evacuations(now);
        if !evacuations.is_empty() {
            info!(
                tasks = evacuations.len(),
                "evacuating machines that the cloud reclaims"
            );
        }
        for evacuation in evacuations {
            let Evacuation { machine, task, grace } = evacuation;
            self.stop(&machine, task, grace, now, "spot notice");
        }
    }

    fn evacuations(&self, now: Instant) -> Vec<Evacuation> {
        let mut free = self.fleet_cpus(now).free;
        let waiting = self
            .jobs_waiting_for_capacity()
            .map(|job| f64::from(job.waiting.count()) * job.spec.cpus);
        free -= waiting.sum::<f64>();
        let mut evacuations = Vec::new();
        let up = self.machines.values().filter(|m| m.phase == MachinePhase::Up);
        for machine in up {
            let Some(reclaim_at) = machine.reclaim_at else {
                continue;
            };
            for (task, slot) in &machine.slots {
                let Some(spec) = slot.spec.as_ref().filter(|_| slot.stop_grace.is_none()) else {
                    continue;
                };
                if !is_fetching_or_running(slot) || free < spec.cpus {
                    continue;
                }
                let runs_for = self.predicted_end(slot, now).saturating_duration_since(now);
                let time_left = reclaim_at.saturating_duration_since(now);
                if runs_for > time_left.mul_f64(PREDICTION_MARGIN) {
                    free -= spec.cpus;
                    evacuations.push(Evacuation {
                        machine: machine.id.clone(),
                        task: *task,
                        grace: spec.grace(),
                    });
                }
            }
        }
        evacuations
    }
}

fn is_fetching_or_running(slot: &Slot) -> bool {
    matches!(slot.state, SlotState::Running | SlotState::Fetching)
}
