//! Classification of SQL text by the `sqlparser` syntax tree. Text that cannot be classified is treated as a write.

use sqlparser::ast::{
    ContextModifier, DiscardObject, ObjectName, Reset, Set, Statement, TransactionAccessMode,
    TransactionMode, UtilityOption,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::keywords::Keyword;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};
use stairward_types::AccessClass;

use crate::class::{
    SessionChange, StatementClass, TransactionEnd, TransactionStart, UnsupportedFeature,
};
use crate::keywords::{by_first_word, by_keywords};
use crate::write_search::by_syntax_tree;

/// Maximum length of a parsed text, in bytes. Longer text is classified by its first word.
const MAXIMUM_PARSED_BYTES: usize = 256 * 1024;
/// Maximum number of operators in a parsed text. Each may deepen the syntax tree by one level, and
/// the recursive traversal and drop of the tree must fit into a thread's stack.
const MAXIMUM_OPERATORS: usize = 500;

/// Classifies a text of one or more statements.
#[must_use]
pub fn classify(text: &str) -> StatementClass {
    if text.len() > MAXIMUM_PARSED_BYTES {
        return by_first_word(text.split_whitespace().next().unwrap_or_default());
    }
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, text).tokenize() else {
        return by_first_word(text.split_whitespace().next().unwrap_or_default());
    };
    let operators = tokens.iter().filter(|token| is_operator(token)).count();
    if operators > MAXIMUM_OPERATORS {
        return by_keywords(&tokens);
    }
    match Parser::new(&dialect)
        .with_tokens(tokens.clone())
        .parse_statements()
    {
        Ok(statements) => classify_all(&statements),
        Err(_) => by_keywords(&tokens),
    }
}

fn classify_all(statements: &[Statement]) -> StatementClass {
    let mut class = StatementClass::empty();
    for statement in statements {
        class.append(classify_statement(statement));
    }
    class
}

pub(crate) fn read() -> StatementClass {
    StatementClass {
        statements: 1,
        ..StatementClass::empty()
    }
}

fn write() -> StatementClass {
    StatementClass {
        access: AccessClass::Write,
        ..read()
    }
}

pub(crate) fn refused(feature: UnsupportedFeature) -> StatementClass {
    StatementClass {
        refused: Some(feature),
        ..write()
    }
}

/// The class of a statement that only changes session state, which any back end can run.
fn changes(change: SessionChange) -> StatementClass {
    StatementClass {
        alters_session: true,
        changes: vec![change],
        ..read()
    }
}

pub(crate) fn begins(start: TransactionStart) -> StatementClass {
    let access = match start {
        TransactionStart::ReadOnly => AccessClass::Read,
        TransactionStart::ReadWrite => AccessClass::Write,
    };
    StatementClass {
        access,
        leaves_open: Some(start),
        ..read()
    }
}

pub(crate) fn ends(end: TransactionEnd) -> StatementClass {
    StatementClass {
        has_commit: end == TransactionEnd::Commit,
        ends: Some(end),
        ..read()
    }
}

fn classify_statement(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(_) => by_syntax_tree(statement),
        Statement::Insert(_) | Statement::Update(_) | Statement::Delete(_) => {
            let mut class = by_syntax_tree(statement);
            class.access = AccessClass::Write;
            class
        }
        Statement::ShowVariable { .. } => read(),
        Statement::Explain {
            analyze,
            options,
            statement,
            ..
        } => classify_explain(*analyze, options.as_deref(), statement),
        Statement::StartTransaction { modes, .. } => begins(transaction_start(modes)),
        Statement::Commit { chain, .. } => chained(TransactionEnd::Commit, *chain),
        Statement::Rollback {
            savepoint: Some(_), ..
        }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. }
        | Statement::Fetch { .. }
        | Statement::Close { .. } => read(),
        Statement::Rollback { chain, .. } => chained(TransactionEnd::Rollback, *chain),
        Statement::Set(set) => classify_set(set),
        Statement::Reset(reset) => classify_reset(&reset.reset),
        Statement::Discard { object_type } => classify_discard(*object_type),
        Statement::Prepare { name, .. } => changes(SessionChange::Prepare {
            name: name.value.clone(),
            text: statement.to_string(),
        }),
        Statement::Deallocate { name, .. } => changes(deallocate(&name.value)),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            refused(UnsupportedFeature::Listen)
        }
        Statement::Copy { .. } => refused(UnsupportedFeature::Copy),
        other => classify_other(other),
    }
}

/// Classifies data definition and all remaining statements as writes. Cursors are classified by their query; temporary
/// objects and `WITH HOLD` cursors are unsupported.
fn classify_other(statement: &Statement) -> StatementClass {
    match statement {
        Statement::CreateTable(table) if table.temporary => {
            refused(UnsupportedFeature::TemporaryObject)
        }
        Statement::CreateView(view) if view.temporary => {
            refused(UnsupportedFeature::TemporaryObject)
        }
        Statement::CreateSequence {
            temporary: true, ..
        } => refused(UnsupportedFeature::TemporaryObject),
        Statement::Declare { stmts, .. } => {
            if stmts.iter().any(|cursor| cursor.hold == Some(true)) {
                return refused(UnsupportedFeature::CursorWithHold);
            }
            by_syntax_tree(statement)
        }
        Statement::CreateTable(_) | Statement::CreateIndex(_) | Statement::Truncate(_) => {
            by_syntax_tree_of_write(statement)
        }
        _ => StatementClass {
            alters_session: true,
            ..by_syntax_tree_of_write(statement)
        },
    }
}

fn classify_explain(
    analyze: bool,
    options: Option<&[UtilityOption]>,
    statement: &Statement,
) -> StatementClass {
    let runs = analyze
        || options.is_some_and(|options| {
            options
                .iter()
                .any(|option| option.name.value.eq_ignore_ascii_case("analyze"))
        });
    if runs {
        return classify_statement(statement);
    }
    read()
}

fn transaction_start(modes: &[TransactionMode]) -> TransactionStart {
    let is_read_only = modes.contains(&TransactionMode::AccessMode(
        TransactionAccessMode::ReadOnly,
    ));
    if is_read_only {
        TransactionStart::ReadOnly
    } else {
        TransactionStart::ReadWrite
    }
}

fn chained(end: TransactionEnd, chain: bool) -> StatementClass {
    let mut class = ends(end);
    if chain {
        class.access = AccessClass::Write;
        class.leaves_open = Some(TransactionStart::ReadWrite);
    }
    class
}

fn classify_set(set: &Set) -> StatementClass {
    match set {
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let values: Vec<String> = values.iter().map(ToString::to_string).collect();
            let local = *scope == Some(ContextModifier::Local);
            changes(assignment(plain_name(variable), values.join(", "), local))
        }
        Set::SetTimeZone { local, value } => {
            changes(assignment("timezone".to_owned(), value.to_string(), *local))
        }
        Set::SetNames { charset_name, .. } => changes(assignment(
            "client_encoding".to_owned(),
            format!("'{charset_name}'"),
            false,
        )),
        Set::SetTransaction { session: false, .. } => read(),
        Set::SetRole { .. } | Set::SetSessionAuthorization(_) => {
            refused(UnsupportedFeature::RoleChange)
        }
        _ => StatementClass::unknown(),
    }
}

fn assignment(name: String, value: String, local: bool) -> SessionChange {
    if value.eq_ignore_ascii_case("default") {
        return SessionChange::Reset { name };
    }
    SessionChange::Set { name, value, local }
}

fn classify_reset(reset: &Reset) -> StatementClass {
    match reset {
        Reset::ALL => changes(SessionChange::ResetAll),
        Reset::SessionAuthorization => refused(UnsupportedFeature::RoleChange),
        Reset::ConfigurationParameter(name) => changes(SessionChange::Reset {
            name: plain_name(name),
        }),
    }
}

fn classify_discard(object: DiscardObject) -> StatementClass {
    match object {
        DiscardObject::ALL => changes(SessionChange::DiscardAll),
        _ => StatementClass {
            alters_session: true,
            ..read()
        },
    }
}

fn deallocate(name: &str) -> SessionChange {
    if name.eq_ignore_ascii_case("all") {
        return SessionChange::DeallocateAll;
    }
    SessionChange::Deallocate {
        name: name.to_owned(),
    }
}

/// A name without quotes and in lower case.
pub(crate) fn plain_name(name: &ObjectName) -> String {
    let parts: Vec<String> = name
        .0
        .iter()
        .map(|part| match part.as_ident() {
            Some(identifier) => identifier.value.to_ascii_lowercase(),
            None => part.to_string(),
        })
        .collect();
    parts.join(".")
}

fn by_syntax_tree_of_write(statement: &Statement) -> StatementClass {
    let mut class = by_syntax_tree(statement);
    class.access = AccessClass::Write;
    class
}

/// Whether a token may deepen the syntax tree. The parser itself limits nesting by brackets.
fn is_operator(token: &Token) -> bool {
    match token {
        Token::Word(word) => matches!(
            word.keyword,
            Keyword::AND
                | Keyword::OR
                | Keyword::NOT
                | Keyword::IS
                | Keyword::UNION
                | Keyword::EXCEPT
                | Keyword::INTERSECT
                | Keyword::LIKE
                | Keyword::ILIKE
                | Keyword::BETWEEN
                | Keyword::COLLATE
                | Keyword::AT
        ),
        Token::Whitespace(_)
        | Token::Comma
        | Token::LParen
        | Token::RParen
        | Token::Number(..)
        | Token::SingleQuotedString(_)
        | Token::Placeholder(_)
        | Token::SemiColon
        | Token::Period => false,
        _ => true,
    }
}
