//! The dependency graph against a plain model of it, and what the cluster model
//! makes of it: what is placed, started, ranked and counted, and which status
//! clients are given.

mod cancellation;
mod fixtures;
mod graph;
mod plain_model;
mod readiness;
mod size;
#[path = "../support/mod.rs"]
mod support;
