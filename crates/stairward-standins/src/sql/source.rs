//! The rows that a statement draws on: a table, a system relation or a series.

use std::collections::BTreeMap;
use std::sync::Arc;

use sqlparser::ast::{
    BinaryOperator, Expr, FunctionArg, FunctionArgExpr, ObjectName, TableAlias, TableFactor,
    TableWithJoins,
};

use super::environment::StatementContext;
use super::names::{identifier, object_name, relation_name};
use super::operators::integer;
use super::{Column, Key, MAXIMUM_RESULT_ROWS, Row, SqlError, Table, Value, ValueType};

/// Rows to select from.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// The table's name, when the rows are those of a table.
    pub table: Option<Arc<str>>,
    /// Columns of the rows.
    pub columns: Vec<Column>,
    /// The rows, with their keys when they are those of a table.
    pub rows: Vec<(Key, Row)>,
}

/// Columns of a table as result columns.
#[must_use]
pub fn columns_of(table: &Table) -> Vec<Column> {
    let columns = table.columns.iter();
    columns
        .map(|column| Column::new(column.name.as_str(), column.value_type))
        .collect()
}

/// Reads the rows named by a `FROM` clause. Without one there is a single row without columns.
/// `filter` narrows the rows read from a table when it fixes the primary key.
///
/// # Errors
/// [`SqlError::UndefinedTable`] for an unknown relation, [`SqlError::Unsupported`] for joins
/// outside the system's catalogue, whose unknown relations are empty.
pub fn read_source(
    from: &[TableWithJoins],
    filter: Option<&Expr>,
    context: &mut StatementContext<'_>,
) -> Result<Source, SqlError> {
    let [first, rest @ ..] = from else {
        return Ok(single_row());
    };
    if !rest.is_empty() || !first.joins.is_empty() {
        let catalogue = from.iter().all(|table| is_catalogue(&table.relation));
        return catalogue
            .then(Source::default)
            .ok_or_else(|| SqlError::Unsupported {
                feature: "joins".to_owned(),
            });
    }
    match &first.relation {
        TableFactor::Table {
            name,
            args: Some(arguments),
            alias,
            ..
        } => table_function(name, &arguments.args, alias.as_ref(), context),
        TableFactor::Function {
            name, args, alias, ..
        } => table_function(name, args, alias.as_ref(), context),
        TableFactor::Table { name, .. } => named_relation(name, filter, context),
        other => Err(SqlError::Unsupported {
            feature: format!("relation {other}"),
        }),
    }
}

fn single_row() -> Source {
    Source {
        rows: vec![(Key::new(), Arc::from([]))],
        ..Source::default()
    }
}

fn is_catalogue(relation: &TableFactor) -> bool {
    matches!(relation, TableFactor::Table { name, .. } if relation_name(name).1)
}

fn named_relation(
    name: &ObjectName,
    filter: Option<&Expr>,
    context: &mut StatementContext<'_>,
) -> Result<Source, SqlError> {
    let (relation, catalogue) = relation_name(name);
    if let Some(found) = context.environment.relation(&relation) {
        return Ok(made_up(found.columns, found.rows));
    }
    match context.view.table(&relation) {
        Ok((name, table)) => Ok(Source {
            rows: table_rows(&name, table, filter, context),
            columns: columns_of(table),
            table: Some(name),
        }),
        Err(_) if catalogue => Ok(Source::default()),
        Err(error) => Err(error),
    }
}

fn made_up(columns: Vec<Column>, rows: Vec<Row>) -> Source {
    Source {
        table: None,
        columns,
        rows: rows.into_iter().map(|row| (Key::new(), row)).collect(),
    }
}

fn table_rows(
    name: &Arc<str>,
    table: &Table,
    filter: Option<&Expr>,
    context: &mut StatementContext<'_>,
) -> Vec<(Key, Row)> {
    let key = filter.and_then(|filter| fixed_key(table, filter, context));
    match key {
        Some(key) => {
            let row = context.view.get(name, &key);
            row.map(|row| (key, row)).into_iter().collect()
        }
        None => context.view.scan(name),
    }
}

/// The primary key that a condition fixes by equality, if it fixes all of it.
fn fixed_key(table: &Table, filter: &Expr, context: &mut StatementContext<'_>) -> Option<Key> {
    if table.primary_key.is_empty() {
        return None;
    }
    let mut equalities = BTreeMap::new();
    collect_equalities(filter, &mut equalities);
    let mut key = Key::new();
    for place in &table.primary_key {
        let column = &table.columns[*place];
        let expression = equalities.get(column.name.as_str())?;
        let value = context.constant(expression).ok()?;
        key.push(value.convert(column.value_type).ok()?);
    }
    Some(key)
}

fn collect_equalities<'a>(filter: &'a Expr, found: &mut BTreeMap<String, &'a Expr>) {
    match filter {
        Expr::Nested(inner) => collect_equalities(inner, found),
        Expr::BinaryOp {
            left,
            op: BinaryOperator::And,
            right,
        } => {
            collect_equalities(left, found);
            collect_equalities(right, found);
        }
        Expr::BinaryOp {
            left,
            op: BinaryOperator::Eq,
            right,
        } => {
            if let (Expr::Identifier(name), Expr::Value(_) | Expr::Cast { .. }) =
                (left.as_ref(), right.as_ref())
            {
                found.insert(identifier(name), right);
            }
        }
        _ => {}
    }
}

fn table_function(
    name: &ObjectName,
    arguments: &[FunctionArg],
    alias: Option<&TableAlias>,
    context: &mut StatementContext<'_>,
) -> Result<Source, SqlError> {
    let name = object_name(name);
    if name != "generate_series" {
        let found = context.environment.relation(&name);
        let relation = found.ok_or(SqlError::UndefinedFunction { name })?;
        return Ok(made_up(relation.columns, relation.rows));
    }
    let mut bounds = Vec::new();
    for argument in arguments {
        let FunctionArg::Unnamed(FunctionArgExpr::Expr(expression)) = argument else {
            return Err(SqlError::UndefinedFunction { name });
        };
        let value = context.constant(expression)?;
        bounds.push(integer(&value)?);
    }
    let column = alias.map_or(name, |alias| {
        let column = alias.columns.first().map(|column| &column.name);
        identifier(column.unwrap_or(&alias.name))
    });
    series(&column, &bounds)
}

fn series(column: &str, bounds: &[i64]) -> Result<Source, SqlError> {
    let &[first, last] = bounds else {
        return Err(SqlError::UndefinedFunction {
            name: "generate_series".to_owned(),
        });
    };
    let count = i128::from(last) - i128::from(first) + 1;
    if count > MAXIMUM_RESULT_ROWS as i128 {
        return Err(SqlError::LimitExceeded { what: "series" });
    }
    let rows = (first..=last).map(|number| Arc::from([Value::Integer(number)]));
    Ok(made_up(
        vec![Column::new(column, ValueType::Int8)],
        rows.collect(),
    ))
}
