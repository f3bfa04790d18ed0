//! `UPDATE` and `DELETE`, and what all statements that change rows have in common.

use std::sync::Arc;

use sqlparser::ast::{self, Assignment, AssignmentTarget, Expr, FromTable, SelectItem};

use super::environment::StatementContext;
use super::expression::{Scope, evaluate};
use super::insert::check_not_null;
use super::names::object_name;
use super::select::{filter_rows, project, projected_columns};
use super::source::{Source, read_source};
use super::{Answer, Column, LockKey, Modification, Row, SqlError, Table};

/// A statement's changes and its answer, or the error it ends with once its locks are held.
#[derive(Debug, Clone)]
pub struct Modified {
    /// Locks and changes.
    pub modification: Modification,
    /// What to answer. An error counts only once the locks are held: until then another
    /// transaction may remove its cause.
    pub answer: Result<Answer, SqlError>,
}

impl Modified {
    /// Changes that succeed once the locks are held.
    #[must_use]
    pub const fn new(modification: Modification, answer: Answer) -> Self {
        Self {
            modification,
            answer: Ok(answer),
        }
    }

    /// A key that already exists.
    #[must_use]
    pub fn conflict(locks: Vec<LockKey>, table: &str) -> Self {
        Self {
            modification: Modification {
                locks,
                ..Modification::default()
            },
            answer: Err(SqlError::UniqueViolation {
                table: table.to_owned(),
            }),
        }
    }
}

/// The answer of a `RETURNING` clause.
///
/// # Errors
/// The errors of its expressions.
pub fn returning(
    items: &[SelectItem],
    columns: &[Column],
    rows: &[Row],
    context: &mut StatementContext<'_>,
) -> Result<Answer, SqlError> {
    let source = Source {
        columns: columns.to_vec(),
        ..Source::default()
    };
    let result_columns = projected_columns(items, &source, context.environment)?;
    let mut result = Vec::new();
    for row in rows {
        result.push(project(items, columns, row, context)?);
    }
    Ok(Answer::rows(result_columns, result))
}

/// The rows of a table that a condition selects for a change.
struct Target<'a> {
    name: Arc<str>,
    table: &'a Table,
    source: Source,
}

fn target<'a>(
    from: &[ast::TableWithJoins],
    filter: Option<&Expr>,
    context: &mut StatementContext<'a>,
) -> Result<Target<'a>, SqlError> {
    let mut source = read_source(from, filter, context)?;
    let Some(name) = source.table.clone() else {
        return Err(SqlError::Unsupported {
            feature: "changing a system relation".to_owned(),
        });
    };
    let (name, table) = context.view.table(&name)?;
    filter_rows(&mut source, filter, context)?;
    Ok(Target {
        name,
        table,
        source,
    })
}

/// Works out what an `UPDATE` changes and answers.
///
/// # Errors
/// [`SqlError::Unsupported`] for a change of the primary key, and the errors of its expressions.
pub fn update(
    statement: &ast::Update,
    context: &mut StatementContext<'_>,
) -> Result<Modified, SqlError> {
    let from = std::slice::from_ref(&statement.table);
    let filter = statement.selection.as_ref();
    let target = target(from, filter, context)?;
    let assignments = assignments(&statement.assignments, target.table)?;
    let mut modification = Modification::default();
    let mut updated = Vec::new();
    for (key, row) in &target.source.rows {
        let scope = Scope {
            columns: &target.source.columns,
            row,
            parameters: context.parameters,
        };
        let mut values = row.to_vec();
        for (place, expression) in &assignments {
            let value = evaluate(expression, scope, context.environment)?;
            values[*place] = value.convert(target.table.columns[*place].value_type)?;
        }
        check_not_null(target.table, &values)?;
        if target.table.key_of(&values).is_some_and(|new| new != *key) {
            return Err(SqlError::Unsupported {
                feature: "changing a primary key".to_owned(),
            });
        }
        let values: Row = values.into();
        modification
            .locks
            .push(LockKey::Row(Arc::clone(&target.name), key.clone()));
        modification.rows.push((
            Arc::clone(&target.name),
            key.clone(),
            Some(Arc::clone(&values)),
        ));
        updated.push(values);
    }
    let columns = &target.source.columns;
    let items = statement.returning.as_deref();
    let answer = changed("UPDATE", items, columns, &updated, context)?;
    Ok(Modified::new(modification, answer))
}

fn assignments<'a>(
    assignments: &'a [Assignment],
    table: &Table,
) -> Result<Vec<(usize, &'a Expr)>, SqlError> {
    assignments
        .iter()
        .map(|assignment| match &assignment.target {
            AssignmentTarget::ColumnName(name) => {
                Ok((table.column(&object_name(name))?, &assignment.value))
            }
            AssignmentTarget::Tuple(_) => Err(SqlError::Unsupported {
                feature: "assignment to several columns at once".to_owned(),
            }),
        })
        .collect()
}

/// Works out what a `DELETE` changes and answers.
///
/// # Errors
/// The errors of its condition.
pub fn delete(
    statement: &ast::Delete,
    context: &mut StatementContext<'_>,
) -> Result<Modified, SqlError> {
    let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &statement.from;
    let filter = statement.selection.as_ref();
    let target = target(from, filter, context)?;
    let mut modification = Modification::default();
    let mut deleted = Vec::new();
    for (key, row) in &target.source.rows {
        modification
            .locks
            .push(LockKey::Row(Arc::clone(&target.name), key.clone()));
        modification
            .rows
            .push((Arc::clone(&target.name), key.clone(), None));
        deleted.push(Arc::clone(row));
    }
    let columns = &target.source.columns;
    let items = statement.returning.as_deref();
    let answer = changed("DELETE", items, columns, &deleted, context)?;
    Ok(Modified::new(modification, answer))
}

fn changed(
    command: &str,
    items: Option<&[SelectItem]>,
    columns: &[Column],
    rows: &[Row],
    context: &mut StatementContext<'_>,
) -> Result<Answer, SqlError> {
    let count = rows.len();
    let mut answer = match items {
        None => Answer::default(),
        Some(items) => returning(items, columns, rows, context)?,
    };
    answer.tag = format!("{command} {count}");
    answer.affected = count as u64;
    Ok(answer)
}
