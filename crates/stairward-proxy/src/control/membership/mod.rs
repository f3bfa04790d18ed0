//! Drives the membership protocol over a UDP socket and keeps the cluster's view.

mod ownership;

pub use ownership::rendezvous_rule;
