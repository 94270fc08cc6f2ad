//! Taking what a search found: the one place where a round changes the model's slots.

use std::time::Duration;

use crate::core::scheduling::placement::free_capacity::{LoadClass, RunningLoad};
use crate::core::scheduling::placement::planner::Planner;
use crate::core::scheduling::placement::search::Placement;
use crate::core::state::resources::{Resources, TeamUsage};
use crate::wire::{JobId, JobSpec, MachineId, TaskId};

/// Whether a placement keeps the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementKind {
    /// It does.
    InOrder,
    /// It goes before a blocked head, and is shadow load as long as that waits.
    Backfilled,
}

impl Planner<'_> {
    /// Places tasks of a job, as one attempt: its number distinguishes the members of a gang
    /// from those of an earlier placement of it.
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

    /// Places a task, after its victims are stopped.
    pub(super) fn claim(&mut self, placement: Placement, spec: &JobSpec, attempt: u64, kind: PlacementKind) {
        let index = placement.machine;
        let machine = self.machines[index].machine.clone();
        for victim in &placement.victims {
            self.preempt(index, &machine, *victim);
        }
        self.machines[index].claim(spec);
        if self.running_load_known {
            self.add_running_load(index, placement.task, spec);
        }
        self.add_team_usage(spec);
        if spec.one_zone || spec.spread {
            let zone = self.zone_names[self.machines[index].zone].clone();
            *self.tasks_by_zone(spec.id).entry(zone).or_default() += 1;
        }
        let backfilled = kind == PlacementKind::Backfilled;
        self.model
            .place(&machine, placement.task, attempt, backfilled, self.now);
    }

    /// Stops a shadow task for the blocked head.
    fn preempt(&mut self, index: usize, machine: &MachineId, victim: TaskId) {
        let Some(load) = self.machines[index].remove_running(victim) else {
            return;
        };
        if !self.open_machines.contains(&index) {
            // More may fall free than the head takes.
            self.open_machines.push(index);
        }
        self.model
            .stop(machine, victim, load.grace, self.now, "preempted for the head");
        if load.class == LoadClass::OverQuota {
            self.model.pause_after_preemption(victim.job, self.now);
        }
    }

    fn add_running_load(&mut self, index: usize, task: TaskId, spec: &JobSpec) {
        let load = RunningLoad {
            task,
            resources: Resources::of_task(spec),
            class: LoadClass::Sunny,
            rank: self.ranks.get(&spec.id).copied(),
            started: self.now,
            predicted_end: self.now + self.model.predict(spec),
            grace: Duration::ZERO,
        };
        self.machines[index].running.push(load);
    }

    fn add_team_usage(&mut self, spec: &JobSpec) {
        if let Some(usage) = self.usage.get_mut(&spec.team) {
            usage.cpus += spec.cpus;
            usage.gpus += spec.gpus;
        } else {
            let usage = TeamUsage {
                cpus: spec.cpus,
                gpus: spec.gpus,
            };
            self.usage.insert(spec.team.clone(), usage);
        }
    }
}
