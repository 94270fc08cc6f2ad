//! Scheduling rounds: what they decide is stored and sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::clock::read_clocks;
use crate::core::evidence::commands::DueCommand;
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::pending_writes::PendingWrite;
use crate::core::storage::record;
use crate::core::storage::wal::LogAppend;
use crate::store::writer::CommitError;
use crate::worker::{self, CommandOutcome};

use super::ActiveLeader;

/// Machines without other orders that are sent a command in one round at the
/// most, to learn what is on them: a new leader has to ask them all, and its
/// renewal of the lease must not wait behind them.
const PROBES: usize = 64;

impl ActiveLeader {
    pub(super) async fn run_rounds(self: Arc<Self>) {
        let mut acted = true;
        loop {
            let _ = timeout(Duration::from_millis(500), self.round_requested.notified()).await;
            self.controller.check_for_stall();
            let began = Instant::now();
            let acts = self.may_act();
            if acts {
                self.round();
            }
            if acts != acted {
                acted = acts;
                self.log_authority(acts);
            }
            // A round that took long is followed by a longer pause, so that
            // users and workers are answered meanwhile.
            let pause = self.controller.operator_settings.plan_pause;
            sleep(pause.max((began.elapsed() * 4).min(pause * 10))).await;
        }
    }

    pub(super) fn round(self: &Arc<Self>) {
        let now = Instant::now();
        let mut m = self.model.lock();
        let r = m.plan(now);
        if r != crate::core::scheduling::plan::RoundSummary::default() {
            debug!(?r, "round");
        }
        let mut fencing_began = self.fencing_began.lock();
        if let Some(t) = fencing_began.filter(|_| m.all_fenced()) {
            info!(
                took_ms = (now - t).as_millis() as u64,
                "all workers obey this term"
            );
            *fencing_began = None;
        }
        drop(fencing_began);
        let writes = m.take_writes(now);
        let commands = m.take_due_commands(now, PROBES.min(self.controller.sockets.available_commands() / 2));
        drop(m);
        for w in writes {
            let active_leader = self.clone();
            tokio::spawn(async move { active_leader.write(w).await });
        }
        for due in commands {
            let active_leader = self.clone();
            tokio::spawn(async move { active_leader.send_command(&due).await });
        }
    }

    fn log_authority(&self, acts: bool) {
        let since_renewal = self.authority.lock().since_renewal(read_clocks());
        info!(
            term = self.term,
            acts,
            since_renewal_ms = since_renewal.as_millis() as u64,
            "the right to act has changed"
        );
    }

    /// Sends a command that a round decided. What it was decided on is asked for
    /// again when it is handed over, as it may have waited for a socket.
    async fn send_command(&self, due: &DueCommand) {
        let (id, commands) = (&due.machine, &due.batch);
        let permit = || {
            let may_act = self.may_act();
            self.model.lock().permit_send(id, commands, may_act)
        };
        let outcome = worker::send_commands(&self.controller.sockets, &due.address, commands, permit).await;
        let heartbeat = match &outcome {
            CommandOutcome::Executed(r) | CommandOutcome::Refused(r) => Some(r),
            CommandOutcome::Unanswered | CommandOutcome::Withheld(_) => None,
        };
        match &outcome {
            CommandOutcome::Refused(r) => {
                debug!(machine = %id, token = commands.token, seen = r.token, incarnation = r.incarnation, "command refused");
            }
            CommandOutcome::Withheld(reason) => {
                info!(machine = %id, token = commands.token, %reason, "command withheld");
            }
            CommandOutcome::Executed(_) | CommandOutcome::Unanswered => {}
        }
        let mut model = self.model.lock();
        if matches!(outcome, CommandOutcome::Withheld(_)) {
            model.command_withheld(id);
        } else {
            model.command_finished(id, heartbeat, Instant::now());
        }
        drop(model);
        self.request_round();
    }

    /// Stores an append that is refused whole, one segment after the other: the
    /// state service may take fewer changes at once than was announced. What is
    /// deleted comes last, so that the log never names less than is there.
    async fn commit_in_order(&self, append: &LogAppend) -> Result<(), CommitError> {
        for (number, value) in &append.segments {
            let segment = AtomicWrite {
                changes: vec![(record::segment_key(*number), value.clone())],
                absent: Vec::new(),
                urgent: false,
            };
            self.writer.commit(segment).await?;
        }
        Ok(())
    }

    pub(super) async fn write(&self, w: PendingWrite) {
        let mut result = self.writer.commit(w.unit()).await;
        if let (Err(CommitError::Refused), PendingWrite::WriteAheadLog(append)) = (&result, &w) {
            result = self.commit_in_order(append).await;
        }
        if let Err(CommitError::Conflict(keys)) = &result {
            info!(?keys, "a write met a changed key");
        }
        if result.is_err() && matches!(w, PendingWrite::WriteAheadLog(_)) {
            // The log is this term's alone: what it holds is in doubt now, and
            // the next term reads it anew.
            return self.end();
        }
        let ok = result.is_ok();
        if let (true, PendingWrite::Final { id, record, .. }) = (ok, &w) {
            // Before the job leaves the model, so that no answer falls between.
            self.controller.finals.lock().keep(*id, record.clone());
            debug!(job = %id, state = ?record.state, "finished");
        }
        self.model.lock().write_finished(&w, ok, Instant::now());
        self.request_round();
    }
}
