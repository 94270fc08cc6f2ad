//! Client of the workers' agents: sends commands straight to a worker's address.

use std::time::Duration;

use crate::core::evidence::permission::{SendPermit, SendRefusal};
use crate::http::{post_once, PostError};
use crate::sockets::SocketBudget;
use crate::wire::{CommandBatch, Heartbeat};

/// What became of a batch of commands.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// The worker executed the batch; its state after that.
    Executed(Heartbeat),
    /// The worker executed nothing, as the fencing token or the incarnation is not
    /// the one it expects; its state.
    Refused(Heartbeat),
    /// There is no response, or none that can be read: the batch may have been
    /// executed, or may still be.
    Unanswered,
    /// The batch was never sent.
    Withheld(SendRefusal),
}

/// How long a batch may take, from the connection's begin to the whole response.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Sends commands to the worker at `address` (`host:port`). Waits for a socket of
/// the share for commands and connects; only then `permit` is asked whether they
/// may still be sent, however long that took.
pub async fn send_commands(
    sockets: &SocketBudget,
    address: &str,
    commands: &CommandBatch,
    permit: impl FnOnce() -> Result<SendPermit, SendRefusal>,
) -> CommandOutcome {
    let Ok(body) = serde_json::to_vec(commands) else {
        return CommandOutcome::Unanswered;
    };
    let _socket = sockets.acquire_command().await;
    let spend_permit = || permit().map(SendPermit::spend);
    let response = match post_once(address, "/commands", body, COMMAND_TIMEOUT, spend_permit).await {
        Ok(response) => response,
        Err(PostError::Withheld(reason)) => return CommandOutcome::Withheld(reason),
        Err(PostError::Http(_)) => return CommandOutcome::Unanswered,
    };
    let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(&response.body) else {
        return CommandOutcome::Unanswered;
    };
    match response.status {
        200 => CommandOutcome::Executed(heartbeat),
        409 => CommandOutcome::Refused(heartbeat),
        _ => CommandOutcome::Unanswered,
    }
}
