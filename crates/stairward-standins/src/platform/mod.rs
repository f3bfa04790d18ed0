//! The platform's store and list of machines.
//!
//! [`ObjectStore`] is a state machine on virtual time: versioned objects, conditional writes,
//! watches, a limit on readers, and faults. [`PlatformStandin`] serves it over HTTP:
//!
//! | Request | Answer |
//! |---|---|
//! | `GET /objects` | 200 and the names with their versions |
//! | `GET /objects/NAME` | 200 `{"version":N,"value":...}`, or 404 |
//! | `GET /objects/NAME?watch_after=V&timeout_ms=T` | 200 once the version is above V, 204 after T |
//! | `PUT /objects/NAME?if_version=N` | 200 `{"version":N}`, or 409 with the version in force |
//! | `GET /machines`, `PUT /machines` | 200 and the list, which shows a change only after a lag |
//!
//! 429 with `Retry-After` refuses a reader too many, 503 says that the store is down.

mod event;
mod http;
mod machine;
mod request;
mod respond;
mod server;
mod sever;
mod store;
mod watches;

pub use event::{ObjectAnswer, ObjectSummary, StoreEffect, StoreEvent, StoreFault, StoreRequest};
pub use machine::{Machine, MachineState};
pub use server::{PlatformStandin, PlatformStandinConfig, PlatformStartError};
pub use store::{ObjectStore, StoreConfig};
