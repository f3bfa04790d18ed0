//! Tables, rows and the changes a transaction makes to them.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{SqlError, Value, ValueType};

/// The values of a row, in the order of the table's columns.
pub type Row = Arc<[Value]>;

/// The primary key of a row; a hidden row number in a table that has none.
pub type Key = Vec<Value>;

/// All tables, by name. Tables are shared between snapshots and copied when changed.
pub type Tables = BTreeMap<Arc<str>, Arc<Table>>;

/// A column of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColumnDefinition {
    /// Its name.
    pub name: String,
    /// Its type.
    pub value_type: ValueType,
    /// Whether NULL is refused.
    pub not_null: bool,
    /// The value of rows that name none.
    pub default: Value,
}

/// A table: its shape and its rows by primary key.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// The columns in order.
    pub columns: Arc<Vec<ColumnDefinition>>,
    /// Places of the primary key's columns; empty when the table has no primary key.
    pub primary_key: Vec<usize>,
    /// The rows by key.
    pub rows: BTreeMap<Key, Row>,
}

impl Table {
    /// The place of a column.
    ///
    /// # Errors
    /// [`SqlError::UndefinedColumn`] when there is none of this name.
    pub fn column(&self, name: &str) -> Result<usize, SqlError> {
        self.columns
            .iter()
            .position(|column| column.name == name)
            .ok_or_else(|| SqlError::UndefinedColumn {
                name: name.to_owned(),
            })
    }

    /// The key of a row; `None` when the table has no primary key.
    #[must_use]
    pub fn key_of(&self, row: &[Value]) -> Option<Key> {
        if self.primary_key.is_empty() {
            return None;
        }
        let key = self.primary_key.iter().map(|place| row[*place].clone());
        Some(key.collect())
    }
}

/// What one transaction did to one table or row, with what was there before, so that a log's tail
/// can be undone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A table was created.
    CreateTable {
        /// Its name.
        name: Arc<str>,
        /// Its shape, without rows.
        table: Arc<Table>,
    },
    /// A row was inserted, updated or deleted.
    Row {
        /// The table's name.
        table: Arc<str>,
        /// The row's key.
        key: Key,
        /// The row before; `None` when it was inserted.
        before: Option<Row>,
        /// The row after; `None` when it was deleted.
        after: Option<Row>,
    },
}

impl Change {
    /// Makes the change.
    pub fn apply(&self, tables: &mut Tables) {
        match self {
            Self::CreateTable { name, table } => {
                tables.insert(Arc::clone(name), Arc::clone(table));
            }
            Self::Row {
                table, key, after, ..
            } => set_row(tables, table, key, after.as_ref()),
        }
    }

    /// Takes the change back.
    pub fn undo(&self, tables: &mut Tables) {
        match self {
            Self::CreateTable { name, .. } => {
                tables.remove(name);
            }
            Self::Row {
                table, key, before, ..
            } => set_row(tables, table, key, before.as_ref()),
        }
    }
}

fn set_row(tables: &mut Tables, name: &str, key: &Key, row: Option<&Row>) {
    let Some(table) = tables.get_mut(name) else {
        return;
    };
    let rows = &mut Arc::make_mut(table).rows;
    match row {
        Some(row) => rows.insert(key.clone(), Arc::clone(row)),
        None => rows.remove(key),
    };
}

/// What a transaction locks until it ends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum LockKey {
    /// The name of a table being created.
    Table(Arc<str>),
    /// A row, which need not exist yet.
    Row(Arc<str>, Key),
}
