//! Runs scheduling rounds, and passes what they decide to `state_writes` and
//! `command_dispatch`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::clock::read_clocks;
use crate::core::evidence::commands::DueBatch;
use crate::core::scheduling::RoundSummary;
use crate::core::storage::pending_writes::PendingWrite;
use crate::core::ClusterModel;

use super::ActiveLeader;

/// Most machines not yet fenced by this term that are probed in one round: sent a batch
/// of commands, maybe an empty one, to fence them and to learn what runs on them. A new
/// leader has to probe all machines, and the renewal of its lease must not wait behind
/// the probes.
const MAX_PROBES: usize = 64;
/// Longest wait for a request before a round runs anyway.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a round, as a multiple of the time that the round took.
const PAUSE_PER_ROUND_TIME: u32 = 4;
/// Upper bound of that pause, as a multiple of the operators' `plan.pause_ms`.
const MAX_PAUSE_FACTOR: u32 = 10;

/// What a round decided to store and to send.
struct RoundDecisions {
    writes: Vec<PendingWrite>,
    commands: Vec<DueBatch>,
}

impl ActiveLeader {
    /// Runs rounds, on request and periodically, until the term ends. Skips them while
    /// this controller may not act.
    pub(super) async fn run_rounds(self: Arc<Self>) {
        let mut could_act = true;
        loop {
            let _ = timeout(MAX_ROUND_INTERVAL, self.round_requested.notified()).await;
            self.controller.check_for_stall();
            let began = Instant::now();
            let may_act = self.may_act();
            if may_act {
                self.run_round();
            }
            if may_act != could_act {
                could_act = may_act;
                self.log_authority_change(may_act);
            }
            // A round that took long is followed by a longer pause, so that
            // users and workers are answered meanwhile.
            let pause = self.controller.operator_settings().min_round_pause;
            let longer_pause = (began.elapsed() * PAUSE_PER_ROUND_TIME).min(pause * MAX_PAUSE_FACTOR);
            sleep(pause.max(longer_pause)).await;
        }
    }

    /// Plans one round and spawns tasks that store and send what it decided. They are
    /// not awaited: a slow worker must not hold up the next round.
    fn run_round(self: &Arc<Self>) {
        let decisions = self.plan_round(Instant::now());
        for write in decisions.writes {
            let active_leader = self.clone();
            tokio::spawn(async move { active_leader.store_write(write).await });
        }
        for due in decisions.commands {
            let active_leader = self.clone();
            tokio::spawn(async move { active_leader.send_due_batch(&due).await });
        }
    }

    fn plan_round(&self, now: Instant) -> RoundDecisions {
        let mut model = self.model.lock();
        let summary = model.run_scheduling_round(now);
        if summary != RoundSummary::default() {
            debug!(?summary, "scheduling round placed or preempted tasks");
        }
        self.log_fencing_completed(&model, now);
        let writes = model.take_due_writes(now);
        let max_probes = MAX_PROBES.min(self.controller.sockets().available_command_sockets() / 2);
        let commands = model.take_due_batches(now, max_probes);
        RoundDecisions { writes, commands }
    }

    /// Logs once how long after the load no machine that is up needed a probe any more
    /// to be fenced: each is fenced, so that it refuses commands of earlier leaders, or
    /// has a probe in flight.
    fn log_fencing_completed(&self, model: &ClusterModel, now: Instant) {
        let mut fencing_began = self.fencing_began.lock();
        if let Some(began) = fencing_began.filter(|_| model.all_machines_fenced()) {
            info!(
                took_ms = (now - began).as_millis() as u64,
                "no machine that is up still needs a probe to be fenced"
            );
            *fencing_began = None;
        }
    }

    fn log_authority_change(&self, may_act: bool) {
        let since_renewal = self.authority.lock().since_renewal(read_clocks());
        info!(
            term = self.term,
            may_act,
            since_renewal_ms = since_renewal.as_millis() as u64,
            "the authority to act as the leader has changed"
        );
    }
}
