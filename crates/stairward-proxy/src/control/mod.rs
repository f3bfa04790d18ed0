//! What a node does besides serving requests: membership and configuration.

pub mod configuration;
pub mod membership;
