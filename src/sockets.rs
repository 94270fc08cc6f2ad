//! Divides the sockets that the process may open into shares, one for each use.
//!
//! No use can exhaust the sockets of another. Without the shares, a process at the limit
//! of the operating system could no longer connect to the state service, and a leader's
//! term would end.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The smallest limit on sockets that leaves enough for every share.
pub const MIN_SOCKETS: usize = 64;

/// The limit divided by this is reserved for the state service, the cloud, the other
/// controllers and the listeners.
const RESERVED_DIVISOR: usize = 16;
/// Bounds of the reserved share, in sockets.
const MIN_RESERVED: usize = 24;
const MAX_RESERVED: usize = 256;
/// The sockets that are not reserved, divided by this, form the share for commands.
const COMMANDS_DIVISOR: usize = 4;
/// Minimum number of sockets for commands, however low the limit is.
const MIN_COMMANDS: usize = 4;
/// Minimum number of sockets for incoming connections, however low the limit is.
const MIN_INCOMING: usize = 8;

async fn acquire(share: &Arc<Semaphore>) -> OwnedSemaphorePermit {
    let permit = share.clone().acquire_owned().await;
    permit.expect("the semaphore of a share is never closed")
}

/// The shares for incoming connections and for commands. A permit stands for one socket
/// of a share and frees it when dropped.
#[derive(Debug)]
pub struct SocketBudget {
    /// Connections from users, workers and health checks.
    incoming: Arc<Semaphore>,
    /// Size of the share for incoming connections.
    max_incoming: usize,
    /// Connections to workers that commands are sent on.
    commands: Arc<Semaphore>,
}

impl SocketBudget {
    /// Divides a limit of `limit` sockets into shares.
    pub fn new(limit: usize) -> Self {
        let reserved = (limit / RESERVED_DIVISOR).clamp(MIN_RESERVED, MAX_RESERVED);
        let commands = (limit.saturating_sub(reserved) / COMMANDS_DIVISOR).max(MIN_COMMANDS);
        let max_incoming = limit.saturating_sub(reserved + commands).max(MIN_INCOMING);
        Self {
            incoming: Arc::new(Semaphore::new(max_incoming)),
            max_incoming,
            commands: Arc::new(Semaphore::new(commands)),
        }
    }

    /// Waits until a socket is free for another incoming connection.
    pub async fn acquire_incoming_socket(&self) -> OwnedSemaphorePermit {
        acquire(&self.incoming).await
    }

    /// Waits until a socket is free for another command.
    pub async fn acquire_command_socket(&self) -> OwnedSemaphorePermit {
        acquire(&self.commands).await
    }

    /// Number of commands that could be sent now without waiting for a socket.
    pub fn available_command_sockets(&self) -> usize {
        self.commands.available_permits()
    }

    /// Maximum number of incoming connections, and so of requests in progress, at once.
    pub fn max_incoming(&self) -> usize {
        self.max_incoming
    }

    /// Whether more than half of the sockets for incoming connections are in use. Each
    /// response to a heartbeat then closes its connection, so that all workers are served
    /// in turn.
    pub fn is_incoming_over_half_used(&self) -> bool {
        self.incoming.available_permits() * 2 < self.max_incoming
    }
}
