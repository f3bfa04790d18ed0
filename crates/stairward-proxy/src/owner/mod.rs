//! The owner side of a node: holds all connections to the back ends it owns and runs the statements
//! that edges send.
//!
//! [`OwnerService`] follows the cluster state and keeps a `Backend` for each back end and role it
//! serves. A `Backend` drives the pure [`stairward_pool::BackendPool`], [`stairward_pool::Lease`]
//! and [`stairward_pool::AcknowledgementFence`] with sockets and the clock. Each stream is a task
//! that takes a connection from its `Backend`.

mod admission;
mod backend;
mod batch;
mod connection;
mod context;
mod control;
mod error;
mod fence;
mod lease_lock;
mod ledger;
mod login;
mod relay;
mod report;
mod response_buffer;
mod service;
mod status;
mod stream;
mod term_search;
mod wire;

pub use context::OwnerSettings;
pub use error::BackendError;
pub use report::{BackendReport, OwnerStatus};
pub use service::OwnerService;
pub use status::BackendStatus;
