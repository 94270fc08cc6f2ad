//! Placing tasks where a search found capacity: the only module in which a round adds slots
//! to the model or preempts tasks.

use std::time::Duration;

use crate::core::scheduling::placement::free_capacity::{LoadClass, RunningLoad};
use crate::core::scheduling::placement::planner::Planner;
use crate::core::scheduling::placement::search::Placement;
use crate::core::state::resources::{Resources, TeamUsage};
use crate::wire::{JobId, JobSpec, MachineId, TaskId};

/// Whether a placement follows the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementKind {
    /// The task is placed in the order of the queue.
    InOrder,
    /// The task is placed before a blocked head that outranks it, and is shadow load as long
    /// as a job that outranks it waits.
    Backfilled,
}

impl Planner<'_> {
    /// Places tasks of a job under one attempt number, which distinguishes the tasks of a
    /// gang from those of an earlier placement of the gang.
    pub(super) fn claim_all(&mut self, id: JobId, placements: Vec<Placement>, kind: PlacementKind) {
        let Some(job) = self.model.jobs.get(&id) else {
            return;
        };
        let spec = job.spec.clone();
        let attempt = self.model.new_attempt();
        for placement in placements {
            self.claim(placement, &spec, attempt, kind);
        }
    }

    /// Orders the stops of the victims, then places the task.
    pub(super) fn claim(&mut self, placement: Placement, spec: &JobSpec, attempt: u64, kind: PlacementKind) {
        let machine_index = placement.machine_index;
        let machine = self.machines[machine_index].machine_id.clone();
        for victim in &placement.victims {
            self.preempt(machine_index, &machine, *victim);
        }
        self.machines[machine_index].claim(spec);
        if self.running_load_collected {
            self.add_running_load(machine_index, placement.task, spec);
        }
        self.add_team_usage(spec);
        if spec.one_zone || spec.spread {
            let zone = self.zone_names[self.machines[machine_index].zone_index].clone();
            *self.tasks_by_zone(spec.id).entry(zone).or_default() += 1;
        }
        let backfilled = kind == PlacementKind::Backfilled;
        self.model
            .place(&machine, placement.task, attempt, backfilled, self.now);
    }

    /// Stops a shadow or over-quota task for the blocked head.
    fn preempt(&mut self, machine_index: usize, machine: &MachineId, victim: TaskId) {
        let Some(load) = self.machines[machine_index].remove_running(victim) else {
            return;
        };
        if !self.open_machines.contains(&machine_index) {
            // The victims may release more than the head takes.
            self.open_machines.push(machine_index);
        }
        self.model.stop(
            machine,
            victim,
            load.grace,
            self.now,
            "preempted for a job of higher rank",
        );
        if load.class == LoadClass::OverQuota {
            self.model.pause_after_preemption(victim.job, self.now);
        }
    }

    fn add_running_load(&mut self, machine_index: usize, task: TaskId, spec: &JobSpec) {
        let load = RunningLoad {
            task,
            resources: Resources::of_task(spec),
            class: LoadClass::Sunny,
            rank: self.ranks.get(&spec.id).copied(),
            started_at: self.now,
            predicted_end: self.now + self.model.predict(spec),
            grace: Duration::ZERO,
        };
        self.machines[machine_index].running.push(load);
    }

    fn add_team_usage(&mut self, spec: &JobSpec) {
        if let Some(usage) = self.usage_by_team.get_mut(&spec.team) {
            usage.cpus += spec.cpus;
            usage.gpus += spec.gpus;
        } else {
            let usage = TeamUsage {
                cpus: spec.cpus,
                gpus: spec.gpus,
            };
            self.usage_by_team.insert(spec.team.clone(), usage);
        }
    }
}
