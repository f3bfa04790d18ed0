//! `INSERT`.

use std::collections::BTreeSet;
use std::sync::Arc;

use sqlparser::ast::{self, Expr, OnConflictAction, OnInsert, SetExpr, TableObject};

use super::environment::StatementContext;
use super::modify::{Modified, returning};
use super::names::object_name;
use super::select::select;
use super::source::columns_of;
use super::{Answer, Key, LockKey, Modification, Row, SqlError, Table, Value, View};

/// Works out what an `INSERT` changes and answers.
///
/// # Errors
/// [`SqlError::UniqueViolation`] for a key that exists (unless `ON CONFLICT DO NOTHING`), and the
/// errors of its expressions.
pub fn insert(
    statement: &ast::Insert,
    context: &mut StatementContext<'_>,
) -> Result<Modified, SqlError> {
    let TableObject::TableName(name) = &statement.table else {
        return Err(SqlError::Unsupported {
            feature: format!("INSERT INTO {}", statement.table),
        });
    };
    let (name, table) = context.view.table(&object_name(name))?;
    let skip_conflicts = skips_conflicts(statement)?;
    let places = column_places(statement, table)?;
    let rows = source_rows(statement, context)?;
    let mut modification = Modification::default();
    let mut inserted: Vec<Row> = Vec::new();
    let mut keys: BTreeSet<Key> = BTreeSet::new();
    for values in rows {
        let row = build_row(table, &places, values)?;
        let key = match table.key_of(&row) {
            Some(key) => key,
            None => next_row_number(&name, context.view, &keys)?,
        };
        let exists = keys.contains(&key) || context.view.get(&name, &key).is_some();
        modification
            .locks
            .push(LockKey::Row(Arc::clone(&name), key.clone()));
        if exists && skip_conflicts {
            continue;
        }
        if exists {
            return Ok(Modified::conflict(modification.locks, &name));
        }
        keys.insert(key.clone());
        modification
            .rows
            .push((Arc::clone(&name), key, Some(Arc::clone(&row))));
        inserted.push(row);
    }
    let count = inserted.len();
    let columns = columns_of(table);
    let mut answer = match &statement.returning {
        None => Answer::default(),
        Some(items) => returning(items, &columns, &inserted, context)?,
    };
    answer.tag = format!("INSERT 0 {count}");
    answer.affected = count as u64;
    Ok(Modified::new(modification, answer))
}

fn skips_conflicts(statement: &ast::Insert) -> Result<bool, SqlError> {
    match &statement.on {
        None => Ok(false),
        Some(OnInsert::OnConflict(conflict))
            if matches!(conflict.action, OnConflictAction::DoNothing) =>
        {
            Ok(true)
        }
        Some(other) => Err(SqlError::Unsupported {
            feature: other.to_string(),
        }),
    }
}

/// Places of the columns that the statement names; all columns when it names none.
///
/// # Errors
/// [`SqlError::UndefinedColumn`] for a name the table does not have.
pub fn column_places(statement: &ast::Insert, table: &Table) -> Result<Vec<usize>, SqlError> {
    if statement.columns.is_empty() {
        return Ok((0..table.columns.len()).collect());
    }
    let names = statement.columns.iter();
    names.map(|name| table.column(&object_name(name))).collect()
}

fn source_rows(
    statement: &ast::Insert,
    context: &mut StatementContext<'_>,
) -> Result<Vec<Vec<Option<Value>>>, SqlError> {
    let Some(query) = &statement.source else {
        return Ok(vec![Vec::new()]);
    };
    let SetExpr::Values(values) = query.body.as_ref() else {
        let selected = select(query, context)?;
        let rows = selected.answer.rows.iter();
        return Ok(rows
            .map(|row| row.iter().cloned().map(Some).collect())
            .collect());
    };
    let mut rows = Vec::new();
    for expressions in &values.rows {
        let mut row = Vec::new();
        for expression in &expressions.content {
            row.push(insert_value(expression, context)?);
        }
        rows.push(row);
    }
    Ok(rows)
}

/// The value to insert; `None` stands for `DEFAULT`.
fn insert_value(
    expression: &Expr,
    context: &mut StatementContext<'_>,
) -> Result<Option<Value>, SqlError> {
    if matches!(expression, Expr::Identifier(name) if name.value.eq_ignore_ascii_case("default")) {
        return Ok(None);
    }
    context.constant(expression).map(Some)
}

fn build_row(table: &Table, places: &[usize], values: Vec<Option<Value>>) -> Result<Row, SqlError> {
    if values.len() > places.len() {
        return Err(SqlError::Syntax {
            message: "INSERT has more expressions than target columns".to_owned(),
        });
    }
    let mut row: Vec<Value> = table
        .columns
        .iter()
        .map(|column| column.default.clone())
        .collect();
    for (place, value) in places.iter().zip(values) {
        if let Some(value) = value {
            row[*place] = value.convert(table.columns[*place].value_type)?;
        }
    }
    check_not_null(table, &row)?;
    Ok(row.into())
}

/// Refuses NULL where a column does not take it.
///
/// # Errors
/// [`SqlError::NotNullViolation`].
pub fn check_not_null(table: &Table, row: &[Value]) -> Result<(), SqlError> {
    let mut pairs = table.columns.iter().zip(row);
    match pairs.find(|(column, value)| column.not_null && value.is_null()) {
        None => Ok(()),
        Some((column, _)) => Err(SqlError::NotNullViolation {
            column: column.name.clone(),
        }),
    }
}

/// The hidden key of a new row in a table without a primary key.
fn next_row_number(table: &str, view: View<'_>, taken: &BTreeSet<Key>) -> Result<Key, SqlError> {
    let newest = view
        .last_key(table)
        .into_iter()
        .chain(taken.last().cloned());
    let newest = newest.max().and_then(|key| key.first().cloned());
    let number = match newest {
        Some(Value::Integer(number)) => number.checked_add(1).ok_or(SqlError::OutOfRange)?,
        _ => 1,
    };
    Ok(vec![Value::Integer(number)])
}
