//! Client of the state service, a replicated key-value store with transactions,
//! leases and watches.
//!
//! * [`Store`] (`client`) is the client; `reads`, `transactions` and `leases` hold
//!   its requests. Every request except the renewal and the revocation of a lease waits
//!   until this controller's share of the service's rate limits allows it
//!   ([`rate_limiter`]).
//! * [`error`] says which request failed, how, and whether it may have been executed.
//! * [`writer`] is the group commit of one term, used by the leader only.

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
