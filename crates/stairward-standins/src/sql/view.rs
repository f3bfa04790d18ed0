//! The tables as one transaction sees them: a committed state under its own changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Change, Key, LockKey, Row, SqlError, Table, Tables};

/// Uncommitted changes of one transaction.
#[derive(Debug, Clone, Default)]
pub struct Overlay {
    created: BTreeMap<Arc<str>, Arc<Table>>,
    rows: BTreeMap<Arc<str>, BTreeMap<Key, Option<Row>>>,
}

impl Overlay {
    /// Whether nothing was changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.created.is_empty() && self.rows.is_empty()
    }

    /// Records a new table.
    pub fn create_table(&mut self, name: Arc<str>, table: Table) {
        self.created.insert(name, Arc::new(table));
    }

    /// Records a row's new content; `None` deletes it.
    pub fn set(&mut self, table: &Arc<str>, key: Key, row: Option<Row>) {
        let rows = self.rows.entry(Arc::clone(table)).or_default();
        rows.insert(key, row);
    }

    /// The changes relative to the committed tables, in the order in which to apply them.
    #[must_use]
    pub fn changes(&self, committed: &Tables) -> Vec<Change> {
        let created = self
            .created
            .iter()
            .map(|(name, table)| Change::CreateTable {
                name: Arc::clone(name),
                table: Arc::clone(table),
            });
        let rows = self.rows.iter().flat_map(|(table, rows)| {
            let old = committed.get(table);
            rows.iter().filter_map(move |(key, after)| {
                let before = old.and_then(|old| old.rows.get(key)).cloned();
                (before.is_some() || after.is_some()).then(|| Change::Row {
                    table: Arc::clone(table),
                    key: key.clone(),
                    before,
                    after: after.clone(),
                })
            })
        });
        created.chain(rows).collect()
    }
}

/// The tables that a statement sees.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The committed state underneath: the newest one, or the transaction's snapshot.
    pub base: &'a Tables,
    /// The transaction's own changes.
    pub overlay: &'a Overlay,
}

impl<'a> View<'a> {
    /// A table's name and shape. Its rows are to be read through [`View::scan`] and [`View::get`].
    ///
    /// # Errors
    /// [`SqlError::UndefinedTable`] when there is none of this name.
    pub fn table(&self, name: &str) -> Result<(Arc<str>, &'a Table), SqlError> {
        let found = self.overlay.created.get_key_value(name);
        found
            .or_else(|| self.base.get_key_value(name))
            .map(|(name, table)| (Arc::clone(name), table.as_ref()))
            .ok_or_else(|| SqlError::UndefinedTable {
                name: name.to_owned(),
            })
    }

    /// One row by its key.
    #[must_use]
    pub fn get(&self, table: &str, key: &Key) -> Option<Row> {
        let changed = self.overlay.rows.get(table).and_then(|rows| rows.get(key));
        match changed {
            Some(row) => row.clone(),
            None => self.base.get(table)?.rows.get(key).cloned(),
        }
    }

    /// The greatest key in a table.
    #[must_use]
    pub fn last_key(&self, table: &str) -> Option<Key> {
        let committed = self.base.get(table);
        let committed = committed.and_then(|table| table.rows.last_key_value());
        let changed = self.overlay.rows.get(table);
        let changed = changed.and_then(|rows| rows.last_key_value());
        let committed = committed.map(|(key, _)| key);
        let changed = changed.map(|(key, _)| key);
        committed.max(changed).cloned()
    }

    /// All rows of a table in the order of their keys.
    #[must_use]
    pub fn scan(&self, table: &str) -> Vec<(Key, Row)> {
        let committed = self.base.get(table).map(|table| &table.rows);
        let Some(changed) = self.overlay.rows.get(table) else {
            let rows = committed.into_iter().flatten();
            return rows
                .map(|(key, row)| (key.clone(), Arc::clone(row)))
                .collect();
        };
        let mut merged: BTreeMap<&Key, &Row> = committed.into_iter().flatten().collect();
        for (key, row) in changed {
            match row {
                Some(row) => merged.insert(key, row),
                None => merged.remove(key),
            };
        }
        let rows = merged.into_iter();
        rows.map(|(key, row)| (key.clone(), Arc::clone(row)))
            .collect()
    }
}

/// The changes of one statement: rows to lock first, then what to record in the overlay.
#[derive(Debug, Clone, Default)]
pub struct Modification {
    /// Locks the statement needs before its changes may be recorded.
    pub locks: Vec<LockKey>,
    /// A table to create.
    pub created: Option<(Arc<str>, Table)>,
    /// New content of rows; `None` deletes.
    pub rows: Vec<(Arc<str>, Key, Option<Row>)>,
}
