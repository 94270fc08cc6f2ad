//! Dependencies between jobs: the dependency graph compared with a plain model of it, and its
//! effects in the cluster model on placement, starts, ranks, quotas, rentals and the status that
//! users are told.

mod cancellation;
mod fixtures;
mod graph;
mod plain_model;
mod readiness;
mod size;
#[path = "../support/mod.rs"]
mod support;
mod work;
