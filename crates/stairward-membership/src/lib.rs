//! Membership view, failure detection, rendezvous ownership and dissemination.
//!
//! Pure: time, randomness and what arrives are passed in, and what to do is returned.

#![forbid(unsafe_code)]

pub mod configuration;
mod ownership;

pub use ownership::{Candidate, Ranking, rank_owners};
