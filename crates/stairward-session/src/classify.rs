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
use crate::keywords::{classify_by_first_word, classify_by_keywords};
use crate::write_search::classify_by_syntax_tree;

/// Maximum length of a parsed text, in bytes. Longer text is classified by its first word.
const MAXIMUM_PARSED_BYTES: usize = 256 * 1024;
/// Maximum number of operators in a parsed text. Each may deepen the syntax tree by one level, and
/// the recursive traversal and drop of the tree must fit into a thread's stack.
const MAXIMUM_OPERATORS: usize = 500;

/// Classifies a text of one or more statements.
#[must_use]
pub fn classify(text: &str) -> StatementClass {
    if text.len() > MAXIMUM_PARSED_BYTES {
        return classify_by_first_word(text.split_whitespace().next().unwrap_or_default());
    }
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, text).tokenize() else {
        return classify_by_first_word(text.split_whitespace().next().unwrap_or_default());
    };
    let operators = tokens.iter().filter(|token| is_operator(token)).count();
    if operators > MAXIMUM_OPERATORS {
        return classify_by_keywords(&tokens);
    }
    match Parser::new(&dialect)
        .with_tokens(tokens.clone())
        .parse_statements()
    {
        Ok(statements) => classify_all(&statements),
        Err(_) => classify_by_keywords(&tokens),
    }
}

fn classify_all(statements: &[Statement]) -> StatementClass {
    let mut class = StatementClass::empty();
    for statement in statements {
        class.append(classify_statement(statement));
    }
    class
}

pub(crate) fn read_class() -> StatementClass {
    StatementClass {
        statements: 1,
        ..StatementClass::empty()
    }
}

fn write_class() -> StatementClass {
    StatementClass {
        access: AccessClass::Write,
        ..read_class()
    }
}

pub(crate) fn unsupported_class(feature: UnsupportedFeature) -> StatementClass {
    StatementClass {
        refused: Some(feature),
        ..write_class()
    }
}

/// The class of a statement that only changes session state, which any back end can run.
fn session_change_class(change: SessionChange) -> StatementClass {
    StatementClass {
        alters_session: true,
        changes: vec![change],
        ..read_class()
    }
}

pub(crate) fn begin_class(start: TransactionStart) -> StatementClass {
    let access = match start {
        TransactionStart::ReadOnly => AccessClass::Read,
        TransactionStart::ReadWrite => AccessClass::Write,
    };
    StatementClass {
        access,
        leaves_open: Some(start),
        ..read_class()
    }
}

pub(crate) fn end_class(end: TransactionEnd) -> StatementClass {
    StatementClass {
        has_commit: end == TransactionEnd::Commit,
        ends: Some(end),
        ..read_class()
    }
}

fn classify_statement(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(_) => classify_by_syntax_tree(statement),
        Statement::Insert(_) | Statement::Update(_) | Statement::Delete(_) => {
            let mut class = classify_by_syntax_tree(statement);
            class.access = AccessClass::Write;
            class
        }
        Statement::ShowVariable { .. } => read_class(),
        Statement::Explain {
            analyze,
            options,
            statement,
            ..
        } => classify_explain(*analyze, options.as_deref(), statement),
        Statement::StartTransaction { modes, .. } => begin_class(transaction_start(modes)),
        Statement::Commit { chain, .. } => chained_end_class(TransactionEnd::Commit, *chain),
        Statement::Rollback {
            savepoint: Some(_), ..
        }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. }
        | Statement::Fetch { .. }
        | Statement::Close { .. } => read_class(),
        Statement::Rollback { chain, .. } => chained_end_class(TransactionEnd::Rollback, *chain),
        Statement::Set(set) => classify_set(set),
        Statement::Reset(reset) => classify_reset(&reset.reset),
        Statement::Discard { object_type } => classify_discard(*object_type),
        Statement::Prepare { name, .. } => session_change_class(SessionChange::Prepare {
            name: name.value.clone(),
            text: statement.to_string(),
        }),
        Statement::Deallocate { name, .. } => session_change_class(deallocate(&name.value)),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            unsupported_class(UnsupportedFeature::Listen)
        }
        Statement::Copy { .. } => unsupported_class(UnsupportedFeature::Copy),
        other => classify_other(other),
    }
}

/// Classifies data definition and all remaining statements as writes. Cursors are classified by their query; temporary
/// objects and `WITH HOLD` cursors are unsupported.
fn classify_other(statement: &Statement) -> StatementClass {
    match statement {
        Statement::CreateTable(table) if table.temporary => {
            unsupported_class(UnsupportedFeature::TemporaryObject)
        }
        Statement::CreateView(view) if view.temporary => {
            unsupported_class(UnsupportedFeature::TemporaryObject)
        }
        Statement::CreateSequence {
            temporary: true, ..
        } => unsupported_class(UnsupportedFeature::TemporaryObject),
        Statement::Declare { stmts, .. } => {
            if stmts.iter().any(|cursor| cursor.hold == Some(true)) {
                return unsupported_class(UnsupportedFeature::CursorWithHold);
            }
            classify_by_syntax_tree(statement)
        }
        Statement::CreateTable(_) | Statement::CreateIndex(_) | Statement::Truncate(_) => {
            classify_write_by_syntax_tree(statement)
        }
        _ => StatementClass {
            alters_session: true,
            ..classify_write_by_syntax_tree(statement)
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
    read_class()
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

fn chained_end_class(end: TransactionEnd, chain: bool) -> StatementClass {
    let mut class = end_class(end);
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
            session_change_class(assignment(
                unquoted_name(variable),
                values.join(", "),
                local,
            ))
        }
        Set::SetTimeZone { local, value } => {
            session_change_class(assignment("timezone".to_owned(), value.to_string(), *local))
        }
        Set::SetNames { charset_name, .. } => session_change_class(assignment(
            "client_encoding".to_owned(),
            format!("'{charset_name}'"),
            false,
        )),
        Set::SetTransaction { session: false, .. } => read_class(),
        Set::SetRole { .. } | Set::SetSessionAuthorization(_) => {
            unsupported_class(UnsupportedFeature::RoleChange)
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
        Reset::ALL => session_change_class(SessionChange::ResetAll),
        Reset::SessionAuthorization => unsupported_class(UnsupportedFeature::RoleChange),
        Reset::ConfigurationParameter(name) => session_change_class(SessionChange::Reset {
            name: unquoted_name(name),
        }),
    }
}

fn classify_discard(object: DiscardObject) -> StatementClass {
    match object {
        DiscardObject::ALL => session_change_class(SessionChange::DiscardAll),
        _ => StatementClass {
            alters_session: true,
            ..read_class()
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
pub(crate) fn unquoted_name(name: &ObjectName) -> String {
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

fn classify_write_by_syntax_tree(statement: &Statement) -> StatementClass {
    let mut class = classify_by_syntax_tree(statement);
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
