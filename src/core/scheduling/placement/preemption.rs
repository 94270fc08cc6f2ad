//! What runs on the machines: stopping shadow load for the blocked head, and
//! when the head's reservation is.

use std::time::Instant;

use super::Planner;
use crate::core::scheduling::capacity::RunningLoad;
use crate::core::scheduling::over_quota::OverQuotaLoad;
use crate::core::scheduling::plan::RoundSummary;
use crate::core::scheduling::ranking::Rank;
use crate::core::state::slot::SlotState;
use crate::wire::JobId;

impl Planner<'_> {
    /// Fills in what runs on the machines; as shadow only what the head outranks.
    pub(super) fn load(&mut self, head: Rank, mut borrowed: OverQuotaLoad) {
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
                let lent = outranked && !s.backfilled && borrowed.admits_preemption(model, task.job, s, now);
                room.load.push(RunningLoad {
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

    /// Stops shadow tasks if that starts tasks of the head (a gang: all of
    /// them) at once; lowest priority first, where the least work is lost.
    pub(in crate::core) fn preempt_for(&mut self, head: JobId, rank: Rank, round: &mut RoundSummary) {
        let borrowed = OverQuotaLoad::for_head(self.model, head, &self.ranks);
        if !self.model.has_backfilled && borrowed.is_empty() {
            return;
        }
        self.load(rank, borrowed);
        if !self.rooms.iter().any(|r| r.load.iter().any(|l| l.shadow)) {
            return;
        }
        let mut left = self.first_tasks(head, rank.tier);
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

    /// When the head's next task is predicted to fit, counting sunny load
    /// only; `None` if it can't be told.
    pub(in crate::core) fn reservation(&mut self, head: JobId) -> Option<Instant> {
        let job = self.model.jobs.get(&head)?;
        job.waiting.first()?;
        let spec = job.spec.clone();
        if !self.loaded {
            let rank = *self.ranks.get(&head)?;
            self.load(rank, OverQuotaLoad::default());
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
            let mut sunny: Vec<&RunningLoad> = room.load.iter().filter(|l| !l.shadow).collect();
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
