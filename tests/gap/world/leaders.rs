//! What a controller does on each turn: it stands for election, or leads.

use std::time::{Duration, Instant};

use bitternfold::core::evidence::authority::{Authority, AuthorityLimits};
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use rand::Rng;

use super::World;
use crate::support::*;

pub(super) struct Leader {
    pub(super) term: u64,
    pub(super) model: ClusterModel,
    pub(super) authority: Authority,
    pub(super) over: bool,
    pub(super) touched: Instant,
    /// Not stored yet.
    pub(super) writes: Vec<PendingWrite>,
    pub(super) cancelled: bool,
}

impl World {
    pub(super) fn stand(&mut self, who: usize) {
        if !self.state(who) || self.held.is_some() || self.stands_still(who) {
            return;
        }
        self.term += 1;
        self.held = Some((who, self.clock(7) + Duration::from_secs_f64(self.times.hold)));
        let now = self.clock(who);
        let mut model = ClusterModel::new(self.config.clone(), self.term);
        model.set_machine_types(types());
        for r in self.jobs.values() {
            model.add_job(r.clone(), now);
        }
        for (n, v) in &self.wal {
            assert!(model.load_log_segment(*n, v.clone()));
        }
        model.replay_log(now);
        let limits = AuthorityLimits {
            lease: Duration::from_secs_f64(self.times.hold),
            worker_lease: self.config.lease,
            cancel: self.config.cancel,
            clock_error: self.clock_error,
        };
        self.leaders[who] = Some(Leader {
            term: self.term,
            model,
            authority: Authority::new(&limits, self.clocks(who)),
            over: false,
            touched: now,
            writes: Vec::new(),
            cancelled: self.jobs.values().any(|r| r.cancelled),
        });
    }

    pub(super) fn lead(&mut self, who: usize) {
        if self.stands_still(who) {
            return;
        }
        let Some(mut l) = self.leaders[who].take() else {
            return self.stand(who);
        };
        let now = self.clock(who);
        let clocks = self.clocks(who);
        if self.times.peers {
            // A message of a newer term ends an older one.
            l.over |= self.leaders.iter().flatten().any(|o| o.term > l.term);
        }
        let state = self.state(who);
        let holds = self.held.is_some_and(|h| h.0 == who && l.term == self.term);
        if !l.over && state && now >= l.touched + Duration::from_secs_f64(self.times.hold / 5.0) {
            l.touched = now;
            if holds {
                self.held = Some((who, self.clock(7) + Duration::from_secs_f64(self.times.hold)));
                l.authority.renewed(clocks);
            } else {
                l.over = true;
            }
        }
        if l.over {
            if self.rng.random_bool(0.02) {
                return self.leaders[who] = None;
            }
            self.leaders[who] = Some(l);
            return;
        }
        if l.authority.may_act(clocks) {
            l.model.expire_leases(now);
            l.model.plan(now);
            l.writes.extend(l.model.take_writes(now));
            for due in l.model.take_due_commands(now, 4) {
                self.send(who, l.term, &due.machine, due.batch);
            }
        }
        if state && holds {
            for w in std::mem::take(&mut l.writes) {
                if let PendingWrite::WriteAheadLog(a) = &w {
                    for (n, v) in &a.segments {
                        match v {
                            Some(v) => drop(self.wal.insert(*n, v.clone())),
                            None => drop(self.wal.remove(n)),
                        }
                    }
                }
                // The cancelled job is kept, so that a later leader finds it.
                if !matches!(w, PendingWrite::Final { .. }) {
                    l.model.write_finished(&w, true, now);
                }
            }
            if l.cancelled && self.confirmed.is_none() {
                for r in self.jobs.values_mut() {
                    r.cancelled = true;
                    l.model.cancel_stored(r.spec.id);
                }
                self.confirmed = Some(self.now);
            }
        }
        self.leaders[who] = Some(l);
    }

    /// A user asks to cancel the job, and finds the latest leader.
    pub(super) fn cancel(&mut self) {
        let latest = (0..3).max_by_key(|c| self.leaders[*c].as_ref().map_or(0, |l| l.term));
        let Some(who) = latest.filter(|c| !self.stands_still(*c)) else {
            return;
        };
        let now = self.clock(who);
        let clocks = self.clocks(who);
        if let Some(l) = self.leaders[who]
            .as_mut()
            .filter(|l| !l.over && l.authority.may_act(clocks) && !l.cancelled)
        {
            let ids: Vec<JobId> = l.model.jobs().keys().copied().collect();
            ids.into_iter().for_each(|id| l.model.cancel(id, now));
            l.cancelled = true;
        }
    }
}
