//! Client of the workers: commands straight to their address.

use std::sync::OnceLock;
use std::time::Duration;

use crate::core::evidence::permission::{SendPermit, Withheld};
use crate::http::{post_once, HttpError};
use crate::sockets::Sockets;
use crate::wire::{Commands, Report};

/// What came of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Commanded {
    /// Executed; the report after it.
    Done(Report),
    /// Nothing executed: the token or the session is not the worker's.
    Refused(Report),
    /// No answer: it may have been executed, or may still be.
    Unknown,
    /// It was never handed over.
    Withheld(Withheld),
}

/// How long a command may take.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Sends commands to a worker if `permit` still allows it once it is connected,
/// however long that took.
pub async fn command(
    sockets: &Sockets,
    addr: &str,
    commands: &Commands,
    permit: impl Fn() -> Result<SendPermit, Withheld>,
) -> Commanded {
    let Ok(body) = serde_json::to_vec(commands) else {
        return Commanded::Unknown;
    };
    let _socket = sockets.command().await;
    let withheld = OnceLock::new();
    let go = || match permit() {
        Ok(permit) => {
            permit.spend();
            true
        }
        Err(why) => {
            let _ = withheld.set(why);
            false
        }
    };
    let answer = post_once(addr, "/commands", body, PATIENCE, go).await;
    if let Some(why) = withheld.into_inner() {
        return Commanded::Withheld(why);
    }
    let report = |r: &bytes::Bytes| serde_json::from_slice::<Report>(r);
    match answer.map(|r| (r.status, report(&r.body))) {
        Ok((200, Ok(report))) => Commanded::Done(report),
        Ok((409, Ok(report))) => Commanded::Refused(report),
        Ok(_) | Err(HttpError::Unsent | HttpError::Unanswered) => Commanded::Unknown,
    }
}
