//! The admin interface: health, metrics, status, and reading and editing the settings, over HTTP.
//!
//! | Request | Response |
//! |---|---|
//! | `GET /health` | 200 while the process runs |
//! | `GET /ready` | 200 when clients are served, else 503 with the reason |
//! | `GET /metrics` | Prometheus text |
//! | `GET /status` | [`status::NodeStatus`] |
//! | `GET /settings` | the tree, or with `?path=PLACE` the options of one place and the origin of each value |
//! | `GET /settings/history` | the latest edits |
//! | `POST /settings/edits` | submits an edit |
//! | `GET /backends` | all back ends with their group, location, state and owner |
//! | `POST /backends/NAME` | marks a back end as joining, active or leaving |
//!
//! Bodies are JSON; an error response is an [`error::ErrorBody`] with a numbered result code.
//! Loopback clients need no token; all others need a bearer token.

mod authorization;
pub mod backends;
mod connection;
mod context;
mod edits;
pub mod error;
mod routes;
mod server;
mod settings;
pub mod status;

pub use authorization::AdminToken;
pub use server::{AdminOptions, AdminService};
pub use status::{BackendActivity, NodeActivity, StatusSource};
