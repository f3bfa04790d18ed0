//! The lab: emulates the sites' load, runs experiments and simulations, and writes reports.

#![forbid(unsafe_code)]

pub mod command;
pub mod load;
pub mod membership;
pub mod output;
pub mod provenance;
pub mod simulated_network;
pub mod site;
