//! Simulates the ownership of back ends by a fleet: the real lease and the real ranking, over back
//! ends that keep locks and count connections, on a virtual clock.

mod agenda;
mod backend;
mod backend_side;
mod claim;
pub mod command;
mod event;
mod fault;
mod fleet;
mod node_side;
mod plan;
mod report;
mod service_watch;
mod views;

pub use fault::Fault;
pub use report::{OwnershipOptions, OwnershipReport, OwnershipWeakness, simulate};
