//! `CREATE TABLE`.

use std::sync::Arc;

use sqlparser::ast::{self, ColumnOption, DataType, Expr, TableConstraint};

use super::environment::Environment;
use super::expression::{Scope, evaluate};
use super::names::{identifier, object_name};
use super::{ColumnDefinition, SqlError, Table, Value, ValueType};

/// The type that a type name stands for.
///
/// # Errors
/// [`SqlError::Unsupported`] for types this server does not have.
pub fn value_type(data_type: &DataType) -> Result<ValueType, SqlError> {
    match data_type {
        DataType::SmallInt(_)
        | DataType::Int2(_)
        | DataType::Int(_)
        | DataType::Int4(_)
        | DataType::Integer(_) => Ok(ValueType::Int4),
        DataType::BigInt(_) | DataType::Int8(_) => Ok(ValueType::Int8),
        DataType::Text
        | DataType::Varchar(_)
        | DataType::CharacterVarying(_)
        | DataType::Char(_)
        | DataType::Character(_)
        | DataType::Regclass
        | DataType::Uuid => Ok(ValueType::Text),
        DataType::Bool | DataType::Boolean => Ok(ValueType::Boolean),
        DataType::Custom(name, _) if object_name(name) == "pg_lsn" => Ok(ValueType::LogPosition),
        DataType::Custom(name, _) if object_name(name) == "name" => Ok(ValueType::Text),
        other => Err(SqlError::Unsupported {
            feature: format!("type {other}"),
        }),
    }
}

/// Builds the empty table that `CREATE TABLE` describes.
///
/// # Errors
/// [`SqlError::Unsupported`] for types and constraints beyond NOT NULL, DEFAULT and PRIMARY KEY.
pub fn create_table(
    statement: &ast::CreateTable,
    environment: &mut dyn Environment,
) -> Result<Table, SqlError> {
    let mut columns = Vec::new();
    let mut primary_key = Vec::new();
    for (place, column) in statement.columns.iter().enumerate() {
        let (definition, is_key) = define_column(column, environment)?;
        if is_key {
            primary_key.push(place);
        }
        columns.push(definition);
    }
    let mut table = Table {
        columns: Arc::new(columns),
        ..Table::default()
    };
    for constraint in &statement.constraints {
        primary_key.extend(constrained_key(constraint, &table)?);
    }
    table.primary_key = primary_key;
    let columns = Arc::make_mut(&mut table.columns);
    for place in &table.primary_key {
        columns[*place].not_null = true;
    }
    Ok(table)
}

fn define_column(
    column: &ast::ColumnDef,
    environment: &mut dyn Environment,
) -> Result<(ColumnDefinition, bool), SqlError> {
    let mut definition = ColumnDefinition {
        name: identifier(&column.name),
        value_type: value_type(&column.data_type)?,
        not_null: false,
        default: Value::Null,
    };
    let mut is_key = false;
    for option in &column.options {
        match &option.option {
            ColumnOption::Null => {}
            ColumnOption::NotNull => definition.not_null = true,
            ColumnOption::PrimaryKey(_) => is_key = true,
            ColumnOption::Default(expression) => {
                let value = evaluate(expression, Scope::constant(&[]), environment)?;
                definition.default = value.convert(definition.value_type)?;
            }
            other => return Err(unsupported_constraint(other)),
        }
    }
    Ok((definition, is_key))
}

fn constrained_key(constraint: &TableConstraint, table: &Table) -> Result<Vec<usize>, SqlError> {
    let TableConstraint::PrimaryKey(key) = constraint else {
        return Err(unsupported_constraint(constraint));
    };
    key.columns
        .iter()
        .map(|column| match &column.column.expr {
            Expr::Identifier(name) => table.column(&identifier(name)),
            other => Err(unsupported_constraint(other)),
        })
        .collect()
}

fn unsupported_constraint(constraint: &impl ToString) -> SqlError {
    SqlError::Unsupported {
        feature: format!("constraint {}", constraint.to_string()),
    }
}
