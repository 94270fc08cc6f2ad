//! Fencing tokens of workers.
//!
//! A token is the leader's term in the high bits and a counter of the worker in
//! the low [`TOKEN_BITS`]. Attempt numbers have the same form.

/// Bits of a token below the term.
pub(in crate::core) const TOKEN_BITS: u32 = 20;

/// The smallest token of a term.
pub(in crate::core) fn first_of_term(term: u64) -> u64 {
    term << TOKEN_BITS
}

/// The term that a token belongs to.
pub(in crate::core) fn term_of(token: u64) -> u64 {
    token >> TOKEN_BITS
}
