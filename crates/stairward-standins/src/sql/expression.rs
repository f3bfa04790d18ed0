//! Evaluation of expressions.

use std::cmp::Ordering;

use sqlparser::ast::{self, Expr, FunctionArg, FunctionArgExpr, FunctionArguments, UnaryOperator};

use super::environment::Environment;
use super::names::{identifier, object_name};
use super::operators::{binary, compare, integer};
use super::schema::value_type;
use super::{Column, SqlError, Value};

/// What an expression may refer to.
#[derive(Debug, Clone, Copy)]
pub struct Scope<'a> {
    /// Columns of the row; empty where there is no row.
    pub columns: &'a [Column],
    /// The row's values.
    pub row: &'a [Value],
    /// Values of `$1`, `$2` and so on.
    pub parameters: &'a [Value],
}

impl<'a> Scope<'a> {
    /// A scope without a row.
    #[must_use]
    pub const fn constant(parameters: &'a [Value]) -> Self {
        Self {
            columns: &[],
            row: &[],
            parameters,
        }
    }

    fn column(&self, name: &str) -> Option<&'a Value> {
        let place = self.columns.iter().position(|column| column.name == name)?;
        self.row.get(place)
    }

    fn parameter(&self, name: &str) -> Result<&'a Value, SqlError> {
        parameter_place(name)
            .and_then(|place| self.parameters.get(place))
            .ok_or_else(|| SqlError::UndefinedParameter {
                name: name.to_owned(),
            })
    }
}

/// The place, from zero, of a parameter such as `$1`.
#[must_use]
pub fn parameter_place(name: &str) -> Option<usize> {
    let number: usize = name.strip_prefix('$')?.parse().ok()?;
    number.checked_sub(1)
}

/// Evaluates an expression.
///
/// # Errors
/// The error of whatever part fails.
pub fn evaluate(
    expression: &Expr,
    scope: Scope<'_>,
    environment: &mut dyn Environment,
) -> Result<Value, SqlError> {
    match expression {
        Expr::Value(value) => literal(&value.value, scope),
        Expr::Nested(inner) => evaluate(inner, scope, environment),
        Expr::Identifier(name) => column_or_keyword(&identifier(name), scope, environment),
        Expr::CompoundIdentifier(names) => compound(names, scope),
        Expr::BinaryOp { left, op, right } => {
            let left = evaluate(left, scope, environment)?;
            let right = evaluate(right, scope, environment)?;
            binary(op, &left, &right)
        }
        Expr::UnaryOp { op, expr } => {
            let value = evaluate(expr, scope, environment)?;
            unary(*op, &value)
        }
        Expr::IsNull(inner) => {
            let value = evaluate(inner, scope, environment)?;
            Ok(Value::Boolean(value.is_null()))
        }
        Expr::IsNotNull(inner) => {
            let value = evaluate(inner, scope, environment)?;
            Ok(Value::Boolean(!value.is_null()))
        }
        Expr::IsTrue(inner) => {
            let value = evaluate(inner, scope, environment)?;
            Ok(Value::Boolean(value.is_true()))
        }
        Expr::In {
            expr,
            target: ast::InTarget::List(list),
            negated,
            ..
        } => in_list(expr, list, *negated, scope, environment),
        Expr::Between {
            expr,
            negated,
            low,
            high,
        } => {
            let value = evaluate(expr, scope, environment)?;
            let low = evaluate(low, scope, environment)?;
            let high = evaluate(high, scope, environment)?;
            between(&value, &low, &high, *negated)
        }
        Expr::Cast {
            expr, data_type, ..
        } => evaluate(expr, scope, environment)?.convert(value_type(data_type)?),
        Expr::Function(function) => call(function, scope, environment),
        Expr::Case {
            operand: None,
            conditions,
            else_result,
            ..
        } => case(conditions, else_result.as_deref(), scope, environment),
        other => Err(SqlError::Unsupported {
            feature: format!("expression {other}"),
        }),
    }
}

fn literal(value: &ast::Value, scope: Scope<'_>) -> Result<Value, SqlError> {
    match value {
        ast::Value::Null => Ok(Value::Null),
        ast::Value::Boolean(truth) => Ok(Value::Boolean(*truth)),
        ast::Value::Number(digits, _) if digits.contains(['.', 'e', 'E']) => {
            Ok(Value::text(digits.as_str()))
        }
        ast::Value::Number(digits, _) => digits
            .parse()
            .map(Value::Integer)
            .map_err(|_| SqlError::OutOfRange),
        ast::Value::SingleQuotedString(text)
        | ast::Value::EscapedStringLiteral(text)
        | ast::Value::NationalStringLiteral(text) => Ok(Value::text(text.as_str())),
        ast::Value::DollarQuotedString(text) => Ok(Value::text(text.value.as_str())),
        ast::Value::Placeholder(name) => scope.parameter(name).cloned(),
        other => Err(SqlError::Unsupported {
            feature: format!("literal {other}"),
        }),
    }
}

fn column_or_keyword(
    name: &str,
    scope: Scope<'_>,
    environment: &mut dyn Environment,
) -> Result<Value, SqlError> {
    if let Some(value) = scope.column(name) {
        return Ok(value.clone());
    }
    let undefined = || SqlError::UndefinedColumn {
        name: name.to_owned(),
    };
    match name {
        "current_user" | "session_user" | "user" => {
            environment.call(name, &[])?.ok_or_else(undefined)
        }
        _ => Err(undefined()),
    }
}

fn compound(names: &[ast::Ident], scope: Scope<'_>) -> Result<Value, SqlError> {
    let name = names.last().map(identifier).unwrap_or_default();
    scope
        .column(&name)
        .cloned()
        .ok_or(SqlError::UndefinedColumn { name })
}

fn unary(operator: UnaryOperator, value: &Value) -> Result<Value, SqlError> {
    if value.is_null() {
        return Ok(Value::Null);
    }
    match operator {
        UnaryOperator::Not => Ok(Value::Boolean(!value.is_true())),
        UnaryOperator::Plus => Ok(Value::Integer(integer(value)?)),
        UnaryOperator::Minus => integer(value)?
            .checked_neg()
            .map(Value::Integer)
            .ok_or(SqlError::OutOfRange),
        other => Err(SqlError::Unsupported {
            feature: format!("operator {other}"),
        }),
    }
}

/// Evaluates the first branch whose condition holds, and only that one.
fn case(
    branches: &[ast::CaseWhen],
    otherwise: Option<&Expr>,
    scope: Scope<'_>,
    environment: &mut dyn Environment,
) -> Result<Value, SqlError> {
    for branch in branches {
        if evaluate(&branch.condition, scope, environment)?.is_true() {
            return evaluate(&branch.result, scope, environment);
        }
    }
    match otherwise {
        Some(expression) => evaluate(expression, scope, environment),
        None => Ok(Value::Null),
    }
}

fn in_list(
    expression: &Expr,
    list: &[Expr],
    negated: bool,
    scope: Scope<'_>,
    environment: &mut dyn Environment,
) -> Result<Value, SqlError> {
    let value = evaluate(expression, scope, environment)?;
    let mut unknown = value.is_null();
    for candidate in list {
        let candidate = evaluate(candidate, scope, environment)?;
        if value.is_null() || candidate.is_null() {
            unknown = true;
        } else if compare(&value, &candidate)? == Ordering::Equal {
            return Ok(Value::Boolean(!negated));
        }
    }
    Ok(if unknown {
        Value::Null
    } else {
        Value::Boolean(negated)
    })
}

fn between(value: &Value, low: &Value, high: &Value, negated: bool) -> Result<Value, SqlError> {
    if value.is_null() || low.is_null() || high.is_null() {
        return Ok(Value::Null);
    }
    let inside = compare(value, low)?.is_ge() && compare(value, high)?.is_le();
    Ok(Value::Boolean(inside != negated))
}

/// The argument expressions of a function call.
///
/// # Errors
/// [`SqlError::Unsupported`] for named arguments and subqueries.
pub fn arguments(function: &ast::Function) -> Result<Vec<&Expr>, SqlError> {
    let FunctionArguments::List(list) = &function.args else {
        return Ok(Vec::new());
    };
    list.args
        .iter()
        .map(|argument| match argument {
            FunctionArg::Unnamed(FunctionArgExpr::Expr(expression)) => Ok(expression),
            other => Err(SqlError::Unsupported {
                feature: format!("argument {other}"),
            }),
        })
        .collect()
}

fn call(
    function: &ast::Function,
    scope: Scope<'_>,
    environment: &mut dyn Environment,
) -> Result<Value, SqlError> {
    let name = object_name(&function.name);
    let mut values = Vec::new();
    for argument in arguments(function)? {
        values.push(evaluate(argument, scope, environment)?);
    }
    if name == "coalesce" {
        let found = values.into_iter().find(|value| !value.is_null());
        return Ok(found.unwrap_or(Value::Null));
    }
    if let Some(value) = general_function(&name, &values)? {
        return Ok(value);
    }
    environment
        .call(&name, &values)?
        .ok_or(SqlError::UndefinedFunction { name })
}

fn general_function(name: &str, arguments: &[Value]) -> Result<Option<Value>, SqlError> {
    let value = match (name, arguments) {
        ("lower", [value]) => Value::text(value.to_string().to_lowercase()),
        ("upper", [value]) => Value::text(value.to_string().to_uppercase()),
        ("length", [Value::Null]) => Value::Null,
        ("length", [value]) => {
            let length = value.to_string().chars().count();
            Value::Integer(i64::try_from(length).map_err(|_| SqlError::OutOfRange)?)
        }
        ("abs", [Value::Integer(number)]) => {
            Value::Integer(number.checked_abs().ok_or(SqlError::OutOfRange)?)
        }
        ("repeat", [Value::Text(text), count]) => repeat(text, integer(count)?)?,
        _ => return Ok(None),
    };
    Ok(Some(value))
}

/// Longest text that `repeat` may build, in bytes.
const MAXIMUM_REPEAT_BYTES: usize = 16 * 1024 * 1024;

fn repeat(text: &str, count: i64) -> Result<Value, SqlError> {
    let count = usize::try_from(count).unwrap_or(0);
    if text.len().saturating_mul(count) > MAXIMUM_REPEAT_BYTES {
        return Err(SqlError::LimitExceeded {
            what: "result of repeat",
        });
    }
    Ok(Value::text(text.repeat(count)))
}
