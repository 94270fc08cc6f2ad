//! Sends commands to workers, if the model still permits them once the connection is
//! made, and reports their outcomes to the model.

use std::time::Instant;

use tracing::{debug, info};

use crate::core::evidence::commands::DueBatch;
use crate::worker::{self, CommandOutcome};

use super::ActiveLeader;

impl ActiveLeader {
    /// Sends commands that a round decided. Whether they may still be sent is checked
    /// again right before sending, as they may have waited for a socket.
    pub(super) async fn send_due_batch(&self, due: &DueBatch) {
        let permit = || {
            let may_act = self.may_act();
            self.model.lock().permit_send(&due.machine, &due.batch, may_act)
        };
        let sockets = self.controller.sockets();
        let outcome = worker::send_commands(sockets, &due.address, &due.batch, permit).await;
        log_outcome(due, &outcome);
        let mut model = self.model.lock();
        match &outcome {
            CommandOutcome::Withheld(_) => model.batch_withheld(&due.machine),
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Refused(heartbeat) => {
                model.batch_finished(&due.machine, Some(heartbeat), Instant::now());
            }
            CommandOutcome::Unanswered => {
                model.batch_finished(&due.machine, None, Instant::now());
            }
        }
        drop(model);
        self.request_round();
    }
}

fn log_outcome(due: &DueBatch, outcome: &CommandOutcome) {
    match outcome {
        CommandOutcome::Refused(heartbeat) => {
            debug!(
                machine = %due.machine,
                token = due.batch.token,
                worker_token = heartbeat.token,
                incarnation = heartbeat.incarnation,
                "worker refused commands: unexpected token or incarnation"
            );
        }
        CommandOutcome::Withheld(reason) => {
            info!(
                machine = %due.machine,
                token = due.batch.token,
                %reason,
                "commands withheld: they may not be sent any more"
            );
        }
        CommandOutcome::Executed(_) | CommandOutcome::Unanswered => {}
    }
}
