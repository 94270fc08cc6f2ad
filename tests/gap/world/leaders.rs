//! Controllers: each stands for election if there is no leader, or leads.

use std::time::Instant;

use bitternfold::core::evidence::authority::{Authority, AuthorityLimits, ClockReading};
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::core::ClusterModel;
use bitternfold::wire::*;
use rand::Rng;

use super::{SimulatedSite, StateLease, STATE_SERVICE_CLOCK};
use crate::support::*;

/// A controller that was elected, with its own view of its term.
pub(super) struct Leader {
    pub(super) term: u64,
    pub(super) model: ClusterModel,
    pub(super) authority: Authority,
    /// Whether the controller knows that another one leads.
    pub(super) deposed: bool,
    /// When it last requested a renewal of its lease, by its own steady clock.
    pub(super) renewal_sent: Instant,
    /// Writes that are not stored yet.
    pub(super) pending_writes: Vec<PendingWrite>,
    /// Whether the cancellation of the job was requested from it or is stored.
    pub(super) cancellation_requested: bool,
}

impl SimulatedSite {
    /// Runs one step of a controller.
    pub(super) fn run_controller(&mut self, controller: usize) {
        if self.is_paused(controller) {
            return;
        }
        let Some(mut leader) = self.leaders[controller].take() else {
            return self.stand_for_election(controller);
        };
        let clocks = self.read_clocks(controller);
        if self.scenario.peers_connected {
            // Controllers of a newer term tell the others, which deposes older leaders.
            let mut others = self.leaders.iter().flatten();
            leader.deposed |= others.any(|other| other.term > leader.term);
        }
        let responds = self.state_service_responds(controller);
        let lease = self.leader_lease.as_ref();
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
            self.run_round(controller, &mut leader, clocks.steady);
        }
        if responds && holds_lease {
            self.store_writes(&mut leader, clocks.steady);
            self.store_cancellation(&mut leader);
        }
        self.leaders[controller] = Some(leader);
    }

    fn stand_for_election(&mut self, controller: usize) {
        if !self.state_service_responds(controller)
            || self.leader_lease.is_some()
            || self.is_paused(controller)
        {
            return;
        }
        self.term += 1;
        self.grant_lease(controller);
        let now = self.clock(controller);
        let mut model = ClusterModel::new(self.config.clone(), self.term);
        model.set_machine_types(machine_types());
        for record in self.stored_jobs.values() {
            model.add_job(record.clone(), now);
        }
        for (number, segment) in &self.wal {
            assert!(model.load_log_segment(*number, segment.clone()));
        }
        model.replay_log(now);
        let limits = AuthorityLimits {
            leader_lease: self.scenario.leader_lease(),
            worker_lease: self.config.worker_lease,
            cancel_deadline: self.config.cancel_deadline,
            clock_error: self.clock_error,
        };
        self.leaders[controller] = Some(Leader {
            term: self.term,
            model,
            authority: Authority::new(&limits, self.read_clocks(controller)),
            deposed: false,
            renewal_sent: now,
            pending_writes: Vec::new(),
            cancellation_requested: self.stored_jobs.values().any(|record| record.cancelled),
        });
    }

    /// The state service grants a controller the leader's lease for its full lifetime from
    /// now on.
    fn grant_lease(&mut self, controller: usize) {
        let expires = self.clock(STATE_SERVICE_CLOCK) + self.scenario.leader_lease();
        self.leader_lease = Some(StateLease {
            holder: controller,
            expires,
        });
    }

    /// Renews the leader's lease if a fifth of its lifetime has passed since the last request.
    /// A leader that no longer holds the lease is deposed.
    fn renew_lease(
        &mut self,
        controller: usize,
        leader: &mut Leader,
        clocks: ClockReading,
        holds_lease: bool,
    ) {
        let due = leader.renewal_sent + self.scenario.renewal_interval();
        if leader.deposed || clocks.steady < due {
            return;
        }
        leader.renewal_sent = clocks.steady;
        if holds_lease {
            self.grant_lease(controller);
            leader.authority.renewed(clocks);
        } else {
            leader.deposed = true;
        }
    }

    fn run_round(&mut self, controller: usize, leader: &mut Leader, now: Instant) {
        leader.model.expire_leases(now);
        leader.model.run_scheduling_round(now);
        leader.pending_writes.extend(leader.model.take_due_writes(now));
        for due in leader.model.take_due_batches(now, 4) {
            self.send_command(controller, leader.term, &due.machine, due.batch);
        }
    }

    fn store_writes(&mut self, leader: &mut Leader, now: Instant) {
        for write in std::mem::take(&mut leader.pending_writes) {
            if let PendingWrite::Append(append) = &write {
                self.store_segments(&append.segments);
            }
            // A final record is not stored: the cancelled job stays open, so that a later
            // leader finds it.
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

    /// Stores a requested cancellation and confirms it to the user.
    fn store_cancellation(&mut self, leader: &mut Leader) {
        if !leader.cancellation_requested || self.confirmed_at.is_some() {
            return;
        }
        for record in self.stored_jobs.values_mut() {
            record.cancelled = true;
            leader.model.cancellation_stored(record.spec.id);
        }
        self.confirmed_at = Some(self.now);
    }

    /// The controller with the latest term.
    pub(super) fn latest_leader(&self) -> Option<usize> {
        (0..3).max_by_key(|controller| self.leaders[*controller].as_ref().map_or(0, |l| l.term))
    }

    /// A user asks the latest leader to cancel the job.
    pub(super) fn request_cancellation(&mut self) {
        let latest = self.latest_leader();
        let Some(controller) = latest.filter(|controller| !self.is_paused(*controller)) else {
            return;
        };
        let clocks = self.read_clocks(controller);
        let leader = self.leaders[controller].as_mut();
        if let Some(leader) =
            leader.filter(|l| !l.deposed && l.authority.may_act(clocks) && !l.cancellation_requested)
        {
            let ids: Vec<JobId> = leader.model.jobs().keys().copied().collect();
            ids.into_iter()
                .for_each(|id| leader.model.cancel(id, clocks.steady));
            leader.cancellation_requested = true;
        }
    }
}
