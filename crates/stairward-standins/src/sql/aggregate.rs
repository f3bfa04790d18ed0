//! Aggregates over all rows of a query: `COUNT`, `SUM`, `MIN` and `MAX`.

use sqlparser::ast::{self, Expr, FunctionArg, FunctionArgExpr, FunctionArguments};

use super::environment::StatementContext;
use super::expression::{Scope, arguments, evaluate};
use super::names::object_name;
use super::operators::integer;
use super::source::Source;
use super::{SqlError, Value};

/// Whether a function of this name is an aggregate.
#[must_use]
pub fn is_aggregate(name: &str) -> bool {
    matches!(name, "count" | "sum" | "min" | "max")
}

/// Whether an expression holds an aggregate.
#[must_use]
pub fn has_aggregate(expression: &Expr) -> bool {
    match expression {
        Expr::Nested(inner) | Expr::Cast { expr: inner, .. } => has_aggregate(inner),
        Expr::BinaryOp { left, right, .. } => has_aggregate(left) || has_aggregate(right),
        Expr::Function(function) => {
            is_aggregate(&object_name(&function.name))
                || arguments(function)
                    .is_ok_and(|arguments| arguments.into_iter().any(has_aggregate))
        }
        _ => false,
    }
}

/// Replaces each aggregate in an expression by its value over the rows.
///
/// # Errors
/// The errors of the aggregates' arguments.
pub fn fold_aggregates(
    expression: &mut Expr,
    source: &Source,
    context: &mut StatementContext<'_>,
) -> Result<(), SqlError> {
    match expression {
        Expr::Nested(inner) | Expr::Cast { expr: inner, .. } => {
            fold_aggregates(inner, source, context)
        }
        Expr::BinaryOp { left, right, .. } => {
            fold_aggregates(left, source, context)?;
            fold_aggregates(right, source, context)
        }
        Expr::Function(function) if is_aggregate(&object_name(&function.name)) => {
            let value = aggregate(function, source, context)?;
            *expression = Expr::Value(literal(&value).into());
            Ok(())
        }
        Expr::Function(function) => {
            let FunctionArguments::List(list) = &mut function.args else {
                return Ok(());
            };
            for argument in &mut list.args {
                if let FunctionArg::Unnamed(FunctionArgExpr::Expr(inner)) = argument {
                    fold_aggregates(inner, source, context)?;
                }
            }
            Ok(())
        }
        _ => Ok(()),
    }
}

fn literal(value: &Value) -> ast::Value {
    match value {
        Value::Null => ast::Value::Null,
        Value::Boolean(truth) => ast::Value::Boolean(*truth),
        Value::Integer(number) => ast::Value::Number(number.to_string(), false),
        Value::Text(text) => ast::Value::SingleQuotedString(text.to_string()),
    }
}

fn counts_rows(function: &ast::Function) -> bool {
    matches!(
        &function.args,
        FunctionArguments::List(list)
            if matches!(list.args.as_slice(), [FunctionArg::Unnamed(FunctionArgExpr::Wildcard)])
    )
}

fn aggregate(
    function: &ast::Function,
    source: &Source,
    context: &mut StatementContext<'_>,
) -> Result<Value, SqlError> {
    let name = object_name(&function.name);
    if name == "count" && counts_rows(function) {
        return count(source.rows.len());
    }
    let arguments = arguments(function)?;
    let [argument] = arguments.as_slice() else {
        return Err(SqlError::UndefinedFunction { name });
    };
    let mut values = Vec::new();
    for (_, row) in &source.rows {
        let scope = Scope {
            columns: &source.columns,
            row,
            parameters: context.parameters,
        };
        let value = evaluate(argument, scope, context.environment)?;
        if !value.is_null() {
            values.push(value);
        }
    }
    match name.as_str() {
        "count" => count(values.len()),
        "sum" => sum(&values),
        "min" => Ok(values.into_iter().min().unwrap_or(Value::Null)),
        _ => Ok(values.into_iter().max().unwrap_or(Value::Null)),
    }
}

fn count(rows: usize) -> Result<Value, SqlError> {
    let rows = i64::try_from(rows).map_err(|_| SqlError::OutOfRange)?;
    Ok(Value::Integer(rows))
}

fn sum(values: &[Value]) -> Result<Value, SqlError> {
    if values.is_empty() {
        return Ok(Value::Null);
    }
    let mut total: i64 = 0;
    for value in values {
        total = total
            .checked_add(integer(value)?)
            .ok_or(SqlError::OutOfRange)?;
    }
    Ok(Value::Integer(total))
}
