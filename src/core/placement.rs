//! One scheduling round's view of the machines, and the steps that place tasks
//! on them: in order, by preemption, and by backfilling.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::admission::type_allowed;
use super::borrowed::BorrowedLoad;
use super::model::{Model, EPS};
use super::plan::{Round, Usage};
use super::ranking::{Rank, Tier, BEGIN_TASKS};
use super::room::{Load, Room};
use super::slot::SlotState;
use crate::wire::{JobId, JobSpec, Kind, MachineType, TaskId};

/// How good a machine is for a task, the smaller the better: work lost to
/// preemption, the job failed there, image absent, not spot, price, room left.
type Score = (Duration, bool, bool, bool, f64, f64);

/// Where a task is to go, and what has to stop for it.
struct Place {
    at: usize,
    task: TaskId,
    victims: Vec<TaskId>,
}

/// How a placement attempt went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Tried {
    Placed,
    /// No machine has room for it.
    NoRoom,
    /// Its team's limit, its own pause, or its placement rules forbid it now.
    Barred,
}

pub(super) struct Planner<'m> {
    pub(super) model: &'m mut Model,
    now: Instant,
    pub(super) ranks: BTreeMap<JobId, Rank>,
    rooms: Vec<Room>,
    /// Rooms that may still fit something that waits.
    open: Vec<usize>,
    /// The rooms' loads are filled in; they are needed for the head alone.
    loaded: bool,
    /// Every task is placed by itself.
    plainly: bool,
    usage: HashMap<String, Usage>,
    types: Vec<MachineType>,
    /// Names of zones.
    names: Vec<String>,
    /// Tasks of a job by zone, where a placement rule asks for it.
    zones: HashMap<JobId, BTreeMap<String, u32>>,
}

impl<'m> Planner<'m> {
    pub(super) fn new(
        model: &'m mut Model,
        ranks: BTreeMap<JobId, Rank>,
        now: Instant,
        plainly: bool,
    ) -> Self {
        let usage = model.usage();
        let types = model.types.clone();
        let mut names: Vec<String> = Vec::new();
        // The least that any waiting task takes.
        let least = model
            .jobs_that_want_room()
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
            let (cpus, gpus, memory) = m.used();
            let room = Room {
                machine: m.id.clone(),
                zone,
                spot: m.spot,
                kind,
                cpus: t.cpus - cpus,
                gpus: t.gpus - gpus,
                memory: t.memory_gb - memory,
                closed: false,
                recall: m.recall,
                load: Vec::new(),
            };
            if room.cpus + EPS >= least {
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

    /// Fills in what runs on the machines; as shadow only what the head outranks.
    fn load(&mut self, head: Rank, mut borrowed: BorrowedLoad) {
        self.loaded = true;
        let (model, now) = (&*self.model, self.now);
        for room in &mut self.rooms {
            let Some(m) = model.machines.get(&room.machine) else {
                continue;
            };
            for (task, s) in m.slots.iter().filter(|(_, s)| s.takes_room()) {
                let Some(spec) = &s.spec else { continue };
                let rank = self.ranks.get(&task.job).copied();
                let lives = s.stop.is_none() && !matches!(s.state, SlotState::Saving);
                let outranked = lives && rank.is_some_and(|r| r > head);
                let lent = outranked && !s.backfilled && borrowed.admits_stop(model, task.job, s, now);
                room.load.push(Load {
                    end: if s.stop.is_some() {
                        now
                    } else {
                        model.predicted_end(s, now)
                    },
                    cpus: spec.cpus,
                    gpus: spec.gpus,
                    memory: spec.memory_gb,
                    shadow: outranked && s.backfilled || lent,
                    borrowed: lent,
                    rank,
                    task: *task,
                    grace: spec.grace(),
                    started: s.running_since.unwrap_or(s.placed_at),
                });
            }
        }
    }

    /// How many tasks of a job go in its present place in the queue.
    pub(super) fn first_tasks(&self, id: JobId, tier: Tier) -> u32 {
        match self.model.jobs.get(&id) {
            Some(j) if tier == Tier::Starved && j.spec.kind != Kind::Gang => BEGIN_TASKS,
            _ => u32::MAX,
        }
    }

    /// Whether some machine has free room for a task of a job.
    pub(super) fn fits_somewhere(&self, id: JobId) -> bool {
        self.model
            .jobs
            .get(&id)
            .is_some_and(|j| self.open.iter().any(|at| self.rooms[*at].fits(&j.spec)))
    }

    /// Forgets rooms that are too small by now.
    fn tidy(&mut self) {
        let rooms = &self.rooms;
        self.open.retain(|at| rooms[*at].cpus > EPS);
    }

    /// Whether the team's limit leaves room for so many more tasks.
    fn within_limit(&self, spec: &JobSpec, tasks: usize) -> bool {
        let n = tasks as f64;
        let Some(team) = self.model.config.teams.get(&spec.team) else {
            return false;
        };
        let used = self.usage.get(&spec.team).copied().unwrap_or_default();
        let ok = |most: f64, used: f64, need: f64| most <= 0.0 || used + need * n <= most + EPS;
        ok(team.cpus_max, used.cpus, spec.cpus) && ok(team.gpus_max, used.gpus, spec.gpus)
    }

    /// Zones of the job's tasks, wherever they may be.
    fn zones_of(&mut self, id: JobId) -> &mut BTreeMap<String, u32> {
        let model = &self.model;
        self.zones.entry(id).or_insert_with(|| {
            let mut zones = BTreeMap::new();
            if let Some(job) = model.jobs.get(&id) {
                for m in job
                    .places
                    .values()
                    .flatten()
                    .filter_map(|m| model.machines.get(m))
                {
                    *zones.entry(m.zone.clone()).or_default() += 1;
                }
            }
            zones
        })
    }

    /// Zones that the job's rules forbid for its next task; `None`: no rule.
    fn zone_rule(&mut self, spec: &JobSpec) -> Option<BTreeMap<String, u32>> {
        (spec.one_zone || spec.spread).then(|| self.zones_of(spec.id).clone())
    }

    fn zone_allowed(spec: &JobSpec, zones: Option<&BTreeMap<String, u32>>, zone: &str) -> bool {
        if spec.zone.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        let Some(zones) = zones else { return true };
        if spec.one_zone && zones.keys().any(|z| z != zone) {
            return false;
        }
        if spec.spread {
            let here = zones.get(zone).copied().unwrap_or(0);
            if here + 1 > spec.tasks.div_ceil(2) {
                return false;
            }
        }
        true
    }

    fn machine_allowed(&self, spec: &JobSpec, room: &Room) -> bool {
        (spec.spot || !room.spot)
            && type_allowed(spec, &self.types[room.kind])
            && !room.closed
            && room
                .recall
                .is_none_or(|r| self.now + self.model.predict(spec) < r)
    }

    /// Places as many of a job's waiting tasks as fit and `most` allows, a
    /// gang's all or none; with `limit`, only where they are predicted to end
    /// by then.
    pub(super) fn place_all(
        &mut self,
        id: JobId,
        backfill: bool,
        limit: Option<Instant>,
        most: u32,
        count: &mut u32,
    ) -> Tried {
        if !self.plainly && self.alike(id) {
            return self.place_alike(id, backfill, limit, most, count);
        }
        let until = count.saturating_add(most);
        while *count < until {
            let Some(batch) = self.next_batch(id) else {
                return Tried::Placed;
            };
            if self.barred(id, batch.len()) {
                return Tried::Barred;
            }
            let Some(places) = self.find(id, &batch, limit, false) else {
                return Tried::NoRoom;
            };
            *count += places.len() as u32;
            self.take(places, backfill, id);
        }
        Tried::Placed
    }

    /// Whether a job's tasks are all placed by the same rule, whatever became
    /// of the others: then they are placed together.
    fn alike(&self, id: JobId) -> bool {
        self.model.jobs.get(&id).is_some_and(|j| {
            j.spec.kind != Kind::Gang && !j.spec.one_zone && !j.spec.spread && !j.on_probation(self.now)
        })
    }

    /// [`Planner::place_all`] for tasks that are alike: the machines are judged
    /// once, then filled from the best on, as one by one would do it.
    fn place_alike(
        &mut self,
        id: JobId,
        backfill: bool,
        limit: Option<Instant>,
        most: u32,
        count: &mut u32,
    ) -> Tried {
        let Some(job) = self.model.jobs.get(&id) else {
            return Tried::Placed;
        };
        if job.waiting.count() == 0 || most == 0 {
            return Tried::Placed;
        }
        if self.barred(id, 1) {
            return Tried::Barred;
        }
        let spec = job.spec.clone();
        let mut good: Vec<(Score, usize)> = self
            .open
            .iter()
            .filter_map(|at| Some((self.judge(&self.rooms[*at], &spec, None, limit, false)?.0, *at)))
            .collect();
        if good.is_empty() {
            return Tried::NoRoom;
        }
        good.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        let mut left: VecDeque<u32> = job.waiting.iter().take(most as usize).collect();
        let attempt = self.model.new_attempt();
        let mut outcome = Tried::NoRoom;
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
                    outcome = Tried::Barred;
                    break 'machines;
                }
                *count += 1;
                let place = Place {
                    at,
                    task,
                    victims: Vec::new(),
                };
                self.take_one(place, backfill, &spec, attempt);
            }
            for index in passed.into_iter().rev() {
                left.push_front(index);
            }
            if left.is_empty() {
                outcome = Tried::Placed;
                break;
            }
        }
        self.tidy();
        // At its limit it is skipped, whatever room there is.
        if outcome == Tried::NoRoom && !self.within_limit(&spec, 1) {
            return Tried::Barred;
        }
        outcome
    }

    /// Stops shadow tasks if that starts tasks of the head (a gang: all of
    /// them) at once; lowest priority first, where the least work is lost.
    pub(super) fn preempt_for(&mut self, head: JobId, rank: Rank, round: &mut Round) {
        let borrowed = BorrowedLoad::for_head(self.model, head, &self.ranks);
        if !self.model.shadows && borrowed.is_empty() {
            return;
        }
        self.load(rank, borrowed);
        if !self.rooms.iter().any(|r| r.load.iter().any(|l| l.shadow)) {
            return;
        }
        let mut left = self.first_tasks(head, rank.1);
        while left > 0 {
            let Some(batch) = self.next_batch(head) else {
                return;
            };
            if self.barred(head, batch.len()) {
                return;
            }
            let Some(places) = self.find(head, &batch, None, true) else {
                return;
            };
            round.preempted += places.iter().map(|p| p.victims.len() as u32).sum::<u32>();
            round.in_order += places.len() as u32;
            left = left.saturating_sub(places.len() as u32);
            self.take(places, false, head);
        }
    }

    /// What is to be placed together: one task, or all of a gang.
    fn next_batch(&self, id: JobId) -> Option<Vec<u32>> {
        let job = self.model.jobs.get(&id)?;
        let first = job.waiting.first()?;
        Some(if job.spec.kind == Kind::Gang {
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
            || job.placed >= self.model.admitted(job, self.now)
            || !self.within_limit(&job.spec, tasks)
    }

    /// Finds places for tasks of a job, without taking them.
    fn find(
        &mut self,
        id: JobId,
        batch: &[u32],
        limit: Option<Instant>,
        preempt: bool,
    ) -> Option<Vec<Place>> {
        let job = self.model.jobs.get(&id)?;
        let spec = job.spec.clone();
        let mut zones = self.zone_rule(&spec);
        let unbound = spec.one_zone && zones.as_ref().is_some_and(BTreeMap::is_empty);
        if batch.len() == 1 && !unbound {
            let task = TaskId {
                job: id,
                index: batch[0],
            };
            return self
                .find_one(&self.rooms, &spec, task, zones.as_ref(), limit, preempt)
                .map(|p| vec![p]);
        }
        // A job bound to one zone takes the one with the most room for it.
        let mut tries: Vec<Option<usize>> = vec![None];
        if unbound {
            let mut room_in: BTreeMap<usize, u32> = BTreeMap::new();
            for r in self.rooms.iter().filter(|r| self.machine_allowed(&spec, r)) {
                *room_in.entry(r.zone).or_default() += r.room_for(&spec);
            }
            let mut by_room: Vec<_> = room_in.into_iter().collect();
            by_room.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
            tries = by_room.into_iter().map(|(z, _)| Some(z)).collect();
        }
        for only in tries {
            let mut rooms = self.rooms.clone();
            if let Some(z) = only {
                rooms
                    .iter_mut()
                    .filter(|r| r.zone != z)
                    .for_each(|r| r.closed = true);
            }
            let mut found = Vec::new();
            let mut counts = zones.take();
            for index in batch {
                let task = TaskId {
                    job: id,
                    index: *index,
                };
                let Some(p) = self.find_one(&rooms, &spec, task, counts.as_ref(), limit, preempt) else {
                    break;
                };
                let room = &mut rooms[p.at];
                for v in &p.victims {
                    if let Some(i) = room.load.iter().position(|l| l.task == *v) {
                        let l = room.load.remove(i);
                        room.give_back(&l);
                    }
                }
                room.claim(&spec);
                if let Some(c) = &mut counts {
                    *c.entry(self.names[room.zone].clone()).or_default() += 1;
                }
                found.push(p);
            }
            if found.len() == batch.len() {
                return Some(found);
            }
            zones = self.zone_rule(&spec);
        }
        None
    }

    /// The best machine for a task; with `preempt`, counting what its shadow
    /// tasks would give back.
    fn find_one(
        &self,
        rooms: &[Room],
        spec: &JobSpec,
        task: TaskId,
        zones: Option<&BTreeMap<String, u32>>,
        limit: Option<Instant>,
        preempt: bool,
    ) -> Option<Place> {
        let mut best: Option<(Score, Place)> = None;
        for (at, room) in rooms.iter().enumerate() {
            let taken = || {
                let m = self.model.machines.get(&room.machine);
                m.is_none_or(|m| m.slots.contains_key(&task))
            };
            let Some((score, victims)) = self.judge(room, spec, zones, limit, preempt) else {
                continue;
            };
            if !taken() && best.as_ref().is_none_or(|(b, _)| score < *b) {
                best = Some((score, Place { at, task, victims }));
            }
        }
        best.map(|(_, p)| p)
    }

    /// How good a machine is for a job's task, and what would have to stop.
    fn judge(
        &self,
        room: &Room,
        spec: &JobSpec,
        zones: Option<&BTreeMap<String, u32>>,
        limit: Option<Instant>,
        preempt: bool,
    ) -> Option<(Score, Vec<TaskId>)> {
        let free = room.fits(spec);
        if !(free || preempt)
            || !self.machine_allowed(spec, room)
            || !Self::zone_allowed(spec, zones, &self.names[room.zone])
        {
            return None;
        }
        let job = self.model.jobs.get(&spec.id)?;
        let m = self.model.machines.get(&room.machine)?;
        let (lost, victims) = if free {
            (Duration::ZERO, Vec::new())
        } else {
            room.victims(spec, self.now)?
        };
        let cached = m.has_image(&spec.image);
        let kind = &self.types[room.kind];
        if let Some(limit) = limit {
            let fetch = if cached || kind.fetch_gb_per_s <= 0.0 {
                Duration::ZERO
            } else {
                Duration::from_secs_f64(spec.image_gb / kind.fetch_gb_per_s)
            };
            if self.now + self.model.predict(spec) + fetch > limit {
                return None;
            }
        }
        let failed = job.failures.includes(&m.id);
        let price = if room.spot { kind.spot_price } else { kind.price } / kind.cpus.max(1.0);
        // Spot first, for what it costs, then the fullest machine.
        let score = (lost, failed, !cached, !room.spot, price, room.cpus - spec.cpus);
        Some((score, victims))
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
                    self.model.pause_borrower(l.task.job, self.now);
                }
            }
        }
        self.rooms[p.at].claim(spec);
        if self.loaded {
            let end = self.now + self.model.predict(spec);
            self.rooms[p.at].load.push(Load {
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
            let u = Usage {
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

    /// When the head's next task is predicted to fit, counting sunny load
    /// only; `None` if it can't be told.
    pub(super) fn reservation(&mut self, head: JobId) -> Option<Instant> {
        let job = self.model.jobs.get(&head)?;
        job.waiting.first()?;
        let spec = job.spec.clone();
        if !self.loaded {
            let rank = *self.ranks.get(&head)?;
            self.load(rank, BorrowedLoad::default());
        }
        let zones = self.zone_rule(&spec);
        let mut best = None;
        for room in &self.rooms {
            if !self.machine_allowed(&spec, room)
                || !Self::zone_allowed(&spec, zones.as_ref(), &self.names[room.zone])
            {
                continue;
            }
            let mut after = room.bare();
            room.load
                .iter()
                .filter(|l| l.shadow)
                .for_each(|l| after.give_back(l));
            let mut sunny: Vec<&Load> = room.load.iter().filter(|l| !l.shadow).collect();
            sunny.sort_by_key(|l| l.end);
            for l in sunny {
                after.give_back(l);
                if after.fits(&spec) {
                    best = Some(best.map_or(l.end, |b: Instant| b.min(l.end)));
                    break;
                }
            }
        }
        best
    }
}
