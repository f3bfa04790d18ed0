//! The lab: emulates the sites' load, runs experiments and simulations, and writes reports.

#![forbid(unsafe_code)]

pub mod capacity;
pub mod command;
pub mod compare;
pub mod configuration;
pub mod demo;
pub mod experiment;
pub mod fit;
pub mod hollow;
pub mod load;
pub mod membership;
pub mod output;
pub mod ownership;
pub mod process;
pub mod provenance;
pub mod report;
pub mod simulate;
pub mod simulated_network;
pub mod site;
