//! bitternfold: a highly available cluster scheduler.
//!
//! The parts, each owning one thing: [`settings`] reads what the platform and
//! the operators say, [`wire`] holds the JSON bodies of the four protocols,
//! [`store`], [`cloud`] and [`worker`] talk to the outside, [`leader`] owns
//! the election and the right to act, [`core`] decides (pure, no I/O),
//! [`controller`] finds what is stored of jobs, [`api`] serves users and workers, [`peer`] joins the controllers, [`sockets`]
//! shares out the sockets.

#![deny(missing_docs)]

pub mod api;
pub mod clock;
pub mod cloud;
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
pub mod worker;
