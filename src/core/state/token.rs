//! Fencing tokens, by which workers refuse outdated commands.
//!
//! A token has the leader's term in the high bits and a counter for the machine in the
//! low [`TOKEN_BITS`]. Attempt numbers have the same form, with one counter for the term.

/// Number of bits of a token below the term.
pub(in crate::core) const TOKEN_BITS: u32 = 20;

/// The lowest possible token of a term; those issued are higher.
pub(in crate::core) fn first_of_term(term: u64) -> u64 {
    term << TOKEN_BITS
}

/// The term that a token belongs to.
pub(in crate::core) fn term_of(token: u64) -> u64 {
    token >> TOKEN_BITS
}
