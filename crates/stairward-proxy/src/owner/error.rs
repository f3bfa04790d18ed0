//! Errors of back-end connections.

use pgwire::error::PgWireError;
use snafu::Snafu;

/// SQLSTATE `admin_shutdown`: an administrator or another session terminated the session.
const ADMIN_SHUTDOWN: &str = "57P01";

/// Why a connection to a back end failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum BackendError {
    /// The socket failed.
    #[snafu(display("the socket to the back end failed"), context(false))]
    Socket {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The back end closed the connection.
    #[snafu(display("the back end closed the connection"))]
    Closed,
    /// The back end did not answer in time.
    #[snafu(display("the back end did not respond in time"))]
    Timeout,
    /// A message could not be encoded or decoded.
    #[snafu(
        display("a message of the back-end protocol could not be encoded or decoded"),
        context(false)
    )]
    Codec {
        /// The codec's error.
        #[snafu(source(from(PgWireError, Box::new)))]
        source: Box<PgWireError>,
    },
    /// An unexpected message.
    #[snafu(display("the back end violated the protocol"))]
    Protocol,
    /// A message exceeded the size limit.
    #[snafu(display("the back end sent a message of {length} bytes, which exceeds the limit"))]
    MessageTooLarge {
        /// Its length in bytes.
        length: usize,
    },
    /// The back end requires an unsupported authentication method, or a password while none is
    /// configured.
    #[snafu(display("cannot authenticate to the back end: {method}"))]
    Authentication {
        /// The method, or why it cannot be used.
        method: &'static str,
    },
    /// The back end sent an error response.
    #[snafu(display("the back end reported error {sqlstate}: {message}"))]
    Server {
        /// Its SQLSTATE.
        sqlstate: String,
        /// Its message.
        message: String,
    },
    /// TLS is required but the back end does not support it.
    #[snafu(display("the back end refused TLS"))]
    TlsRefused,
    /// A status row lacks a column or has one of an unexpected type.
    #[snafu(display("invalid status row from the back end: {reason}"))]
    Status {
        /// What is invalid.
        reason: &'static str,
    },
}

impl BackendError {
    /// Whether the back end reported that the session was terminated by an administrator command.
    pub(super) fn is_termination(&self) -> bool {
        matches!(self, Self::Server { sqlstate, .. } if sqlstate == ADMIN_SHUTDOWN)
    }
}
