//! What a caller may conclude from how its request ended.

use stairward_types::{OutcomeClass, ResultCode};
use tokio_postgres::error::SqlState;

/// Prefix of stairward's own result codes in an error message.
const RESULT_CODE_PREFIX: &str = "SW";

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The back end answered.
    Answered,
    /// The back end refused the statement as a whole: it did not run.
    Refused {
        /// The SQLSTATE of the refusal.
        sqlstate: String,
    },
    /// Stairward says that the request did not run.
    NotRun {
        /// Why.
        code: ResultCode,
    },
    /// The request may or may not have run.
    Unknown {
        /// Why; absent when the connection ended without a word.
        code: Option<ResultCode>,
    },
    /// No proxy could be reached; the request was never sent.
    NotSent,
}

impl Outcome {
    /// Reads the outcome from the error that a client library reported.
    #[must_use]
    pub fn from_error(error: &tokio_postgres::Error) -> Self {
        let Some(database_error) = error.as_db_error() else {
            return Self::Unknown { code: None };
        };
        match result_code(database_error.message()) {
            Some(code) => Self::from_code(code),
            None => Self::from_sqlstate(database_error.code()),
        }
    }

    /// The outcome that a result code stands for.
    #[must_use]
    pub const fn from_code(code: ResultCode) -> Self {
        match code.class() {
            OutcomeClass::Answered => Self::Answered,
            OutcomeClass::NotRun => Self::NotRun { code },
            OutcomeClass::OutcomeUnknown => Self::Unknown { code: Some(code) },
        }
    }

    fn from_sqlstate(state: &SqlState) -> Self {
        let connection_lost = state.code().starts_with("08");
        if connection_lost {
            Self::Unknown { code: None }
        } else {
            Self::Refused {
                sqlstate: state.code().to_owned(),
            }
        }
    }

    /// The result code, when stairward gave one.
    #[must_use]
    pub const fn code(&self) -> Option<ResultCode> {
        match self {
            Self::NotRun { code } => Some(*code),
            Self::Unknown { code } => *code,
            Self::Answered | Self::Refused { .. } | Self::NotSent => None,
        }
    }

    /// The outcome as histories record it.
    #[must_use]
    pub const fn to_history(&self) -> stairward_checker::Outcome {
        match self {
            Self::Answered => stairward_checker::Outcome::Answered,
            Self::Refused { .. } => stairward_checker::Outcome::Rejected,
            Self::NotRun { .. } | Self::NotSent => stairward_checker::Outcome::NotRun,
            Self::Unknown { code: Some(_) } => stairward_checker::Outcome::OutcomeUnknown,
            Self::Unknown { code: None } => stairward_checker::Outcome::ConnectionLost,
        }
    }

    /// A short name for counting.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Self::Answered => "answered".to_owned(),
            Self::Refused { sqlstate } => format!("refused {sqlstate}"),
            Self::NotRun { code } => format!("SW{} {}", code.number(), code.name()),
            Self::Unknown { code: Some(code) } => format!("SW{} {}", code.number(), code.name()),
            Self::Unknown { code: None } => "connection lost".to_owned(),
            Self::NotSent => "not sent".to_owned(),
        }
    }
}

/// Finds the result code at the start of an error message such as `SW2001 not run: ...`.
#[must_use]
pub fn result_code(message: &str) -> Option<ResultCode> {
    let digits = message.strip_prefix(RESULT_CODE_PREFIX)?;
    let number = digits.split_whitespace().next()?.parse().ok()?;
    ResultCode::from_number(number)
}
