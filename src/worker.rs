//! Client of the workers: sends batches of commands directly to a worker's address.

use std::time::Duration;

use crate::core::evidence::permission::{SendPermit, SendRefusal};
use crate::http::{post_unpooled, PostError};
use crate::sockets::SocketBudget;
use crate::wire::{CommandBatch, Heartbeat};

/// Outcome of sending a batch of commands.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// The worker executed the batch, and returned its state after that.
    Executed(Heartbeat),
    /// The worker executed nothing, as the fencing token or the incarnation is not the
    /// expected one, and returned its state.
    Refused(Heartbeat),
    /// There is no usable response: the batch may have been executed, or may still be.
    Unanswered,
    /// The batch was not sent, as it was no longer permitted.
    Withheld(SendRefusal),
}

/// Timeout of a batch, from the start of connecting to the complete response.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Sends commands to the worker at `address` (`host:port`). Waits for a socket of
/// the share for commands, connects, and only then calls `permit` to check whether the
/// commands may still be sent, as waiting and connecting can take long.
pub async fn send_commands(
    sockets: &SocketBudget,
    address: &str,
    commands: &CommandBatch,
    permit: impl FnOnce() -> Result<SendPermit, SendRefusal>,
) -> CommandOutcome {
    let Ok(body) = serde_json::to_vec(commands) else {
        return CommandOutcome::Unanswered;
    };
    let _socket = sockets.acquire_command_socket().await;
    let spend_permit = || permit().map(SendPermit::consume);
    let response = match post_unpooled(address, "/commands", body, COMMAND_TIMEOUT, spend_permit).await {
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
