//! Errors reported to clients.

use std::fmt;
use std::time::Duration;

use stairward_routing::Failure;
use stairward_types::ResultCode;

/// SQLSTATE `invalid_sql_statement_name`.
const INVALID_SQL_STATEMENT_NAME: &str = "26000";

/// An error response that the proxy sends instead of a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum EdgeError {
    /// An error with a result code.
    Result {
        /// The result code.
        code: ResultCode,
        /// When to retry, if a retry can succeed.
        retry_after: Option<Duration>,
        /// Further details; empty if the code says enough.
        explanation: String,
    },
    /// A `Bind` or `Describe` refers to a prepared statement that the session doesn't have.
    /// Reported with PostgreSQL's SQLSTATE and message, because drivers look for them.
    UnknownStatement {
        /// The statement's name.
        name: String,
    },
}

impl EdgeError {
    pub(super) fn new(code: ResultCode) -> Self {
        Failure::new(code).into()
    }

    pub(super) fn with_explanation(code: ResultCode, explanation: impl fmt::Display) -> Self {
        Self::Result {
            code,
            retry_after: None,
            explanation: explanation.to_string(),
        }
    }

    /// The result code, if the error has one.
    pub(super) fn code(&self) -> Option<ResultCode> {
        match self {
            Self::Result { code, .. } => Some(*code),
            Self::UnknownStatement { .. } => None,
        }
    }

    pub(super) fn sqlstate(&self) -> &'static str {
        match self {
            Self::Result { code, .. } => code.sqlstate(),
            Self::UnknownStatement { .. } => INVALID_SQL_STATEMENT_NAME,
        }
    }

    pub(super) fn message(&self) -> String {
        match self {
            Self::Result {
                code, explanation, ..
            } if explanation.is_empty() => code.to_string(),
            Self::Result {
                code, explanation, ..
            } => format!("{code}: {explanation}"),
            Self::UnknownStatement { name } => {
                format!("prepared statement \"{name}\" does not exist")
            }
        }
    }

    /// The outcome class and the retry delay, in a form that programs can parse.
    pub(super) fn detail(&self) -> String {
        match self {
            Self::Result {
                code,
                retry_after: Some(delay),
                ..
            } => format!(
                "outcome={}; retry_after_ms={}",
                code.class(),
                delay.as_millis()
            ),
            Self::Result { code, .. } => format!("outcome={}", code.class()),
            Self::UnknownStatement { .. } => "outcome=not run".to_owned(),
        }
    }

    /// Advice for the user; `None` if there is none.
    pub(super) fn hint(&self) -> Option<String> {
        match self {
            Self::Result {
                retry_after: Some(delay),
                ..
            } => Some(format!("Send it again after {} ms.", delay.as_millis())),
            _ => None,
        }
    }
}

impl From<Failure> for EdgeError {
    fn from(failure: Failure) -> Self {
        Self::Result {
            code: failure.code,
            retry_after: failure.retry_after,
            explanation: String::new(),
        }
    }
}
