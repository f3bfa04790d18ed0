//! The owner side of a node: holds all connections of the back ends it owns and runs on them what
//! edges ask for.

mod backend;
mod connection;
mod error;
mod login;
mod service;
mod status;
mod stream;
mod wire;

pub use error::BackendError;
pub use service::{BackendReport, OwnerService, OwnerSettings, OwnerStatus};
pub use status::BackendStatus;
