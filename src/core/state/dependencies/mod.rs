//! The dependency graph: which unfinished jobs wait for which other jobs.
//!
//! A job names its dependencies: the jobs that must be done before any of its tasks may
//! start. A dependency is resolved in one of two ways: its final state `done` is stored,
//! or its cancellation is stored, which cancels every job that depends on it. A
//! dependency that is not known to be unfinished is *unresolved* until its outcome has
//! been read from the state service: until then no job that depends on it starts, and the
//! status of those jobs is not served from memory.
//!
//! - `graph` holds the nodes and edges, and tells which jobs are ready.
//! - `cancellation` passes cancellations on to all dependents.
//! - `urgency` passes priorities and due times on to dependencies.
//! - `order` keeps a topological order, in which traversals visit jobs.
//!
//! The graph belongs to the [`ClusterModel`](crate::core::ClusterModel) of one term,
//! which alone reports events to it. A traversal visits each job that a change affects
//! once, whatever the number of paths to it, so its cost is proportional to the edges of
//! these jobs. No traversal is recursive, so chains may be of any length.

mod cancellation;
mod graph;
mod order;
mod urgency;

pub use graph::{Dependencies, DependencyOutcome, DependentJob};
pub use order::ranks_dependents_first;
pub use urgency::Urgency;
