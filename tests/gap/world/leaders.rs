//! What a controller does on each turn: it stands for election, or leads.

use std::time::Instant;

use bitternfold::core::evidence::authority::{Authority, AuthorityLimits, ClockReading};
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use rand::Rng;

use super::{SimulatedSite, StateLease, STATE_SERVICE_CLOCK};
use crate::support::*;

/// A controller's term, as it sees it.
pub(super) struct Leader {
    pub(super) term: u64,
    pub(super) model: ClusterModel,
    pub(super) authority: Authority,
    /// Whether it knows that another one leads.
    pub(super) deposed: bool,
    /// When it last asked to renew its lease, by its own clock.
    pub(super) renewal_sent: Instant,
    /// Not stored yet.
    pub(super) writes: Vec<PendingWrite>,
    /// Whether it was asked to cancel the job.
    pub(super) cancelled: bool,
}

impl SimulatedSite {
    /// A controller's turn.
    pub(super) fn run_controller(&mut self, controller: usize) {
        if self.is_paused(controller) {
            return;
        }
        let Some(mut leader) = self.leaders[controller].take() else {
            return self.stand_for_election(controller);
        };
        let clocks = self.clocks(controller);
        if self.times.peers_connected {
            // A message of a newer term ends an older one.
            let mut others = self.leaders.iter().flatten();
            leader.deposed |= others.any(|other| other.term > leader.term);
        }
        let responds = self.state_service_responds(controller);
        let lease = self.lease.as_ref();
        let holds_lease = lease.is_some_and(|lease| lease.holder == controller) && leader.term == self.term;
        if responds {
            self.renew_lease(controller, &mut leader, clocks, holds_lease);
        }
        if leader.deposed {
            let steps_down = self.rng.random_bool(0.02);
            self.leaders[controller] = Some(leader).filter(|_| !steps_down);
            return;
        }
        if leader.authority.may_act(clocks) {
            self.play_round(controller, &mut leader, clocks.steady);
        }
        if responds && holds_lease {
            self.store_writes(&mut leader, clocks.steady);
            self.store_cancellation(&mut leader);
        }
        self.leaders[controller] = Some(leader);
    }

    fn stand_for_election(&mut self, controller: usize) {
        if !self.state_service_responds(controller) || self.lease.is_some() || self.is_paused(controller) {
            return;
        }
        self.term += 1;
        self.grant_lease(controller);
        let now = self.clock(controller);
        let mut model = ClusterModel::new(self.config.clone(), self.term);
        model.set_machine_types(types());
        for record in self.stored_jobs.values() {
            model.add_job(record.clone(), now);
        }
        for (number, segment) in &self.wal {
            assert!(model.load_log_segment(*number, segment.clone()));
        }
        model.replay_log(now);
        let limits = AuthorityLimits {
            leader_lease: self.times.leader_lease(),
            worker_lease: self.config.worker_lease,
            cancel_deadline: self.config.cancel_deadline,
            clock_error: self.clock_error,
        };
        self.leaders[controller] = Some(Leader {
            term: self.term,
            model,
            authority: Authority::new(&limits, self.clocks(controller)),
            deposed: false,
            renewal_sent: now,
            writes: Vec::new(),
            cancelled: self.stored_jobs.values().any(|record| record.cancelled),
        });
    }

    /// The state service grants a controller a lease of full length from now on.
    fn grant_lease(&mut self, controller: usize) {
        let expires = self.clock(STATE_SERVICE_CLOCK) + self.times.leader_lease();
        self.lease = Some(StateLease {
            holder: controller,
            expires,
        });
    }

    /// Renews the lease once a fifth of it has passed. Who holds none is deposed.
    fn renew_lease(&mut self, controller: usize, leader: &mut Leader, clocks: ClockReading, holds: bool) {
        let due = leader.renewal_sent + self.times.renewal_interval();
        if leader.deposed || clocks.steady < due {
            return;
        }
        leader.renewal_sent = clocks.steady;
        if holds {
            self.grant_lease(controller);
            leader.authority.renewed(clocks);
        } else {
            leader.deposed = true;
        }
    }

    fn play_round(&mut self, controller: usize, leader: &mut Leader, now: Instant) {
        leader.model.expire_leases(now);
        leader.model.plan(now);
        leader.writes.extend(leader.model.take_due_writes(now));
        for due in leader.model.take_due_commands(now, 4) {
            self.send_command(controller, leader.term, &due.machine, due.batch);
        }
    }

    fn store_writes(&mut self, leader: &mut Leader, now: Instant) {
        for write in std::mem::take(&mut leader.writes) {
            if let PendingWrite::Append(append) = &write {
                self.store_segments(&append.segments);
            }
            // The cancelled job is kept, so that a later leader finds it.
            if !matches!(write, PendingWrite::Final { .. }) {
                leader.model.write_finished(&write, true, now);
            }
        }
    }

    fn store_segments(&mut self, segments: &[(u64, Option<serde_json::Value>)]) {
        for (number, segment) in segments {
            match segment {
                Some(segment) => drop(self.wal.insert(*number, segment.clone())),
                None => drop(self.wal.remove(number)),
            }
        }
    }

    /// Stores a cancellation that was asked for, and confirms it to the client.
    fn store_cancellation(&mut self, leader: &mut Leader) {
        if !leader.cancelled || self.confirmed.is_some() {
            return;
        }
        for record in self.stored_jobs.values_mut() {
            record.cancelled = true;
            leader.model.cancellation_stored(record.spec.id);
        }
        self.confirmed = Some(self.now);
    }

    /// The controller of the latest term.
    pub(super) fn latest_leader(&self) -> Option<usize> {
        (0..3).max_by_key(|controller| self.leaders[*controller].as_ref().map_or(0, |l| l.term))
    }

    /// A client asks the latest leader to cancel the job.
    pub(super) fn cancel(&mut self) {
        let latest = self.latest_leader();
        let Some(controller) = latest.filter(|controller| !self.is_paused(*controller)) else {
            return;
        };
        let clocks = self.clocks(controller);
        let asked = self.leaders[controller].as_mut();
        if let Some(leader) =
            asked.filter(|leader| !leader.deposed && leader.authority.may_act(clocks) && !leader.cancelled)
        {
            let ids: Vec<JobId> = leader.model.jobs().keys().copied().collect();
            ids.into_iter()
                .for_each(|id| leader.model.cancel(id, clocks.steady));
            leader.cancelled = true;
        }
    }
}
