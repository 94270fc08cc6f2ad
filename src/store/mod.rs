//! Client of the state service, a replicated key-value store with transactions,
//! leases and watches.
//!
//! * [`Store`] (`client`) is the client; `reads`, `transactions` and `leases` hold
//!   its requests. Every request but the renewal and the revocation of a lease waits
//!   for this controller's share of the service's limits ([`rate_limiter`]).
//! * [`error`] says which request failed, how, and whether it may have been executed.
//! * [`writer`] is the group commit of one leader term. Only the leader of that term
//!   writes through it.

mod client;
pub mod error;
mod leases;
pub mod rate_limiter;
mod reads;
mod transactions;
pub mod writer;

pub use client::Store;
pub use error::StoreError;
pub use reads::{parse_value, KeyRead, Listing};
