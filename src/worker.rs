//! Client of the workers: commands straight to their address.

use std::time::Duration;

use hyper::Method;

use crate::http::Http;
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
}

/// How long a command may take.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Sends commands to a worker.
pub async fn command(http: &Http, addr: &str, commands: &Commands) -> Commanded {
    let Ok(body) = serde_json::to_vec(commands) else {
        return Commanded::Unknown;
    };
    let Ok(r) = http
        .call(Method::POST, addr, "/commands", Some(body), PATIENCE)
        .await
    else {
        return Commanded::Unknown;
    };
    let Ok(report) = serde_json::from_slice::<Report>(&r.body) else {
        return Commanded::Unknown;
    };
    match r.status {
        200 => Commanded::Done(report),
        409 => Commanded::Refused(report),
        _ => Commanded::Unknown,
    }
}
