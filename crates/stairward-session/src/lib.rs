//! Session state that is independent of any back end connection, and classification of statements.
//!
//! * [`classify`] determines what a statement requires from the back end that runs it.
//! * [`Hints`] holds the `stairward.*` hints of a session, a transaction or a statement.
//! * [`SessionFloor`] is the minimum freshness of an answer; [`TokenKey`] signs it for the caller.
//! * [`SessionVariables`] and [`PreparedStatements`] are the state to restore on each connection
//!   that serves the session.
//!
//! This crate does no I/O and reads no clock.

#![forbid(unsafe_code)]

mod cache;
mod class;
mod classify;
mod comment;
mod floor;
mod hints;
mod keywords;
mod prepared;
mod pure_functions;
mod token;
mod variables;
mod write_search;

pub use cache::ClassCache;
pub use class::{
    SessionChange, StatementClass, TransactionEnd, TransactionStart, UnsupportedFeature,
};
pub use classify::classify;
pub use comment::hints_in_comments;
pub use floor::SessionFloor;
pub use hints::{HintError, Hints, SessionHints};
pub use prepared::{PreparedStatement, PreparedStatements, PreparedStatementsTooLarge};
pub use token::{SessionToken, TokenError, TokenKey};
pub use variables::{SessionSettingsTooLarge, SessionVariables, quote_literal};
