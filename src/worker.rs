//! Client of the workers: commands straight to their address.

use std::sync::OnceLock;
use std::time::Duration;

use crate::core::evidence::permission::{SendPermit, SendRefusal};
use crate::http::{post_once, HttpError};
use crate::sockets::SocketBudget;
use crate::wire::{CommandBatch, Heartbeat};

/// What came of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// Executed; the report after it.
    Executed(Heartbeat),
    /// Nothing executed: the token or the session is not the worker's.
    Refused(Heartbeat),
    /// No answer: it may have been executed, or may still be.
    Unanswered,
    /// It was never handed over.
    Withheld(SendRefusal),
}

/// How long a command may take.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Sends commands to a worker if `permit` still allows it once it is connected,
/// however long that took.
pub async fn send_commands(
    sockets: &SocketBudget,
    addr: &str,
    commands: &CommandBatch,
    permit: impl Fn() -> Result<SendPermit, SendRefusal>,
) -> CommandOutcome {
    let Ok(body) = serde_json::to_vec(commands) else {
        return CommandOutcome::Unanswered;
    };
    let _socket = sockets.acquire_command().await;
    let withheld = OnceLock::new();
    let go = || match permit() {
        Ok(permit) => {
            permit.spend();
            true
        }
        Err(reason) => {
            let _ = withheld.set(reason);
            false
        }
    };
    let answer = post_once(addr, "/commands", body, PATIENCE, go).await;
    if let Some(reason) = withheld.into_inner() {
        return CommandOutcome::Withheld(reason);
    }
    let heartbeat = |r: &bytes::Bytes| serde_json::from_slice::<Heartbeat>(r);
    match answer.map(|r| (r.status, heartbeat(&r.body))) {
        Ok((200, Ok(heartbeat))) => CommandOutcome::Executed(heartbeat),
        Ok((409, Ok(heartbeat))) => CommandOutcome::Refused(heartbeat),
        Ok(_) | Err(HttpError::Unsent | HttpError::Unanswered) => CommandOutcome::Unanswered,
    }
}
