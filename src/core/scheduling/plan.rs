//! PV-EASY: jobs start in priority order; shadow load is killed when that
//! starts the blocked head at once; then venture backfilling, first by
//! predicted finish within the reservation, then by priority.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::core::scheduling::placement::{PlacementMode, PlacementOutcome, Planner};
use crate::core::scheduling::ranking::Rank;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::TeamUsage;
use crate::wire::{JobId, MachineId, TaskId};

/// What a round did.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RoundSummary {
    /// Started in order.
    pub in_order: u32,
    /// Started by backfilling.
    pub backfilled: u32,
    /// Shadow tasks stopped for the head.
    pub preempted: u32,
}

impl ClusterModel {
    /// What each team's tasks use, or may use, wherever they may be.
    pub fn usage(&self) -> HashMap<String, TeamUsage> {
        let mut use_of: HashMap<String, TeamUsage> = HashMap::new();
        for j in self.jobs.values().filter(|j| j.placed > 0) {
            let n = f64::from(j.placed);
            let u = use_of.entry(j.spec.team.clone()).or_default();
            u.cpus += n * j.spec.cpus;
            u.gpus += n * j.spec.gpus;
        }
        use_of
    }

    /// Whether a machine may be placed on.
    pub fn usable(&self, m: &Machine, now: Instant) -> bool {
        m.phase == MachinePhase::Up
            && m.fenced(self.term)
            && m.cordoned_since.is_none()
            && !m.addr.is_empty()
            && m.full_until.is_none_or(|t| t <= now)
            // It may hang, or hear nothing of what it is told.
            && m.commands_unanswered_since.is_none()
            && m.last_heartbeat.is_some()
            && self.silence(m, now) < self.config.heartbeat_interval * 2
    }

    /// One scheduling round.
    pub fn plan(&mut self, now: Instant) -> RoundSummary {
        self.round(now, false)
    }

    /// A round that places every task by itself: the plain rule, which the
    /// ordinary round is measured by.
    pub fn plan_one_by_one(&mut self, now: Instant) -> RoundSummary {
        self.round(now, true)
    }

    fn round(&mut self, now: Instant, plainly: bool) -> RoundSummary {
        let mut round = RoundSummary::default();
        if self.jobs_waiting_for_capacity().next().is_none() {
            self.all_sunny();
            return round;
        }
        self.end_cordons(now);
        let ranks = self.ranks(now);
        let mut queue: Vec<(Rank, JobId)> = self
            .jobs_waiting_for_capacity()
            .filter_map(|j| Some((*ranks.get(&j.spec.id)?, j.spec.id)))
            .collect();
        queue.sort_unstable();
        self.end_broken_gangs(now);
        let mut p = Planner::new(self, ranks, now, plainly);

        // In order, until the head stalls.
        let mut head: Option<(usize, Rank)> = None;
        for (at, (rank, id)) in queue.iter().enumerate() {
            let most = p.first_tasks(*id, rank.tier);
            let tried = p.place_all(*id, PlacementMode::in_order(most), &mut round.in_order);
            if tried == PlacementOutcome::NoRoom {
                head = Some((at, *rank));
                break;
            }
        }
        let Some((at, head_rank)) = head else {
            self.all_sunny();
            return round;
        };
        let head_id = queue[at].1;

        // Shadow load preemption.
        p.preempt_for(head_id, head_rank, &mut round);
        let rest = &queue[at + 1..];

        // Venture backfilling within the reservation, nearest finish first.
        if rest.iter().any(|(_, id)| p.fits_somewhere(*id)) {
            let mut by_finish: Vec<(Duration, Rank, JobId)> = rest
                .iter()
                .filter_map(|(r, id)| {
                    let spec = &p.model.jobs.get(id)?.spec;
                    Some((p.model.predict(spec), *r, *id))
                })
                .collect();
            by_finish.sort_unstable();
            if let Some(limit) = p.reservation(head_id) {
                for (_, _, id) in &by_finish {
                    p.place_all(*id, PlacementMode::backfill(Some(limit)), &mut round.backfilled);
                }
            }
            // Then whatever room is left, by priority.
            for (_, id) in rest {
                p.place_all(*id, PlacementMode::backfill(None), &mut round.backfilled);
            }
        }
        let ranks = std::mem::take(&mut p.ranks);
        self.settle_shadow(&ranks, now);
        round
    }

    /// A gang that lost a task is stopped, to be placed again whole.
    fn end_broken_gangs(&mut self, now: Instant) {
        let broken: Vec<(JobId, u32, MachineId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.broken_gang())
            .flat_map(|(id, j)| {
                j.places
                    .iter()
                    .flat_map(|(i, l)| l.iter().map(|m| (*id, *i, m.clone())))
            })
            .collect();
        for (job, index, machine) in broken {
            let grace = self.jobs.get(&job).map_or(0.0, |j| j.spec.save_s);
            let grace = Duration::from_secs_f64(grace);
            self.stop(
                &machine,
                TaskId { job, index },
                grace,
                now,
                "its gang lost a task",
            );
        }
    }

    fn all_sunny(&mut self) {
        if !std::mem::take(&mut self.has_backfilled) {
            return;
        }
        for s in self.machines.values_mut().flat_map(|m| m.slots.values_mut()) {
            s.backfilled = false;
        }
    }

    /// A backfilled task that no waiting job outranks any more is sunny.
    fn settle_shadow(&mut self, ranks: &BTreeMap<JobId, Rank>, now: Instant) {
        if !self.has_backfilled {
            return;
        }
        let top = self
            .jobs_waiting_for_capacity()
            .filter(|j| j.pause_until.is_none_or(|t| t <= now))
            .filter_map(|j| ranks.get(&j.spec.id))
            .min();
        for m in self.machines.values_mut() {
            for (task, s) in m.slots.iter_mut().filter(|(_, s)| s.backfilled) {
                let own = ranks.get(&task.job);
                if own.is_some_and(|o| top.is_none_or(|t| o <= t)) {
                    s.backfilled = false;
                }
            }
        }
    }
}
