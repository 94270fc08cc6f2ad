//! bitternfold: a highly available cluster scheduler.
//!
//! Several controllers run this program. One of them is elected leader for a term and
//! makes the decisions; the others are followers, which forward users' requests and
//! workers' heartbeats to it.
//!
//! The modules, from the inside to the outside:
//!
//! * [`core`] makes the decisions: it is the state machine of jobs, tasks and machines. It
//!   does no I/O, and of the modules below it uses only [`settings`] and [`wire`].
//! * [`leader`] holds the election, the leader's lease and the leader's work in a term.
//! * [`controller`] is the state of the process: its current role, and how it serves
//!   requests in that role.
//! * [`api`] serves users, workers and health checks; [`peer`] connects the controllers.
//! * [`store`], `cloud` and `worker` are the clients of the state service, the cloud and
//!   the workers, over [`http`].
//! * [`wire`] holds the JSON bodies of these protocols, [`settings`] reads the settings
//!   files.
//! * [`sockets`] divides the sockets that the process may have open among their uses;
//!   [`stall`] detects that the process was paused or is overloaded, [`clock`] reads its
//!   clocks.

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
