//! State that outlives a leader: records in the state service and the write-ahead log.
//!
//! - [`record`]: keys and values of jobs, final states and the election.
//! - [`wal`]: the log of machines, starts and done tasks; only the model pushes to it.
//! - [`atomic_write`]: changes that are made together or not at all.
//! - [`job_index`]: which stored jobs depend on which, for responses without the model.
//! - [`pending_writes`]: which writes of the model are due.
//!
//! These modules do no I/O: the leader sends the writes.

pub mod atomic_write;
pub mod job_index;
pub mod pending_writes;
pub mod record;
pub mod wal;
