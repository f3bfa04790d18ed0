//! Messages on a socket.

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::group::TransactionStatus;
use crate::sql::SqlError;

/// Longest message taken from a client.
pub const MAXIMUM_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// How much of what a client sends ahead is read while a statement runs.
pub const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Answers are written out when this much has gathered.
const WRITE_BYTES: usize = 32 * 1024;

/// Bytes of a message's length field, which counts itself.
const LENGTH_BYTES: usize = 4;

/// Bytes before a message's content: its type and its length.
const HEADER_BYTES: usize = 1 + LENGTH_BYTES;

/// Why a connection cannot go on.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The socket failed.
    #[snafu(display("the socket failed"))]
    Socket {
        /// What the system says.
        source: std::io::Error,
    },
    /// A message could not be read or written.
    #[snafu(display("a message breaks the protocol"))]
    Message {
        /// What the codec says.
        source: PgWireError,
    },
    /// A message claims to be shorter than its own length field.
    #[snafu(display("a message's length is impossible"))]
    TooShort,
    /// A message is longer than allowed.
    #[snafu(display("a message is too long"))]
    TooLong,
}

/// A socket with its buffers.
#[derive(Debug)]
pub struct Wire {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
}

impl Wire {
    /// Wraps a socket on which nothing has been read.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            reader,
            writer,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// The client asks for no encryption, or has been refused it: its start-up message follows.
    pub const fn expect_startup(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// The start-up message has come: ordinary messages follow.
    pub const fn expect_messages(&mut self) {
        self.context.awaiting_frontend_startup = false;
    }

    /// Reads the next message; `None` when the client has closed the connection.
    ///
    /// # Errors
    /// [`WireError`] when the socket fails or the message is malformed or too long.
    pub async fn read(&mut self) -> Result<Option<PgWireFrontendMessage>, WireError> {
        loop {
            self.check_length()?;
            let decoded = PgWireFrontendMessage::decode(&mut self.input, &self.context);
            if let Some(message) = decoded.context(MessageSnafu)? {
                return Ok(Some(message));
            }
            let count = self.reader.read_buf(&mut self.input).await;
            if count.context(SocketSnafu)? == 0 {
                return Ok(None);
            }
        }
    }

    fn check_length(&self) -> Result<(), WireError> {
        let framed = !self.context.awaiting_frontend_startup;
        if let (true, Some(header)) = (framed, self.input.get(..HEADER_BYTES)) {
            let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > MAXIMUM_MESSAGE_BYTES {
                return Err(WireError::TooLong);
            }
            if length < LENGTH_BYTES {
                return Err(WireError::TooShort);
            }
        }
        Ok(())
    }

    /// Reads ahead until the client closes the connection. With a full buffer it waits forever.
    pub async fn closed_by_client(&mut self) {
        while self.input.len() < READ_AHEAD_BYTES {
            match self.reader.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Adds a message to those to be written.
    ///
    /// # Errors
    /// [`WireError::Message`] when it cannot be encoded.
    pub fn queue(&mut self, message: &PgWireBackendMessage) -> Result<(), WireError> {
        message.encode(&mut self.output).context(MessageSnafu)
    }

    /// Adds an error message.
    ///
    /// # Errors
    /// [`WireError::Message`] when it cannot be encoded.
    pub fn queue_error(&mut self, severity: &str, error: &SqlError) -> Result<(), WireError> {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.sqlstate().to_owned()),
            (b'M', error.to_string()),
        ];
        self.queue(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(
            fields,
        )))
    }

    /// Adds a report of a setting.
    ///
    /// # Errors
    /// [`WireError::Message`] when it cannot be encoded.
    pub fn queue_setting(&mut self, name: String, value: String) -> Result<(), WireError> {
        self.queue(&PgWireBackendMessage::ParameterStatus(
            ParameterStatus::new(name, value),
        ))
    }

    /// Adds the message that ends an answer.
    ///
    /// # Errors
    /// [`WireError::Message`] when it cannot be encoded.
    pub fn queue_ready(&mut self, status: TransactionStatus) -> Result<(), WireError> {
        use pgwire::messages::response::TransactionStatus as WireStatus;
        let status = match status {
            TransactionStatus::Idle => WireStatus::Idle,
            TransactionStatus::InTransaction => WireStatus::Transaction,
            TransactionStatus::Failed => WireStatus::Error,
        };
        self.queue(&PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
            status,
        )))
    }

    /// Writes out what has gathered, if it is much.
    ///
    /// # Errors
    /// [`WireError::Socket`].
    pub async fn relieve(&mut self) -> Result<(), WireError> {
        if self.output.len() >= WRITE_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Writes out everything.
    ///
    /// # Errors
    /// [`WireError::Socket`].
    pub async fn flush(&mut self) -> Result<(), WireError> {
        let output = self.output.split();
        self.writer.write_all(&output).await.context(SocketSnafu)
    }
}
