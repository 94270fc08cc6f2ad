//! The HTTP/1.1 endpoints for users, workers and health checks.
//!
//! * `connections` accepts connections within the budget of sockets, and closes those
//!   that are idle or take too long ([`ConnectionTimeouts`]).
//! * `routes` has a function for each endpoint, which calls the
//!   [`Controller`](crate::controller::Controller) for the response.
//! * `responses` converts the responses to HTTP.

mod connections;
mod responses;
mod routes;

pub use connections::{serve, ConnectionTimeouts};
pub use routes::routes;
