//! Operators on values, with SQL's three-valued logic.

use std::cmp::Ordering;

use sqlparser::ast::BinaryOperator;

use super::{SqlError, Value, ValueType};

/// Compares two values that are not NULL. Text on one side is read as the other side's type.
///
/// # Errors
/// [`SqlError::InvalidText`] or [`SqlError::DatatypeMismatch`] when they cannot be compared.
pub fn compare(left: &Value, right: &Value) -> Result<Ordering, SqlError> {
    match (left, right) {
        (Value::Text(_), Value::Integer(_) | Value::Boolean(_)) => {
            Ok(left.convert(right.natural_type())?.cmp(right))
        }
        (Value::Integer(_) | Value::Boolean(_), Value::Text(_)) => {
            Ok(left.cmp(&right.convert(left.natural_type())?))
        }
        (Value::Integer(_), Value::Boolean(_)) | (Value::Boolean(_), Value::Integer(_)) => {
            Err(SqlError::DatatypeMismatch {
                found: left.natural_type(),
                wanted: right.natural_type(),
            })
        }
        _ => Ok(left.cmp(right)),
    }
}

/// Applies an operator to two values.
///
/// # Errors
/// A type, range or division error, or [`SqlError::Unsupported`] for an unknown operator.
pub fn binary(operator: &BinaryOperator, left: &Value, right: &Value) -> Result<Value, SqlError> {
    match operator {
        BinaryOperator::And => Ok(and(left, right)),
        BinaryOperator::Or => Ok(or(left, right)),
        _ if left.is_null() || right.is_null() => Ok(Value::Null),
        BinaryOperator::StringConcat => Ok(Value::text(format!("{left}{right}"))),
        BinaryOperator::Plus
        | BinaryOperator::Minus
        | BinaryOperator::Multiply
        | BinaryOperator::Divide
        | BinaryOperator::Modulo => arithmetic(operator, left, right),
        _ => comparison(operator, left, right),
    }
}

fn and(left: &Value, right: &Value) -> Value {
    let is_false = |value: &Value| *value == Value::Boolean(false);
    if is_false(left) || is_false(right) {
        Value::Boolean(false)
    } else if left.is_null() || right.is_null() {
        Value::Null
    } else {
        Value::Boolean(true)
    }
}

fn or(left: &Value, right: &Value) -> Value {
    if left.is_true() || right.is_true() {
        Value::Boolean(true)
    } else if left.is_null() || right.is_null() {
        Value::Null
    } else {
        Value::Boolean(false)
    }
}

fn comparison(operator: &BinaryOperator, left: &Value, right: &Value) -> Result<Value, SqlError> {
    let ordering = compare(left, right)?;
    let holds = match operator {
        BinaryOperator::Eq => ordering.is_eq(),
        BinaryOperator::NotEq => ordering.is_ne(),
        BinaryOperator::Lt => ordering.is_lt(),
        BinaryOperator::LtEq => ordering.is_le(),
        BinaryOperator::Gt => ordering.is_gt(),
        BinaryOperator::GtEq => ordering.is_ge(),
        other => {
            return Err(SqlError::Unsupported {
                feature: format!("operator {other}"),
            });
        }
    };
    Ok(Value::Boolean(holds))
}

fn arithmetic(operator: &BinaryOperator, left: &Value, right: &Value) -> Result<Value, SqlError> {
    let left = integer(left)?;
    let right = integer(right)?;
    if right == 0 && matches!(operator, BinaryOperator::Divide | BinaryOperator::Modulo) {
        return Err(SqlError::DivisionByZero);
    }
    let result = match operator {
        BinaryOperator::Plus => left.checked_add(right),
        BinaryOperator::Minus => left.checked_sub(right),
        BinaryOperator::Multiply => left.checked_mul(right),
        BinaryOperator::Divide => left.checked_div(right),
        _ => left.checked_rem(right),
    };
    result.map(Value::Integer).ok_or(SqlError::OutOfRange)
}

/// The integer in a value.
///
/// # Errors
/// A conversion error when the value is not an integer.
pub fn integer(value: &Value) -> Result<i64, SqlError> {
    match value.convert(ValueType::Int8)? {
        Value::Integer(number) => Ok(number),
        _ => Err(SqlError::DatatypeMismatch {
            found: value.natural_type(),
            wanted: ValueType::Int8,
        }),
    }
}
