//! The dependency graph: which unfinished jobs wait for which other jobs.
//!
//! A job names the jobs that must be done before any of its tasks may start.
//! Only two facts change the graph: that a named job's `done` is stored, and that
//! its cancellation is stored, which cancels every job that depends on it. A named
//! job that is not known to be unfinished is *unresolved* until the state service
//! has been read: nothing that depends on it starts, and the status of those jobs
//! is not served from memory.
//!
//! - `graph` holds the nodes and edges, and answers which jobs are ready.
//! - `cancellation` passes a cancellation on to all dependents.
//! - `urgency` passes priorities and due times on to the jobs that others need.
//!
//! The graph belongs to the [`ClusterModel`](crate::core::ClusterModel) of one term,
//! which alone reports events to it. The work of a change is proportional to the
//! edges that it affects, and no walk recurses, so chains may be of any length.

mod cancellation;
mod graph;
mod urgency;

pub use graph::{Dependencies, DependencyOutcome, DependentJob};
pub use urgency::Urgency;
