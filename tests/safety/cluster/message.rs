//! What is in transit between the leader, its state service and the workers.

use std::time::Instant;

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;

/// A message in transit. `term` is that of the leader that sent it or waits for it.
#[derive(Debug, Clone)]
pub enum Message {
    Command {
        to: MachineId,
        commands: CommandBatch,
        term: u64,
    },
    /// The response to a command; without a heartbeat it failed or was given up.
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
        /// When its heartbeat was sent.
        heartbeat_sent: Instant,
    },
    Write {
        write: PendingWrite,
        term: u64,
    },
    WriteResponse {
        write: PendingWrite,
        ok: bool,
        term: u64,
    },
    /// A cancellation that is to be stored.
    StoreCancellation {
        id: JobId,
        term: u64,
    },
    CancellationStored {
        id: JobId,
        term: u64,
    },
}
