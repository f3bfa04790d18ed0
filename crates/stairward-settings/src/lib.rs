//! Process file and settings tree: schema, inheritance, validation, edits.
//!
//! There are two kinds of settings. The *process file* configures one process: its addresses, its
//! region and zone, its keys. The *settings tree* is shared by the fleet: root, regions, services,
//! groups and back ends, each level inheriting from the one above. [`ResolvedSettings`] is the tree
//! with inheritance applied, as the data path uses it. [`SettingsDocument`] is the tree with its
//! revision and recent edits, as persisted in the platform's store.

#![forbid(unsafe_code)]

mod check;
mod document;
mod edit;
mod path;
mod problem;
pub mod process;
mod resolved;
mod schema;
mod toml_text;
pub mod tree;
mod update;
mod value;
mod value_kind;

pub use check::{CheckReport, FileKind, check_file, check_text};
pub use document::{
    InvalidDocument, MAXIMUM_HISTORY_CHANGES, MAXIMUM_HISTORY_EDITS, SETTINGS_OBJECT,
    SettingsDocument,
};
pub use edit::{AmbiguousChange, AppliedEdit, Change, Edit, EditError, MAXIMUM_CHANGES};
pub use path::{InvalidPath, Level, SettingsPath};
pub use problem::{ProblemKind, SettingsProblem};
pub use process::ProcessSettings;
pub use resolved::{BackendSettings, GroupSettings, ResolvedSettings, ServiceSettings};
pub use schema::{DefaultValue, OptionSchema, SettingsOption, Unit, UnknownOption};
pub use tree::{ExplainedValue, Origin, SettingsTree};
pub use update::{MAXIMUM_UPDATE_BYTES, SettingsUpdate, UpdateError};
pub use value::Value;
pub use value_kind::{MAXIMUM_TEXT_BYTES, ValueKind};
