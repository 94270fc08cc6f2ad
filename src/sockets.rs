//! One budget for the sockets of the process. The limit is shared out, so that
//! no use can eat what another needs: at the limit the state service could not
//! be reached any more, and the right to act would be lost with it.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The shares of the limit.
#[derive(Debug)]
pub struct SocketBudget {
    /// Connections of users, workers and health checks.
    incoming: Arc<Semaphore>,
    /// Most of them.
    max_incoming: usize,
    /// Connections to workers, for commands.
    commands: Arc<Semaphore>,
}

/// The least limit that leaves room for every share.
pub const MIN_SOCKETS: usize = 64;

impl SocketBudget {
    /// Shares out so many sockets. A sixteenth, within bounds, is left to the
    /// state service, the cloud, the other controllers and the listeners.
    pub fn new(limit: usize) -> Self {
        let own = (limit / 16).clamp(24, 256);
        let commands = (limit.saturating_sub(own) / 4).max(4);
        let max_incoming = limit.saturating_sub(own + commands).max(8);
        Self {
            incoming: Arc::new(Semaphore::new(max_incoming)),
            max_incoming,
            commands: Arc::new(Semaphore::new(commands)),
        }
    }

    /// Room for another incoming connection, once there is some.
    pub async fn acquire_incoming(&self) -> Option<OwnedSemaphorePermit> {
        self.incoming.clone().acquire_owned().await.ok()
    }

    /// Room for another command, once there is some.
    pub async fn acquire_command(&self) -> Option<OwnedSemaphorePermit> {
        self.commands.clone().acquire_owned().await.ok()
    }

    /// Commands that could be sent at once.
    pub fn available_commands(&self) -> usize {
        self.commands.available_permits()
    }

    /// Most incoming connections, and so most requests that wait for an answer.
    pub fn max_incoming(&self) -> usize {
        self.max_incoming
    }

    /// More than half of the incoming share is taken: workers are asked to
    /// close after each report, and are served in turn.
    pub fn is_overloaded(&self) -> bool {
        self.incoming.available_permits() * 2 < self.max_incoming
    }
}
