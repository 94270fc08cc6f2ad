//! The budget of sockets of the process.
//!
//! The operating system's limit is divided into shares, so that no use of sockets can
//! take what another needs. Without that, a process at the limit could not connect to
//! the state service any more, and would lose its leadership.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The smallest limit that leaves sockets for every share.
pub const MIN_SOCKETS: usize = 64;

/// Part of the limit, as a divisor, that is kept for the state service, the cloud, the
/// other controllers and the listeners.
const OWN_DIVISOR: usize = 16;
/// Bounds of that part, in sockets.
const OWN_MIN: usize = 24;
const OWN_MAX: usize = 256;
/// Part of the rest, as a divisor, that is for commands.
const COMMANDS_DIVISOR: usize = 4;
/// Least sockets for commands, however low the limit is.
const MIN_COMMANDS: usize = 4;
/// Least sockets for incoming connections, however low the limit is.
const MIN_INCOMING: usize = 8;

async fn acquire(share: &Arc<Semaphore>) -> OwnedSemaphorePermit {
    let permit = share.clone().acquire_owned().await;
    permit.expect("no share is ever closed")
}

/// The shares of the limit. Each permit stands for one socket, which is free again
/// when the permit is dropped.
#[derive(Debug)]
pub struct SocketBudget {
    /// Connections from users, workers and health checks.
    incoming: Arc<Semaphore>,
    /// Size of that share.
    max_incoming: usize,
    /// Connections to workers, for commands.
    commands: Arc<Semaphore>,
}

impl SocketBudget {
    /// Divides a limit of so many sockets.
    pub fn new(limit: usize) -> Self {
        let own = (limit / OWN_DIVISOR).clamp(OWN_MIN, OWN_MAX);
        let commands = (limit.saturating_sub(own) / COMMANDS_DIVISOR).max(MIN_COMMANDS);
        let max_incoming = limit.saturating_sub(own + commands).max(MIN_INCOMING);
        Self {
            incoming: Arc::new(Semaphore::new(max_incoming)),
            max_incoming,
            commands: Arc::new(Semaphore::new(commands)),
        }
    }

    /// Waits for a socket for another incoming connection.
    pub async fn acquire_incoming_socket(&self) -> OwnedSemaphorePermit {
        acquire(&self.incoming).await
    }

    /// Waits for a socket for another command.
    pub async fn acquire_command_socket(&self) -> OwnedSemaphorePermit {
        acquire(&self.commands).await
    }

    /// Commands that could be sent now without a wait for a socket.
    pub fn available_command_sockets(&self) -> usize {
        self.commands.available_permits()
    }

    /// Most incoming connections at once, and so most requests in progress.
    pub fn max_incoming(&self) -> usize {
        self.max_incoming
    }

    /// Whether more than half of the incoming share is taken. Workers are then asked to
    /// close their connection after each heartbeat, so that all are served in turn.
    pub fn is_incoming_over_half_used(&self) -> bool {
        self.incoming.available_permits() * 2 < self.max_incoming
    }
}
