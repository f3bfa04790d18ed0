//! Parsed statements.

use std::sync::Arc;

use sqlparser::ast;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::{Parser, ParserError};
use sqlparser::tokenizer::{Token, TokenWithSpan, Tokenizer};

use super::SqlError;

/// A statement with its text. Cheap to clone.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// The text as received, with its comments.
    pub text: Arc<str>,
    /// The syntax tree; `None` for an empty statement.
    pub tree: Option<Arc<ast::Statement>>,
}

impl Statement {
    /// Parses the statements of a text, which are separated by semicolons. Without any statement
    /// the result is a single empty one.
    ///
    /// # Errors
    /// [`SqlError::Syntax`] when a statement does not parse.
    pub fn parse(text: &str) -> Result<Vec<Self>, SqlError> {
        let dialect = PostgreSqlDialect {};
        let tokens = Tokenizer::new(&dialect, text)
            .tokenize_with_location()
            .map_err(|error| SqlError::Syntax {
                message: error.to_string(),
            })?;
        let parts: Vec<&[TokenWithSpan]> = tokens
            .split(|token| token.token == Token::SemiColon)
            .filter(|part| !is_blank(part))
            .collect();
        match parts.as_slice() {
            [] => Ok(vec![Self {
                text: text.into(),
                tree: None,
            }]),
            [only] => Ok(vec![parse_part(only, text.into())?]),
            several => several
                .iter()
                .map(|part| parse_part(part, text_of(part)))
                .collect(),
        }
    }

    /// Parses a text that must hold at most one statement.
    ///
    /// # Errors
    /// [`SqlError::Syntax`] when it does not parse, [`SqlError::SeveralStatements`] when there
    /// are more.
    pub fn parse_one(text: &str) -> Result<Self, SqlError> {
        let mut statements = Self::parse(text)?;
        match statements.pop() {
            Some(statement) if statements.is_empty() => Ok(statement),
            _ => Err(SqlError::SeveralStatements),
        }
    }

    /// Whether the statement ends a transaction block, so that it may run in a failed one.
    #[must_use]
    pub fn ends_transaction(&self) -> bool {
        matches!(
            self.tree.as_deref(),
            Some(ast::Statement::Commit { .. } | ast::Statement::Rollback { .. })
        )
    }

    /// How long `pg_sleep` calls among a query's result columns ask to sleep, in seconds: literal
    /// arguments only.
    #[must_use]
    pub fn sleep_seconds(&self) -> f64 {
        let Some(ast::Statement::Query(query)) = self.tree.as_deref() else {
            return 0.0;
        };
        let ast::SetExpr::Select(select) = query.body.as_ref() else {
            return 0.0;
        };
        select.projection.iter().filter_map(sleep_of_item).sum()
    }
}

fn sleep_of_item(item: &ast::SelectItem) -> Option<f64> {
    let (ast::SelectItem::UnnamedExpr(ast::Expr::Function(function))
    | ast::SelectItem::ExprWithAlias {
        expr: ast::Expr::Function(function),
        ..
    }) = item
    else {
        return None;
    };
    if super::object_name(&function.name) != "pg_sleep" {
        return None;
    }
    let ast::FunctionArguments::List(list) = &function.args else {
        return None;
    };
    let [ast::FunctionArg::Unnamed(ast::FunctionArgExpr::Expr(argument))] = list.args.as_slice()
    else {
        return None;
    };
    let seconds: f64 = argument.to_string().parse().ok()?;
    (seconds.is_finite() && seconds > 0.0).then_some(seconds)
}

fn is_blank(part: &[TokenWithSpan]) -> bool {
    part.iter()
        .all(|token| matches!(token.token, Token::Whitespace(_) | Token::EOF))
}

fn text_of(part: &[TokenWithSpan]) -> Arc<str> {
    let text: String = part.iter().map(|token| token.token.to_string()).collect();
    text.trim().into()
}

fn parse_part(part: &[TokenWithSpan], text: Arc<str>) -> Result<Statement, SqlError> {
    let dialect = PostgreSqlDialect {};
    let mut parser = Parser::new(&dialect).with_tokens_with_locations(part.to_vec());
    let syntax = |error: ParserError| SqlError::Syntax {
        message: error.to_string(),
    };
    let tree = parser.parse_statement().map_err(syntax)?;
    let rest = parser.next_token();
    if rest.token != Token::EOF {
        return Err(SqlError::Syntax {
            message: format!("unexpected {rest}"),
        });
    }
    Ok(Statement {
        text,
        tree: Some(Arc::new(tree)),
    })
}
