//! One scheduling round's view of the machines, and the steps that place tasks
//! on them: in order, by preemption, and by backfilling.

mod preemption;
mod rules;
mod search;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::core::scheduling::capacity::{FreeCapacity, RunningLoad};
use crate::core::scheduling::ranking::starvation::STARVED_FIRST_TASKS;
use crate::core::scheduling::ranking::{Rank, Tier};
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::TeamUsage;
use crate::core::state::resources::AMOUNT_TOLERANCE;
use crate::wire::{JobId, JobKind, JobSpec, MachineType, TaskId};

use search::{Place, Score};

/// How a placement attempt went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::core) enum PlacementOutcome {
    Placed,
    /// No machine has room for it.
    NoRoom,
    /// Its team's limit, its own pause, or its placement rules forbid it now.
    NotAllowedNow,
}

/// How tasks of a job are to be placed.
#[derive(Debug, Clone, Copy)]
pub(in crate::core) struct PlacementMode {
    /// They are backfilled.
    pub(in crate::core) backfill: bool,
    /// They are predicted to end by then.
    pub(in crate::core) ends_by: Option<Instant>,
    /// So many at the most.
    pub(in crate::core) most: u32,
}

impl PlacementMode {
    /// In order, so many at the most.
    pub(in crate::core) fn in_order(most: u32) -> Self {
        Self {
            backfill: false,
            ends_by: None,
            most,
        }
    }

    /// Backfilled, where they are predicted to end by then.
    pub(in crate::core) fn backfill(ends_by: Option<Instant>) -> Self {
        Self {
            backfill: true,
            ends_by,
            most: u32::MAX,
        }
    }
}

pub(in crate::core) struct Planner<'m> {
    pub(in crate::core) model: &'m mut ClusterModel,
    now: Instant,
    pub(in crate::core) ranks: BTreeMap<JobId, Rank>,
    rooms: Vec<FreeCapacity>,
    /// Rooms that may still fit something that waits.
    open: Vec<usize>,
    /// The rooms' loads are filled in; they are needed for the head alone.
    loaded: bool,
    /// Every task is placed by itself.
    plainly: bool,
    usage: HashMap<String, TeamUsage>,
    types: Vec<MachineType>,
    /// Names of zones.
    names: Vec<String>,
    /// Tasks of a job by zone, where a placement rule asks for it.
    zones: HashMap<JobId, BTreeMap<String, u32>>,
}

impl<'m> Planner<'m> {
    pub(in crate::core) fn new(
        model: &'m mut ClusterModel,
        ranks: BTreeMap<JobId, Rank>,
        now: Instant,
        plainly: bool,
    ) -> Self {
        let usage = model.usage();
        let types = model.machine_types.clone();
        let mut names: Vec<String> = Vec::new();
        // The least that any waiting task takes.
        let least = model
            .jobs_waiting_for_capacity()
            .map(|j| j.spec.cpus)
            .fold(f64::MAX, f64::min);
        let mut rooms = Vec::new();
        let mut open = Vec::new();
        for m in model.machines.values().filter(|m| model.usable(m, now)) {
            let Some(kind) = types.iter().position(|t| t.name == m.machine_type) else {
                continue;
            };
            let t = &types[kind];
            let zone = names.iter().position(|z| *z == m.zone).unwrap_or_else(|| {
                names.push(m.zone.clone());
                names.len() - 1
            });
            let used = m.used();
            let room = FreeCapacity {
                machine: m.id.clone(),
                zone,
                spot: m.spot,
                kind,
                cpus: t.cpus - used.cpus,
                gpus: t.gpus - used.gpus,
                memory: t.memory_gb - used.memory_gb,
                closed: false,
                reclaim_at: m.reclaim_at,
                load: Vec::new(),
            };
            if room.cpus + AMOUNT_TOLERANCE >= least {
                open.push(rooms.len());
            }
            rooms.push(room);
        }
        Self {
            model,
            now,
            ranks,
            rooms,
            open,
            loaded: false,
            plainly,
            usage,
            types,
            names,
            zones: HashMap::new(),
        }
    }

    /// How many tasks of a job go in its present place in the queue.
    pub(in crate::core) fn first_tasks(&self, id: JobId, tier: Tier) -> u32 {
        match self.model.jobs.get(&id) {
            Some(j) if tier == Tier::Starved && j.spec.kind != JobKind::Gang => STARVED_FIRST_TASKS,
            _ => u32::MAX,
        }
    }

    /// Whether some machine has free room for a task of a job.
    pub(in crate::core) fn fits_somewhere(&self, id: JobId) -> bool {
        self.model
            .jobs
            .get(&id)
            .is_some_and(|j| self.open.iter().any(|at| self.rooms[*at].fits(&j.spec)))
    }

    /// Forgets rooms that are too small by now.
    fn tidy(&mut self) {
        let rooms = &self.rooms;
        self.open.retain(|at| rooms[*at].cpus > AMOUNT_TOLERANCE);
    }

    /// Places as many of a job's waiting tasks as fit and the mode allows, a
    /// gang's all or none.
    pub(in crate::core) fn place_all(
        &mut self,
        id: JobId,
        mode: PlacementMode,
        count: &mut u32,
    ) -> PlacementOutcome {
        if !self.plainly && self.alike(id) {
            return self.place_alike(id, mode, count);
        }
        let until = count.saturating_add(mode.most);
        while *count < until {
            let Some(batch) = self.next_batch(id) else {
                return PlacementOutcome::Placed;
            };
            if self.barred(id, batch.len()) {
                return PlacementOutcome::NotAllowedNow;
            }
            let Some(places) = self.find(id, &batch, mode.ends_by, false) else {
                return PlacementOutcome::NoRoom;
            };
            *count += places.len() as u32;
            self.take(places, mode.backfill, id);
        }
        PlacementOutcome::Placed
    }

    /// Whether a job's tasks are all placed by the same rule, whatever became
    /// of the others: then they are placed together.
    fn alike(&self, id: JobId) -> bool {
        self.model.jobs.get(&id).is_some_and(|j| {
            j.spec.kind != JobKind::Gang && !j.spec.one_zone && !j.spec.spread && !j.on_probation(self.now)
        })
    }

    /// [`Planner::place_all`] for tasks that are alike: the machines are judged
    /// once, then filled from the best on, as one by one would do it.
    fn place_alike(&mut self, id: JobId, mode: PlacementMode, count: &mut u32) -> PlacementOutcome {
        let Some(job) = self.model.jobs.get(&id) else {
            return PlacementOutcome::Placed;
        };
        if job.waiting.count() == 0 || mode.most == 0 {
            return PlacementOutcome::Placed;
        }
        if self.barred(id, 1) {
            return PlacementOutcome::NotAllowedNow;
        }
        let spec = job.spec.clone();
        let mut good: Vec<(Score, usize)> = self
            .open
            .iter()
            .filter_map(|at| {
                Some((
                    self.judge(&self.rooms[*at], &spec, None, mode.ends_by, false)?.0,
                    *at,
                ))
            })
            .collect();
        if good.is_empty() {
            return PlacementOutcome::NoRoom;
        }
        good.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        let mut left: VecDeque<u32> = job.waiting.iter().take(mode.most as usize).collect();
        let attempt = self.model.new_attempt();
        let mut outcome = PlacementOutcome::NoRoom;
        'machines: for (_, at) in good {
            // A task that has just ended here is not known to be forgotten yet.
            let mut passed = Vec::new();
            while self.rooms[at].fits(&spec) {
                let Some(index) = left.pop_front() else { break };
                let task = TaskId { job: id, index };
                let m = self.model.machines.get(&self.rooms[at].machine);
                if m.is_none_or(|m| m.slots.contains_key(&task)) {
                    passed.push(index);
                    continue;
                }
                if !self.within_limit(&spec, 1) {
                    outcome = PlacementOutcome::NotAllowedNow;
                    break 'machines;
                }
                *count += 1;
                let place = Place {
                    at,
                    task,
                    victims: Vec::new(),
                };
                self.take_one(place, mode.backfill, &spec, attempt);
            }
            for index in passed.into_iter().rev() {
                left.push_front(index);
            }
            if left.is_empty() {
                outcome = PlacementOutcome::Placed;
                break;
            }
        }
        self.tidy();
        // At its limit it is skipped, whatever room there is.
        if outcome == PlacementOutcome::NoRoom && !self.within_limit(&spec, 1) {
            return PlacementOutcome::NotAllowedNow;
        }
        outcome
    }

    /// What is to be placed together: one task, or all of a gang.
    fn next_batch(&self, id: JobId) -> Option<Vec<u32>> {
        let job = self.model.jobs.get(&id)?;
        let first = job.waiting.first()?;
        Some(if job.spec.kind == JobKind::Gang {
            job.waiting.iter().collect()
        } else {
            vec![first]
        })
    }

    /// Whether its own state or its team's limit forbids so many tasks now.
    fn barred(&self, id: JobId, tasks: usize) -> bool {
        let Some(job) = self.model.jobs.get(&id) else {
            return true;
        };
        job.cancelled
            || !self.model.dependencies.is_ready(id)
            || job.broken_gang()
            || job.pause_until.is_some_and(|t| t > self.now)
            || job.placed >= self.model.placement_limit(job, self.now)
            || !self.within_limit(&job.spec, tasks)
    }

    fn take(&mut self, places: Vec<Place>, backfill: bool, id: JobId) {
        let Some(job) = self.model.jobs.get(&id) else {
            return;
        };
        let spec = job.spec.clone();
        // Tasks of a gang know each other by their common attempt.
        let attempt = self.model.new_attempt();
        for p in places {
            self.take_one(p, backfill, &spec, attempt);
        }
    }

    fn take_one(&mut self, p: Place, backfill: bool, spec: &JobSpec, attempt: u64) {
        let machine = self.rooms[p.at].machine.clone();
        for v in &p.victims {
            let room = &mut self.rooms[p.at];
            if let Some(i) = room.load.iter().position(|l| l.task == *v) {
                let l = room.load.remove(i);
                room.give_back(&l);
                if !self.open.contains(&p.at) {
                    // More may fall free than the head takes.
                    self.open.push(p.at);
                }
                self.model
                    .stop(&machine, l.task, l.grace, self.now, "shadow of the head");
                if l.borrowed {
                    self.model.pause_after_preemption(l.task.job, self.now);
                }
            }
        }
        self.rooms[p.at].claim(spec);
        if self.loaded {
            let end = self.now + self.model.predict(spec);
            self.rooms[p.at].load.push(RunningLoad {
                end,
                cpus: spec.cpus,
                gpus: spec.gpus,
                memory: spec.memory_gb,
                shadow: false,
                borrowed: false,
                rank: self.ranks.get(&spec.id).copied(),
                task: p.task,
                grace: Duration::ZERO,
                started: self.now,
            });
        }
        if let Some(u) = self.usage.get_mut(&spec.team) {
            u.cpus += spec.cpus;
            u.gpus += spec.gpus;
        } else {
            let u = TeamUsage {
                cpus: spec.cpus,
                gpus: spec.gpus,
            };
            self.usage.insert(spec.team.clone(), u);
        }
        if spec.one_zone || spec.spread {
            let zone = self.names[self.rooms[p.at].zone].clone();
            *self.zones_of(spec.id).entry(zone).or_default() += 1;
        }
        self.model.place(&machine, p.task, attempt, backfill, self.now);
    }
}
