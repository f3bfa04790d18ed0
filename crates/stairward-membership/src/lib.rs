//! Membership view, failure detection, rendezvous ownership and dissemination.

#![forbid(unsafe_code)]

pub mod configuration;
