//! The best machines for tasks of a job.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Planner;
use crate::core::scheduling::capacity::FreeCapacity;
use crate::wire::{JobId, JobSpec, TaskId};

/// How good a machine is for a task, the smaller the better; the first difference
/// decides.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// Work lost to preemption.
    lost: Duration,
    /// The job failed there.
    failed: bool,
    image_absent: bool,
    not_spot: bool,
    price: f64,
    /// CPUs left over: the fullest machine comes first.
    room_left: f64,
}

/// Where a task is to go, and what has to stop for it.
pub(super) struct Place {
    pub(super) at: usize,
    pub(super) task: TaskId,
    pub(super) victims: Vec<TaskId>,
}

impl Planner<'_> {
    /// Finds places for tasks of a job, without taking them.
    pub(super) fn find(
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
    pub(super) fn find_one(
        &self,
        rooms: &[FreeCapacity],
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
    pub(super) fn judge(
        &self,
        room: &FreeCapacity,
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
        let score = Score {
            lost,
            failed,
            image_absent: !cached,
            not_spot: !room.spot,
            price,
            room_left: room.cpus - spec.cpus,
        };
        Some((score, victims))
    }
}
