//! Simulates the membership of a whole fleet: the real state machine of every node, exact sizes of
//! the encoded datagrams, and a network on a virtual clock.

pub mod command;
mod fault;
mod fleet;
mod observation;
mod report;
pub mod terms;

pub use fault::{Fault, FaultError};
pub use fleet::{Fleet, FleetOptions};
pub use report::{MembershipReport, Percentiles, simulate};
