//! Types of parameters and results, found without running a statement.

use sqlparser::ast::{self, Expr, FromTable, SelectItem, SetExpr, Statement as Tree, TableObject};

use super::environment::{Environment, StatementContext};
use super::expression::{arguments, parameter_place};
use super::expression_type::expression_type;
use super::insert::column_places;
use super::names::{identifier, object_name};
use super::schema::value_type;
use super::select::projected_columns;
use super::source::{Source, columns_of, read_source};
use super::{Column, Description, SqlError, Statement, Table, ValueType, View};

/// Most parameters of one statement.
const MAXIMUM_PARAMETERS: usize = 65_535;

/// Finds the types of a statement's parameters and result.
/// `declared` holds what the client has said about the parameters.
///
/// # Errors
/// [`SqlError::UndefinedTable`] and the like for unknown names.
pub fn describe(
    statement: &Statement,
    declared: &[Option<ValueType>],
    view: View<'_>,
    environment: &mut dyn Environment,
) -> Result<Description, SqlError> {
    let Some(tree) = statement.tree.as_deref() else {
        return Ok(Description::default());
    };
    let mut finder = Finder {
        found: declared.to_vec(),
    };
    let columns = match tree {
        Tree::Query(query) => Some(finder.query(query, view, environment)?),
        Tree::Insert(insert) => finder.insert(insert, view, environment)?,
        Tree::Update(update) => finder.update(update, view, environment)?,
        Tree::Delete(delete) => finder.delete(delete, view, environment)?,
        Tree::ShowVariable { variable } => {
            let name = variable.iter().map(identifier).collect::<Vec<_>>();
            Some(vec![Column::new(name.join("."), ValueType::Text)])
        }
        _ => None,
    };
    let parameters = finder.found.into_iter();
    Ok(Description {
        parameters: parameters
            .map(|found| found.unwrap_or(ValueType::Text))
            .collect(),
        columns,
    })
}

/// Collects parameter types while walking a statement.
struct Finder {
    found: Vec<Option<ValueType>>,
}

impl Finder {
    /// Notes that an expression, if it is a parameter, is used as a value of a type.
    fn used_as(&mut self, expression: &Expr, wanted: Option<ValueType>) {
        let Expr::Value(value) = expression else {
            return;
        };
        let ast::Value::Placeholder(name) = &value.value else {
            return;
        };
        let Some(place) = parameter_place(name).filter(|place| *place < MAXIMUM_PARAMETERS) else {
            return;
        };
        if self.found.len() <= place {
            self.found.resize(place + 1, None);
        }
        if self.found[place].is_none() {
            self.found[place] = wanted;
        }
    }

    fn expression(&mut self, expression: &Expr, columns: &[Column], environment: &dyn Environment) {
        match expression {
            Expr::Value(_) => self.used_as(expression, None),
            Expr::Nested(inner)
            | Expr::UnaryOp { expr: inner, .. }
            | Expr::IsNull(inner)
            | Expr::IsTrue(inner)
            | Expr::IsNotNull(inner) => self.expression(inner, columns, environment),
            Expr::Cast {
                expr, data_type, ..
            } => {
                self.used_as(expr, value_type(data_type).ok());
                self.expression(expr, columns, environment);
            }
            Expr::BinaryOp { left, right, .. } => {
                self.used_as(left, expression_type(right, columns, environment));
                self.used_as(right, expression_type(left, columns, environment));
                self.expression(left, columns, environment);
                self.expression(right, columns, environment);
            }
            Expr::In {
                expr,
                target: ast::InTarget::List(list),
                ..
            } => {
                let wanted = expression_type(expr, columns, environment);
                for candidate in list {
                    self.used_as(candidate, wanted);
                }
                self.expression(expr, columns, environment);
            }
            Expr::Between {
                expr, low, high, ..
            } => {
                let wanted = expression_type(expr, columns, environment);
                self.used_as(low, wanted);
                self.used_as(high, wanted);
                self.expression(expr, columns, environment);
            }
            Expr::Function(function) => self.function(function, columns, environment),
            _ => {}
        }
    }

    fn function(
        &mut self,
        function: &ast::Function,
        columns: &[Column],
        environment: &dyn Environment,
    ) {
        let name = object_name(&function.name);
        let wanted = match name.as_str() {
            "pg_try_advisory_lock" | "pg_advisory_unlock" | "pg_terminate_backend" => {
                Some(ValueType::Int4)
            }
            _ => None,
        };
        for argument in arguments(function).unwrap_or_default() {
            self.used_as(argument, wanted);
            self.expression(argument, columns, environment);
        }
    }

    fn query(
        &mut self,
        query: &ast::Query,
        view: View<'_>,
        environment: &mut dyn Environment,
    ) -> Result<Vec<Column>, SqlError> {
        let SetExpr::Select(select) = query.body.as_ref() else {
            return Err(SqlError::Unsupported {
                feature: format!("query {}", query.body),
            });
        };
        for table in &select.from {
            self.table_arguments(&table.relation);
        }
        let source = shape(&select.from, view, environment)?;
        let columns = &source.columns;
        for item in &select.projection {
            if let SelectItem::UnnamedExpr(expression)
            | SelectItem::ExprWithAlias {
                expr: expression, ..
            } = item
            {
                self.expression(expression, columns, environment);
            }
        }
        if let Some(filter) = &select.selection {
            self.expression(filter, columns, environment);
        }
        if let Some(ast::LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
            let offset = offset.as_ref().map(|offset| &offset.value);
            for expression in limit.iter().chain(offset) {
                self.used_as(expression, Some(ValueType::Int8));
            }
        }
        self.projected(&select.projection, &source, environment)
    }

    /// Result columns, with the declared types of parameters that stand alone as columns.
    fn projected(
        &self,
        projection: &[SelectItem],
        source: &Source,
        environment: &dyn Environment,
    ) -> Result<Vec<Column>, SqlError> {
        let mut columns = projected_columns(projection, source, environment)?;
        if projection.len() != columns.len() {
            return Ok(columns);
        }
        for (item, column) in projection.iter().zip(&mut columns) {
            let (SelectItem::UnnamedExpr(Expr::Value(value))
            | SelectItem::ExprWithAlias {
                expr: Expr::Value(value),
                ..
            }) = item
            else {
                continue;
            };
            if let ast::Value::Placeholder(name) = &value.value {
                let place = parameter_place(name);
                let found = place.and_then(|place| self.found.get(place).copied().flatten());
                column.value_type = found.unwrap_or(ValueType::Text);
            }
        }
        Ok(columns)
    }

    fn table_arguments(&mut self, relation: &ast::TableFactor) {
        let arguments: &[ast::FunctionArg] = match relation {
            ast::TableFactor::Table {
                args: Some(arguments),
                ..
            } => &arguments.args,
            ast::TableFactor::Function { args, .. } => args,
            _ => &[],
        };
        for argument in arguments {
            if let ast::FunctionArg::Unnamed(ast::FunctionArgExpr::Expr(expression)) = argument {
                self.used_as(expression, Some(ValueType::Int8));
            }
        }
    }

    fn insert(
        &mut self,
        insert: &ast::Insert,
        view: View<'_>,
        environment: &mut dyn Environment,
    ) -> Result<Option<Vec<Column>>, SqlError> {
        let TableObject::TableName(name) = &insert.table else {
            return Ok(None);
        };
        let (_, table) = view.table(&object_name(name))?;
        let places = column_places(insert, table)?;
        match insert.source.as_ref().map(|query| query.body.as_ref()) {
            Some(SetExpr::Values(values)) => {
                for row in &values.rows {
                    for (place, expression) in places.iter().zip(&row.content) {
                        self.used_as(expression, Some(table.columns[*place].value_type));
                        self.expression(expression, &[], environment);
                    }
                }
            }
            Some(SetExpr::Select(select)) => self.inserted_select(select, &places, table),
            _ => {}
        }
        self.returned(insert.returning.as_deref(), table, environment)
    }

    fn inserted_select(&mut self, select: &ast::Select, places: &[usize], table: &Table) {
        for (place, item) in places.iter().zip(&select.projection) {
            if let SelectItem::UnnamedExpr(expression) = item {
                self.used_as(expression, Some(table.columns[*place].value_type));
            }
        }
    }

    fn update(
        &mut self,
        update: &ast::Update,
        view: View<'_>,
        environment: &mut dyn Environment,
    ) -> Result<Option<Vec<Column>>, SqlError> {
        let Some(table) = named_table(std::slice::from_ref(&update.table), view)? else {
            return Ok(None);
        };
        let columns = columns_of(table);
        for assignment in &update.assignments {
            if let ast::AssignmentTarget::ColumnName(name) = &assignment.target {
                let place = table.column(&object_name(name))?;
                self.used_as(&assignment.value, Some(table.columns[place].value_type));
            }
            self.expression(&assignment.value, &columns, environment);
        }
        if let Some(filter) = &update.selection {
            self.expression(filter, &columns, environment);
        }
        self.returned(update.returning.as_deref(), table, environment)
    }

    fn delete(
        &mut self,
        delete: &ast::Delete,
        view: View<'_>,
        environment: &mut dyn Environment,
    ) -> Result<Option<Vec<Column>>, SqlError> {
        let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
        let Some(table) = named_table(from, view)? else {
            return Ok(None);
        };
        if let Some(filter) = &delete.selection {
            self.expression(filter, &columns_of(table), environment);
        }
        self.returned(delete.returning.as_deref(), table, environment)
    }

    fn returned(
        &self,
        items: Option<&[SelectItem]>,
        table: &Table,
        environment: &dyn Environment,
    ) -> Result<Option<Vec<Column>>, SqlError> {
        let Some(items) = items else {
            return Ok(None);
        };
        let source = Source {
            columns: columns_of(table),
            ..Source::default()
        };
        self.projected(items, &source, environment).map(Some)
    }
}

fn named_table<'a>(
    from: &[ast::TableWithJoins],
    view: View<'a>,
) -> Result<Option<&'a Table>, SqlError> {
    let Some(ast::TableFactor::Table { name, .. }) = from.first().map(|table| &table.relation)
    else {
        return Ok(None);
    };
    view.table(&object_name(name)).map(|(_, table)| Some(table))
}

/// The columns of a `FROM` clause, without its rows.
fn shape(
    from: &[ast::TableWithJoins],
    view: View<'_>,
    environment: &mut dyn Environment,
) -> Result<Source, SqlError> {
    if let [table] = from
        && table.joins.is_empty()
        && let ast::TableFactor::Table {
            name, args: None, ..
        } = &table.relation
        && environment.relation(&object_name(name)).is_none()
        && let Ok((_, table)) = view.table(&object_name(name))
    {
        return Ok(Source {
            columns: columns_of(table),
            ..Source::default()
        });
    }
    // Parameters of a series only bound its rows.
    let parameters = vec![super::Value::Integer(0); MAXIMUM_SERIES_PARAMETERS];
    let mut context = StatementContext {
        view,
        parameters: &parameters,
        environment,
    };
    read_source(from, None, &mut context)
}

/// Parameters that a series in a `FROM` clause may refer to.
const MAXIMUM_SERIES_PARAMETERS: usize = 64;
