//! Statements on data: what they see, lock and change.

use std::sync::Arc;

use sqlparser::ast::{CreateTable, Statement as Tree};

use crate::ConnectionNumber;
use crate::sql::{
    Answer, LockKey, Modification, Modified, Selection, SqlError, StatementContext, Tables, View,
    create_table, delete, insert, object_name, select, update,
};

use super::connection::{Current, Isolation};
use super::execution::{Applied, Outcome};
use super::member::{Context, Member};

impl Member {
    fn check_writable(
        &self,
        number: ConnectionNumber,
        command: &'static str,
    ) -> Result<(), SqlError> {
        let open = self.transaction(number);
        let read_only = open.is_some_and(|open| open.read_only);
        if !self.leads() || read_only {
            return Err(SqlError::ReadOnly { command });
        }
        let has_written = open.is_some_and(|open| open.explicit || !open.overlay.is_empty());
        if self.switching_over() && !has_written {
            return Err(SqlError::SwitchoverUnderWay);
        }
        Ok(())
    }

    /// Works out what a query or a statement that changes rows does.
    pub fn data_statement(
        &mut self,
        number: ConnectionNumber,
        current: &Current,
        tree: &Tree,
        context: &mut Context<'_>,
    ) -> Result<Outcome, SqlError> {
        if let Some(command) = write_command(tree) {
            self.check_writable(number, command)?;
        }
        let base = self.statement_base(number);
        let overlay = self.overlay(number);
        let view = View {
            base: &base,
            overlay: &overlay,
        };
        let mut environment = self.environment(number, context.now);
        let mut statement = StatementContext {
            view,
            parameters: &current.parameters,
            environment: &mut environment,
        };
        let outcome = match tree {
            Tree::Query(query) => {
                let Selection { answer, locks } = select(query, &mut statement)?;
                let modification = Modification {
                    locks,
                    ..Modification::default()
                };
                Outcome::Modified(Modified::new(modification, answer))
            }
            Tree::Insert(change) => Outcome::Modified(insert(change, &mut statement)?),
            Tree::Update(change) => Outcome::Modified(update(change, &mut statement)?),
            Tree::Delete(change) => Outcome::Modified(delete(change, &mut statement)?),
            _ => Outcome::command(""),
        };
        let side_effects = environment.into_side_effects();
        self.carry_out(number, side_effects, context)?;
        Ok(outcome)
    }

    /// The committed tables that a statement sees; fixes the snapshot with the first statement.
    pub fn statement_base(&mut self, number: ConnectionNumber) -> Tables {
        let tables = self.store.tables.clone();
        match self.transaction_mut(number) {
            Some(open) if open.isolation == Isolation::Snapshot => {
                open.snapshot.get_or_insert(tables).clone()
            }
            _ => tables,
        }
    }

    /// Locks the rows of a modification and records its changes, unless another transaction holds
    /// one of the locks.
    pub fn modify(
        &mut self,
        number: ConnectionNumber,
        modified: Modified,
    ) -> Result<Applied, SqlError> {
        let Modification {
            locks,
            created,
            rows,
        } = modified.modification;
        if let Some(holder) = self.locks.conflict(&locks, number) {
            return Ok(Applied::Blocked(holder));
        }
        self.check_serializable(number, &locks)?;
        let answer = modified.answer?;
        self.locks.take(locks, number);
        if let Some(open) = self.transaction_mut(number) {
            if let Some((name, table)) = created {
                open.overlay.create_table(name, table);
            }
            for (table, key, row) in rows {
                open.overlay.set(&table, key, row);
            }
        }
        Ok(Applied::Answered(answer))
    }

    /// With snapshot isolation, refuses to change a row that another transaction has changed since
    /// the snapshot.
    fn check_serializable(
        &self,
        number: ConnectionNumber,
        locks: &[LockKey],
    ) -> Result<(), SqlError> {
        let open = self.transaction(number);
        let Some(snapshot) = open.and_then(|open| open.snapshot.as_ref()) else {
            return Ok(());
        };
        for lock in locks {
            let LockKey::Row(table, key) = lock else {
                continue;
            };
            let row = |tables: &Tables| tables.get(table)?.rows.get(key).cloned();
            let unchanged = match (row(snapshot), row(&self.store.tables)) {
                (None, None) => true,
                (Some(old), Some(new)) => Arc::ptr_eq(&old, &new),
                _ => false,
            };
            if !unchanged {
                return Err(SqlError::SerializationFailure);
            }
        }
        Ok(())
    }

    /// Works out what `CREATE TABLE` changes.
    pub fn create(
        &mut self,
        number: ConnectionNumber,
        create: &CreateTable,
        context: &mut Context<'_>,
    ) -> Result<Outcome, SqlError> {
        self.check_writable(number, "CREATE TABLE")?;
        let name: Arc<str> = object_name(&create.name).into();
        let base = self.store.tables.clone();
        let overlay = self.overlay(number);
        let view = View {
            base: &base,
            overlay: &overlay,
        };
        let exists = view.table(&name).is_ok();
        let mut environment = self.environment(number, context.now);
        let table = create_table(create, &mut environment)?;
        let mut modification = Modification {
            locks: vec![LockKey::Table(Arc::clone(&name))],
            ..Modification::default()
        };
        let answer = if exists && !create.if_not_exists {
            Err(SqlError::DuplicateTable {
                name: name.to_string(),
            })
        } else {
            Ok(Answer::command("CREATE TABLE"))
        };
        if !exists {
            modification.created = Some((name, table));
        }
        Ok(Outcome::Modified(Modified {
            modification,
            answer,
        }))
    }
}

/// The command's name if the statement writes or locks rows.
fn write_command(tree: &Tree) -> Option<&'static str> {
    match tree {
        Tree::Query(query) if !query.locks.is_empty() => Some("SELECT FOR UPDATE"),
        Tree::Insert(_) => Some("INSERT"),
        Tree::Update(_) => Some("UPDATE"),
        Tree::Delete(_) => Some("DELETE"),
        _ => None,
    }
}
