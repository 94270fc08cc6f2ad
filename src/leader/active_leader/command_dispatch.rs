//! Commands to workers: sent if the model still permits them at the hand-over,
//! and their outcome entered into the model.

use std::time::Instant;

use tracing::{debug, info};

use crate::core::evidence::commands::DueCommand;
use crate::worker::{self, CommandOutcome};

use super::ActiveLeader;

impl ActiveLeader {
    /// Sends a command that a round decided. The permission is asked for again
    /// when it is handed over, as it may have waited for a socket.
    pub(super) async fn send_command(&self, due: &DueCommand) {
        let permit = || {
            let may_act = self.may_act();
            self.model.lock().permit_send(&due.machine, &due.batch, may_act)
        };
        let sockets = self.controller.sockets();
        let outcome = worker::send_commands(sockets, &due.address, &due.batch, permit).await;
        log_outcome(due, &outcome);
        let mut model = self.model.lock();
        match &outcome {
            CommandOutcome::Withheld(_) => model.command_withheld(&due.machine),
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Refused(heartbeat) => {
                model.command_finished(&due.machine, Some(heartbeat), Instant::now());
            }
            CommandOutcome::Unanswered => {
                model.command_finished(&due.machine, None, Instant::now());
            }
        }
        drop(model);
        self.request_round();
    }
}

fn log_outcome(due: &DueCommand, outcome: &CommandOutcome) {
    match outcome {
        CommandOutcome::Refused(heartbeat) => {
            debug!(
                machine = %due.machine,
                token = due.batch.token,
                worker_token = heartbeat.token,
                incarnation = heartbeat.incarnation,
                "command refused"
            );
        }
        CommandOutcome::Withheld(reason) => {
            info!(
                machine = %due.machine,
                token = due.batch.token,
                %reason,
                "command withheld"
            );
        }
        CommandOutcome::Executed(_) | CommandOutcome::Unanswered => {}
    }
}
