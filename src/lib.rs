//! bitternfold: a highly available cluster scheduler.
//!
//! Several controllers run this program. One of them is elected leader for a term and
//! decides; the others forward users' requests and workers' heartbeats to it.
//!
//! From the inside to the outside:
//!
//! * [`core`] decides: the state machine of jobs, tasks and machines. It is pure, without
//!   I/O, and uses none of the modules below but [`settings`] and [`wire`].
//! * [`leader`] owns the election, the leader's lease and what runs during one term.
//! * [`controller`] is the process: the role that it has now, and how it serves requests
//!   in that role.
//! * [`api`] serves users, workers and health checks; [`peer`] joins the controllers.
//! * [`store`], `cloud` and `worker` are the clients of the state service, the cloud and
//!   the workers, over [`http`].
//! * [`wire`] holds the JSON bodies of these protocols, [`settings`] the settings files.
//! * [`sockets`] shares out the sockets of the process, [`stall`] detects that it is
//!   overloaded, [`clock`] that it was paused.

#![deny(missing_docs)]

pub mod api;
pub mod clock;
pub(crate) mod cloud;
pub mod controller;
pub mod core;
pub mod http;
pub mod leader;
pub mod peer;
pub mod response;
pub mod settings;
pub mod sockets;
pub mod stall;
pub mod store;
pub mod wire;
pub(crate) mod worker;
