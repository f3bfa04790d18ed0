//! Process file and settings tree: schema, inheritance, validation, edits.
//!
//! Two kinds of settings exist. The *process file* tells one process its own addresses and place.
//! The *settings tree* is shared by the fleet: root, regions, services and groups, each level
//! inheriting from the one above. [`ResolvedSettings`] is the tree with inheritance applied, which
//! is all the other crates see.

#![forbid(unsafe_code)]

mod resolved;

pub use resolved::{BackendSettings, GroupSettings, ResolvedSettings, ServiceSettings};
