//! Messages between the leader, the state service and the workers.

use std::time::Instant;

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;

/// A message in flight. `term` is that of the leader that sent it or waits for it.
#[derive(Debug, Clone)]
pub enum Message {
    Command {
        to: MachineId,
        commands: CommandBatch,
        term: u64,
    },
    /// The end of a command: answered by a heartbeat, or failed or given up (`None`).
    CommandResponse {
        from: MachineId,
        heartbeat: Option<Heartbeat>,
        term: u64,
    },
    Heartbeat {
        heartbeat: Heartbeat,
        sent: Instant,
    },
    HeartbeatResponse {
        to: MachineId,
        incarnation: u64,
        response: HeartbeatResponse,
        /// When the heartbeat was sent that it responds to.
        heartbeat_sent: Instant,
    },
    Write {
        write: PendingWrite,
        term: u64,
    },
    WriteResponse {
        write: PendingWrite,
        stored: bool,
        term: u64,
    },
    /// Asks the state service to store a cancellation.
    StoreCancellation {
        id: JobId,
        term: u64,
    },
    CancellationStored {
        id: JobId,
        term: u64,
    },
}
