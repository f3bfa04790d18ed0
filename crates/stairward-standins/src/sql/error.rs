//! Errors of the stand-in database, each with PostgreSQL's SQLSTATE (PostgreSQL, appendix A).

use snafu::Snafu;

use super::ValueType;

/// Why a statement, a connection attempt or a message was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
#[allow(missing_docs, reason = "each message states what its variant means")]
pub enum SqlError {
    #[snafu(display("syntax error: {message}"))]
    Syntax { message: String },
    #[snafu(display("not supported by the stand-in: {feature}"))]
    Unsupported { feature: String },
    #[snafu(display("relation \"{name}\" does not exist"))]
    UndefinedTable { name: String },
    #[snafu(display("column \"{name}\" does not exist"))]
    UndefinedColumn { name: String },
    #[snafu(display("function {name} does not exist"))]
    UndefinedFunction { name: String },
    #[snafu(display("there is no parameter {name}"))]
    UndefinedParameter { name: String },
    #[snafu(display("relation \"{name}\" already exists"))]
    DuplicateTable { name: String },
    #[snafu(display("{} cannot be converted to {}", found.name(), wanted.name()))]
    DatatypeMismatch { found: ValueType, wanted: ValueType },
    #[snafu(display("invalid input syntax for type {}: \"{text}\"", wanted.name()))]
    InvalidText { text: String, wanted: ValueType },
    #[snafu(display("invalid binary value of a parameter"))]
    InvalidBinary,
    #[snafu(display("invalid byte sequence for encoding \"UTF8\""))]
    InvalidEncoding,
    #[snafu(display("integer out of range"))]
    OutOfRange,
    #[snafu(display("division by zero"))]
    DivisionByZero,
    #[snafu(display("duplicate key value violates unique constraint \"{table}_pkey\""))]
    UniqueViolation { table: String },
    #[snafu(display("null value in column \"{column}\" violates not-null constraint"))]
    NotNullViolation { column: String },
    #[snafu(display("cannot execute {command} in a read-only transaction"))]
    ReadOnly { command: &'static str },
    #[snafu(display(
        "current transaction is aborted, commands ignored until end of transaction block"
    ))]
    FailedTransaction,
    #[snafu(display("there is no transaction in progress"))]
    NoTransaction,
    #[snafu(display("savepoint \"{name}\" does not exist"))]
    UndefinedSavepoint { name: String },
    #[snafu(display("could not serialize access due to concurrent update"))]
    SerializationFailure,
    #[snafu(display("deadlock detected"))]
    DeadlockDetected,
    #[snafu(display("database \"{name}\" does not exist"))]
    UndefinedDatabase { name: String },
    #[snafu(display("sorry, too many clients already"))]
    TooManyConnections,
    #[snafu(display("canceling statement due to user request"))]
    Cancelled,
    #[snafu(display("canceling statement due to statement timeout"))]
    StatementTimeout,
    #[snafu(display("terminating connection due to administrator command"))]
    Terminated,
    #[snafu(display("the database system is not accepting writes: a switchover is under way"))]
    SwitchoverUnderWay,
    #[snafu(display("terminating connection due to idle-session timeout"))]
    IdleSessionTimeout,
    #[snafu(display("terminating connection due to idle-in-transaction timeout"))]
    IdleInTransactionTimeout,
    #[snafu(display("invalid value for parameter \"{name}\": \"{value}\""))]
    InvalidSetting { name: String, value: String },
    #[snafu(display("unrecognized configuration parameter \"{name}\""))]
    UndefinedSetting { name: String },
    #[snafu(display("parameter \"{name}\" cannot be changed"))]
    ReadOnlySetting { name: String },
    #[snafu(display("too large: {what}"))]
    LimitExceeded { what: &'static str },
    #[snafu(display("prepared statement \"{name}\" does not exist"))]
    UndefinedStatement { name: String },
    #[snafu(display("prepared statement \"{name}\" already exists"))]
    DuplicateStatement { name: String },
    #[snafu(display("portal \"{name}\" does not exist"))]
    UndefinedPortal { name: String },
    #[snafu(display("protocol violation: {message}"))]
    ProtocolViolation { message: String },
    #[snafu(display("cannot insert multiple commands into a prepared statement"))]
    SeveralStatements,
}

impl SqlError {
    /// The five-character code of the error.
    #[must_use]
    pub const fn sqlstate(&self) -> &'static str {
        match self {
            Self::Syntax { .. } | Self::SeveralStatements => "42601",
            Self::Unsupported { .. } => "0A000",
            Self::UndefinedTable { .. } => "42P01",
            Self::UndefinedColumn { .. } => "42703",
            Self::UndefinedFunction { .. } => "42883",
            Self::UndefinedParameter { .. } => "42P02",
            Self::DuplicateTable { .. } => "42P07",
            Self::DatatypeMismatch { .. } => "42804",
            Self::InvalidText { .. } => "22P02",
            Self::InvalidBinary => "22P03",
            Self::InvalidEncoding => "22021",
            Self::OutOfRange => "22003",
            Self::DivisionByZero => "22012",
            Self::UniqueViolation { .. } => "23505",
            Self::NotNullViolation { .. } => "23502",
            Self::ReadOnly { .. } => "25006",
            Self::FailedTransaction => "25P02",
            Self::NoTransaction => "25P01",
            Self::UndefinedSavepoint { .. } => "3B001",
            Self::SerializationFailure => "40001",
            Self::DeadlockDetected => "40P01",
            Self::UndefinedDatabase { .. } => "3D000",
            Self::TooManyConnections => "53300",
            Self::Cancelled | Self::StatementTimeout => "57014",
            Self::Terminated => "57P01",
            Self::SwitchoverUnderWay => "57P03",
            Self::IdleSessionTimeout => "57P05",
            Self::IdleInTransactionTimeout => "25P03",
            Self::InvalidSetting { .. } => "22023",
            Self::UndefinedSetting { .. } => "42704",
            Self::ReadOnlySetting { .. } => "55P02",
            Self::LimitExceeded { .. } => "54000",
            Self::UndefinedStatement { .. } => "26000",
            Self::DuplicateStatement { .. } => "42P05",
            Self::UndefinedPortal { .. } => "34000",
            Self::ProtocolViolation { .. } => "08P01",
        }
    }
}
