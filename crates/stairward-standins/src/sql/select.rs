//! `SELECT`: projection, filter, order, limit and aggregates over one relation.

use std::cmp::Ordering;
use std::sync::Arc;

use sqlparser::ast::{
    self, Expr, LimitClause, OrderByExpr, OrderByKind, OrderBySort, Query, SelectItem, SetExpr,
};

use super::aggregate::{fold_aggregates, has_aggregate};
use super::environment::{Environment, StatementContext};
use super::expression::{Scope, evaluate};
use super::expression_type::expression_type;
use super::names::identifier;
use super::operators::integer;
use super::source::{Source, read_source};
use super::{Answer, Column, Key, LockKey, MAXIMUM_RESULT_ROWS, Row, SqlError, Value, ValueType};

/// A query's answer, and the rows it locks (`FOR UPDATE`).
#[derive(Debug, Clone, Default)]
pub struct Selection {
    /// The answer.
    pub answer: Answer,
    /// Rows to lock before the answer may be given.
    pub locks: Vec<LockKey>,
}

/// Runs a query.
///
/// # Errors
/// [`SqlError::Unsupported`] for anything beyond the subset, and the errors of its expressions.
pub fn select(query: &Query, context: &mut StatementContext<'_>) -> Result<Selection, SqlError> {
    let body = match query.body.as_ref() {
        SetExpr::Select(body) => body,
        SetExpr::Query(inner) => return select(inner, context),
        other => {
            return Err(SqlError::Unsupported {
                feature: format!("query {other}"),
            });
        }
    };
    refuse_unsupported(query, body)?;
    let filter = body.selection.as_ref();
    let mut source = read_source(&body.from, filter, context)?;
    filter_rows(&mut source, filter, context)?;
    let columns = projected_columns(&body.projection, &source, context.environment)?;
    if body.projection.iter().any(item_has_aggregate) {
        let row = aggregate_row(&body.projection, &source, context)?;
        return Ok(Selection {
            answer: Answer::rows(columns, vec![row]),
            locks: Vec::new(),
        });
    }
    order_rows(&mut source, query, &body.projection, context)?;
    limit_rows(&mut source, query, context)?;
    let locks = locked_rows(query, &source);
    let mut rows = Vec::with_capacity(source.rows.len());
    for (_, row) in &source.rows {
        rows.push(project(&body.projection, &source.columns, row, context)?);
    }
    if body.distinct.is_some() {
        rows.sort();
        rows.dedup();
    }
    Ok(Selection {
        answer: Answer::rows(columns, rows),
        locks,
    })
}

fn refuse_unsupported(query: &Query, body: &ast::Select) -> Result<(), SqlError> {
    let grouped = !matches!(&body.group_by, ast::GroupByExpr::Expressions(by, _) if by.is_empty());
    let feature = if query.with.is_some() {
        "WITH"
    } else if grouped {
        "GROUP BY"
    } else if body.having.is_some() {
        "HAVING"
    } else if body.into.is_some() {
        "SELECT INTO"
    } else {
        return Ok(());
    };
    Err(SqlError::Unsupported {
        feature: feature.to_owned(),
    })
}

/// Keeps the rows for which the condition holds.
///
/// # Errors
/// The errors of the condition.
pub fn filter_rows(
    source: &mut Source,
    filter: Option<&Expr>,
    context: &mut StatementContext<'_>,
) -> Result<(), SqlError> {
    let Some(filter) = filter else {
        return Ok(());
    };
    let mut kept = Vec::new();
    for (key, row) in std::mem::take(&mut source.rows) {
        let scope = Scope {
            columns: &source.columns,
            row: &row,
            parameters: context.parameters,
        };
        if evaluate(filter, scope, context.environment)?.is_true() {
            kept.push((key, row));
        }
    }
    source.rows = kept;
    Ok(())
}

fn order_rows(
    source: &mut Source,
    query: &Query,
    projection: &[SelectItem],
    context: &mut StatementContext<'_>,
) -> Result<(), SqlError> {
    let Some(order) = &query.order_by else {
        return Ok(());
    };
    let OrderByKind::Expressions(expressions) = &order.kind else {
        return Err(SqlError::Unsupported {
            feature: "ORDER BY ALL".to_owned(),
        });
    };
    let mut keyed: Vec<(Vec<Value>, (Key, Row))> = Vec::new();
    for (key, row) in std::mem::take(&mut source.rows) {
        let scope = Scope {
            columns: &source.columns,
            row: &row,
            parameters: context.parameters,
        };
        let mut sort_key = Vec::new();
        for order in expressions {
            let expression = ordering_expression(&order.expr, projection);
            sort_key.push(evaluate(expression, scope, context.environment)?);
        }
        keyed.push((sort_key, (key, row)));
    }
    keyed.sort_by(|left, right| compare_keys(&left.0, &right.0, expressions));
    source.rows = keyed.into_iter().map(|(_, row)| row).collect();
    Ok(())
}

/// `ORDER BY 2` means the second result column, `ORDER BY alias` the one of that alias.
fn ordering_expression<'a>(expression: &'a Expr, projection: &'a [SelectItem]) -> &'a Expr {
    let place = expression.to_string().parse::<usize>().ok();
    if let Some(item) = place.and_then(|place| projection.get(place.wrapping_sub(1))) {
        return match item {
            SelectItem::UnnamedExpr(found) | SelectItem::ExprWithAlias { expr: found, .. } => found,
            _ => expression,
        };
    }
    let Expr::Identifier(name) = expression else {
        return expression;
    };
    let aliased = projection.iter().find_map(|item| match item {
        SelectItem::ExprWithAlias { expr, alias } if identifier(alias) == identifier(name) => {
            Some(expr)
        }
        _ => None,
    });
    aliased.unwrap_or(expression)
}

fn compare_keys(left: &[Value], right: &[Value], order: &[OrderByExpr]) -> Ordering {
    let pairs = left.iter().zip(right).zip(order);
    pairs
        .map(|((left, right), order)| compare_key(left, right, order))
        .find(|ordering| ordering.is_ne())
        .unwrap_or(Ordering::Equal)
}

fn compare_key(left: &Value, right: &Value, order: &OrderByExpr) -> Ordering {
    let descending = matches!(order.options.sort, Some(OrderBySort::Desc));
    let nulls_first = order.options.nulls_first.unwrap_or(descending);
    match (left.is_null(), right.is_null()) {
        (true, true) => Ordering::Equal,
        (true, false) if nulls_first => Ordering::Less,
        (true, false) => Ordering::Greater,
        (false, true) if nulls_first => Ordering::Greater,
        (false, true) => Ordering::Less,
        (false, false) if descending => right.cmp(left),
        (false, false) => left.cmp(right),
    }
}

fn limit_rows(
    source: &mut Source,
    query: &Query,
    context: &mut StatementContext<'_>,
) -> Result<(), SqlError> {
    let (limit, offset) = match &query.limit_clause {
        None => (None, None),
        Some(LimitClause::LimitOffset { limit, offset, .. }) => {
            (limit.as_ref(), offset.as_ref().map(|offset| &offset.value))
        }
        Some(LimitClause::OffsetCommaLimit { offset, limit }) => (Some(limit), Some(offset)),
    };
    let mut count = |expression: Option<&Expr>| -> Result<Option<usize>, SqlError> {
        let Some(expression) = expression else {
            return Ok(None);
        };
        let value = context.constant(expression)?;
        if value.is_null() {
            return Ok(None);
        }
        Ok(Some(usize::try_from(integer(&value)?).unwrap_or(0)))
    };
    if let Some(offset) = count(offset)? {
        source.rows.drain(..offset.min(source.rows.len()));
    }
    if let Some(limit) = count(limit)? {
        source.rows.truncate(limit);
    }
    if source.rows.len() > MAXIMUM_RESULT_ROWS {
        return Err(SqlError::LimitExceeded { what: "result" });
    }
    Ok(())
}

fn locked_rows(query: &Query, source: &Source) -> Vec<LockKey> {
    let Some(table) = source.table.as_ref().filter(|_| !query.locks.is_empty()) else {
        return Vec::new();
    };
    let keys = source.rows.iter().map(|(key, _)| key.clone());
    keys.map(|key| LockKey::Row(Arc::clone(table), key))
        .collect()
}

/// The result columns of a projection.
///
/// # Errors
/// [`SqlError::UndefinedColumn`] and [`SqlError::UndefinedFunction`] for unknown names.
pub fn projected_columns(
    projection: &[SelectItem],
    source: &Source,
    environment: &dyn Environment,
) -> Result<Vec<Column>, SqlError> {
    let mut columns = Vec::new();
    for item in projection {
        match item {
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                columns.extend(source.columns.iter().cloned());
            }
            SelectItem::UnnamedExpr(expression) => columns.push(Column::new(
                column_name(expression),
                expression_type(expression, &source.columns, environment)
                    .unwrap_or(ValueType::Text),
            )),
            SelectItem::ExprWithAlias { expr, alias } => columns.push(Column::new(
                identifier(alias),
                expression_type(expr, &source.columns, environment).unwrap_or(ValueType::Text),
            )),
            other => {
                return Err(SqlError::Unsupported {
                    feature: format!("result column {other}"),
                });
            }
        }
    }
    Ok(columns)
}

fn column_name(expression: &Expr) -> String {
    match expression {
        Expr::Identifier(name) => identifier(name),
        Expr::CompoundIdentifier(names) => names.last().map(identifier).unwrap_or_default(),
        Expr::Function(function) => super::object_name(&function.name),
        Expr::Nested(inner) | Expr::Cast { expr: inner, .. } => column_name(inner),
        _ => "?column?".to_owned(),
    }
}

/// The result row of a projection for one row.
///
/// # Errors
/// The errors of its expressions.
pub fn project(
    projection: &[SelectItem],
    columns: &[Column],
    row: &Row,
    context: &mut StatementContext<'_>,
) -> Result<Row, SqlError> {
    let scope = Scope {
        columns,
        row,
        parameters: context.parameters,
    };
    let mut values = Vec::new();
    for item in projection {
        match item {
            SelectItem::UnnamedExpr(expression)
            | SelectItem::ExprWithAlias {
                expr: expression, ..
            } => values.push(evaluate(expression, scope, context.environment)?),
            _ => values.extend(row.iter().cloned()),
        }
    }
    Ok(values.into())
}

fn item_has_aggregate(item: &SelectItem) -> bool {
    match item {
        SelectItem::UnnamedExpr(expression)
        | SelectItem::ExprWithAlias {
            expr: expression, ..
        } => has_aggregate(expression),
        _ => false,
    }
}

fn aggregate_row(
    projection: &[SelectItem],
    source: &Source,
    context: &mut StatementContext<'_>,
) -> Result<Row, SqlError> {
    let mut values = Vec::new();
    for item in projection {
        let (SelectItem::UnnamedExpr(expression)
        | SelectItem::ExprWithAlias {
            expr: expression, ..
        }) = item
        else {
            return Err(SqlError::Unsupported {
                feature: "aggregates beside *".to_owned(),
            });
        };
        let mut folded = expression.clone();
        fold_aggregates(&mut folded, source, context)?;
        values.push(context.constant(&folded)?);
    }
    Ok(values.into())
}
