//! Types of expressions, found without evaluating them.

use sqlparser::ast::{self, Expr};

use super::environment::Environment;
use super::expression::arguments;
use super::names::{identifier, object_name};
use super::schema::value_type;
use super::{Column, ValueType};

/// The type of an expression; `None` when only its use can tell (a parameter, NULL).
#[must_use]
pub fn expression_type(
    expression: &Expr,
    columns: &[Column],
    environment: &dyn Environment,
) -> Option<ValueType> {
    match expression {
        Expr::Nested(inner) | Expr::UnaryOp { expr: inner, .. } => {
            expression_type(inner, columns, environment)
        }
        Expr::Identifier(name) => column_type(&identifier(name), columns),
        Expr::CompoundIdentifier(names) => column_type(&identifier(names.last()?), columns),
        Expr::Value(value) => literal_type(&value.value),
        Expr::Cast { data_type, .. } => value_type(data_type).ok(),
        Expr::BinaryOp { left, op, right } => match op {
            ast::BinaryOperator::StringConcat => Some(ValueType::Text),
            ast::BinaryOperator::Plus
            | ast::BinaryOperator::Minus
            | ast::BinaryOperator::Multiply
            | ast::BinaryOperator::Divide
            | ast::BinaryOperator::Modulo => {
                let left = expression_type(left, columns, environment);
                let right = expression_type(right, columns, environment);
                left.max(right)
            }
            _ => Some(ValueType::Boolean),
        },
        Expr::IsNull(_)
        | Expr::IsNotNull(_)
        | Expr::IsTrue(_)
        | Expr::In { .. }
        | Expr::Between { .. } => Some(ValueType::Boolean),
        Expr::Function(function) => function_type(function, columns, environment),
        Expr::Case { conditions, .. } => {
            let branches = conditions.iter();
            let mut types = branches.map(|branch| &branch.result);
            types.find_map(|branch| expression_type(branch, columns, environment))
        }
        _ => None,
    }
}

fn column_type(name: &str, columns: &[Column]) -> Option<ValueType> {
    let column = columns.iter().find(|column| column.name == name)?;
    Some(column.value_type)
}

fn literal_type(value: &ast::Value) -> Option<ValueType> {
    match value {
        ast::Value::Number(digits, _) if digits.parse::<i32>().is_ok() => Some(ValueType::Int4),
        ast::Value::Number(digits, _) if digits.parse::<i64>().is_ok() => Some(ValueType::Int8),
        ast::Value::Boolean(_) => Some(ValueType::Boolean),
        ast::Value::Null | ast::Value::Placeholder(_) => None,
        _ => Some(ValueType::Text),
    }
}

fn function_type(
    function: &ast::Function,
    columns: &[Column],
    environment: &dyn Environment,
) -> Option<ValueType> {
    let name = object_name(&function.name);
    match name.as_str() {
        "count" | "sum" => Some(ValueType::Int8),
        "length" => Some(ValueType::Int4),
        "lower" | "upper" | "repeat" => Some(ValueType::Text),
        "min" | "max" | "coalesce" | "abs" => {
            let arguments = arguments(function).ok()?;
            let mut types = arguments.into_iter();
            types.find_map(|argument| expression_type(argument, columns, environment))
        }
        _ => environment.function_type(&name),
    }
}
