//! A small subset of PostgreSQL's SQL over in-memory tables.
//!
//! Everything here is pure: statements are parsed by `sqlparser` and run against a [`View`] of the
//! tables; whatever depends on the server (settings, locks, positions) is asked of an
//! [`Environment`].

mod aggregate;
mod answer;
mod describe;
mod environment;
mod error;
mod expression;
mod expression_type;
mod insert;
mod modify;
mod names;
mod operators;
mod schema;
mod select;
mod source;
mod statement;
mod table;
mod value;
mod view;

pub use answer::{Answer, Column, Description};
pub use describe::describe;
pub use environment::{Environment, Relation, StatementContext};
pub use error::SqlError;
pub use expression::{Scope, evaluate};
pub use insert::insert;
pub use modify::{Modified, delete, update};
pub use names::{identifier, object_name, relation_name};
pub use schema::create_table;
pub use select::{Selection, select};
pub use statement::Statement;
pub use table::{Change, ColumnDefinition, Key, LockKey, Row, Table, Tables};
pub use value::{Value, ValueType};
pub use view::{Modification, Overlay, View};

/// Most rows that one statement may produce.
pub const MAXIMUM_RESULT_ROWS: usize = 1_000_000;
