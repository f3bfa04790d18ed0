//! What a node does besides serving requests: membership and configuration.

pub mod membership;
