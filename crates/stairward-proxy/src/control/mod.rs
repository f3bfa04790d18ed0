//! A node's background tasks: membership and configuration.

pub mod configuration;
pub mod membership;
