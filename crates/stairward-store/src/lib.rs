//! Client of the platform's object store: versioned objects, conditional writes, watches, and the
//! list of machines.

#![forbid(unsafe_code)]

mod client;
mod edit;
mod error;
mod retry;
mod transport;

pub use client::{Machine, MachineState, PlatformClient, PlatformClientSettings, VersionedObject};
pub use edit::{EditFailure, EditOutcome, create_settings, edit_settings, read_settings};
pub use error::{ReadError, WriteError};
pub use retry::{JitterSource, RetryPolicy};
