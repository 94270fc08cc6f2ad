//! What survives a leader: records in the state service and the write-ahead log.

pub mod atomic_write;
pub mod pending_writes;
pub mod record;
pub mod wal;
