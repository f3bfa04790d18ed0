//! What can go wrong with a connection to a back end.

use pgwire::error::PgWireError;
use snafu::Snafu;

/// PostgreSQL's `admin_shutdown`: the session was ended on somebody's command.
const ADMIN_SHUTDOWN: &str = "57P01";

/// Why a connection to a back end failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum BackendError {
    /// The socket failed.
    #[snafu(display("the socket to the back end failed"), context(false))]
    Socket {
        /// What the system said.
        source: std::io::Error,
    },
    /// The back end closed the connection.
    #[snafu(display("the back end closed the connection"))]
    Closed,
    /// The back end did not answer in time.
    #[snafu(display("the back end did not answer in time"))]
    Timeout,
    /// The codec refused a message.
    #[snafu(
        display("the back end sent a message the codec refuses"),
        context(false)
    )]
    Codec {
        /// What the codec said.
        #[snafu(source(from(PgWireError, Box::new)))]
        source: Box<PgWireError>,
    },
    /// A message out of place.
    #[snafu(display("the back end broke the protocol"))]
    Protocol,
    /// A message longer than the proxy relays.
    #[snafu(display("the back end sent a message of {length} bytes, more than is relayed"))]
    MessageTooLarge {
        /// Its length in bytes.
        length: usize,
    },
    /// The back end wants an authentication method that is not supported, or a password while none
    /// is set.
    #[snafu(display("the back end's authentication method cannot be used: {method}"))]
    Authentication {
        /// The method.
        method: &'static str,
    },
    /// The back end answered with an error.
    #[snafu(display("the back end answered {sqlstate}: {message}"))]
    Server {
        /// Its SQLSTATE.
        sqlstate: String,
        /// Its message.
        message: String,
    },
    /// TLS is required and the back end refuses it.
    #[snafu(display("the back end refuses TLS"))]
    TlsRefused,
    /// A status answer lacks a column or has one of another kind.
    #[snafu(display("the back end's status cannot be read: {reason}"))]
    Status {
        /// What is wrong.
        reason: &'static str,
    },
}

impl BackendError {
    /// Whether the back end ended the session on somebody's command.
    pub(super) fn is_termination(&self) -> bool {
        matches!(self, Self::Server { sqlstate, .. } if sqlstate == ADMIN_SHUTDOWN)
    }
}
