//! Simulates the spreading of settings through a whole fleet on a virtual clock.
//!
//! Every node runs the real spreader. Messages have the sizes they have on the wire, with real edits
//! of a settings tree of 3,300 back ends. Membership is not simulated: each node's view changes a
//! detection time after a node has come or gone. Bandwidth is not limited.

pub mod command;
mod fault;
mod fleet;
mod library;
mod node;
mod observation;
mod operator;
mod report;
mod schedule;
mod store;
mod traffic;
mod tree;

pub use fault::{Fault, InvalidFault};
pub use fleet::{Fleet, FleetOptions, NodeVariant};
pub use report::{ConfigurationReport, Percentiles, RunOptions, simulate};
