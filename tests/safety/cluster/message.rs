//! What is on its way between the leader, its state service and the workers.

use std::time::Instant;

use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;

#[derive(Debug, Clone)]
pub enum Message {
    Command {
        to: MachineId,
        commands: CommandBatch,
        term: u64,
    },
    Answer {
        from: MachineId,
        report: Option<Heartbeat>,
        term: u64,
    },
    /// A report and when it was sent.
    Heartbeat(Heartbeat, Instant),
    PendingWrite {
        write: PendingWrite,
        term: u64,
    },
    Wrote {
        write: PendingWrite,
        ok: bool,
        term: u64,
    },
    /// A cancellation on its way to be stored.
    Cancel {
        id: JobId,
        term: u64,
    },
    /// The answer that it is.
    CancelStored {
        id: JobId,
        term: u64,
    },
    /// The response to a report, with its token and orders.
    ApiResponse {
        to: MachineId,
        incarnation: u64,
        token: u64,
        orders: Vec<Command>,
        /// When its report was sent.
        sent: Instant,
    },
}
