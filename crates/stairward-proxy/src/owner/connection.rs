//! A connection to a back end: message-level I/O, and simple queries issued by the proxy itself.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::data::{DataRow, MESSAGE_TYPE_BYTE_DATA_ROW};
use pgwire::messages::response::{
    ErrorResponse, MESSAGE_TYPE_BYTE_ERROR_RESPONSE, READY_STATUS_IDLE,
};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::SecretKey;
use pgwire::messages::terminate::Terminate;
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::TcpStream;

use super::error::{BackendError, ClosedSnafu, ServerSnafu};
use super::wire::{RawMessage, take_message};

const READ_BUFFER_BYTES: usize = 32 * 1024;

/// The transport of a connection: plain TCP or TLS.
pub(super) trait Transport: AsyncRead + AsyncWrite + Send + Sync + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Sync + Unpin> Transport for T {}

/// The credentials of a `CancelRequest`.
#[derive(Debug, Clone)]
pub(super) struct CancelKey {
    /// Where the back end listens.
    pub address: SocketAddr,
    /// Process ID of the session's server process.
    pub process: i32,
    /// The session's secret key.
    pub secret: SecretKey,
}

impl CancelKey {
    /// Asks the back end to cancel the session's current statement, on a separate connection as the
    /// protocol requires.
    pub(super) async fn cancel(&self) -> Result<(), BackendError> {
        let mut buffer = BytesMut::new();
        CancelRequest::new(self.process, self.secret.clone()).encode(&mut buffer)?;
        let mut socket = TcpStream::connect(self.address).await?;
        socket.write_all(&buffer).await?;
        // The back end closes the connection once it has signalled the session.
        let mut nothing = [0_u8; 1];
        let _ = socket.read(&mut nothing).await;
        Ok(())
    }
}

/// Text columns of one row; `None` is SQL NULL.
pub(super) type TextRow = Vec<Option<String>>;

/// An authenticated connection.
pub(super) struct BackendConnection {
    reader: MessageReader,
    writer: WriteHalf<Box<dyn Transport>>,
    /// Credentials for cancelling a statement; `None` when the back end sent none.
    pub cancel_key: Option<Arc<CancelKey>>,
}

/// The receiving half, which splits the byte stream into messages.
pub(super) struct MessageReader {
    half: ReadHalf<Box<dyn Transport>>,
    buffer: BytesMut,
}

impl MessageReader {
    /// Reads more bytes. Cancel safe.
    pub(super) async fn fill(&mut self) -> Result<(), BackendError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let count = self.half.read_buf(&mut self.buffer).await?;
        if count == 0 {
            return ClosedSnafu.fail();
        }
        Ok(())
    }

    /// The next complete message among the bytes already read.
    pub(super) fn take_buffered(&mut self) -> Result<Option<RawMessage>, BackendError> {
        take_message(&mut self.buffer)
    }

    /// The next complete message.
    pub(super) async fn next(&mut self) -> Result<RawMessage, BackendError> {
        loop {
            if let Some(message) = self.take_buffered()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }
}

impl BackendConnection {
    pub(super) fn new(transport: Box<dyn Transport>) -> Self {
        let (read_half, writer) = tokio::io::split(transport);
        let reader = MessageReader {
            half: read_half,
            buffer: BytesMut::new(),
        };
        Self {
            reader,
            writer,
            cancel_key: None,
        }
    }

    /// Both halves, for concurrent use.
    pub(super) fn halves(&mut self) -> (&mut MessageReader, &mut WriteHalf<Box<dyn Transport>>) {
        (&mut self.reader, &mut self.writer)
    }

    /// Cancels the current statement, waits until the back end is ready, and terminates the
    /// session.
    pub(super) async fn stop(&mut self) -> Result<(), BackendError> {
        if let Some(key) = self.cancel_key.clone() {
            key.cancel().await?;
        }
        while self.next().await?.ready_status().is_none() {}
        let mut terminate = BytesMut::new();
        Terminate::new().encode(&mut terminate)?;
        self.send(&terminate).await
    }

    /// Writes complete messages and flushes.
    pub(super) async fn send(&mut self, messages: &[u8]) -> Result<(), BackendError> {
        self.writer.write_all(messages).await?;
        self.writer.flush().await?;
        Ok(())
    }

    /// The next complete message.
    pub(super) async fn next(&mut self) -> Result<RawMessage, BackendError> {
        self.reader.next().await
    }

    /// Whether an idle connection is unusable: it was closed, or unsolicited data arrived.
    pub(super) fn is_stale(&mut self) -> bool {
        let mut byte = [0_u8; 1];
        let mut buffer = tokio::io::ReadBuf::new(&mut byte);
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        let half = std::pin::Pin::new(&mut self.reader.half);
        let nothing_to_read = half.poll_read(&mut context, &mut buffer).is_pending();
        !nothing_to_read || !self.reader.buffer.is_empty()
    }

    /// Runs a simple query issued by the proxy and returns its rows. The connection must be idle
    /// before and after the query.
    pub(super) async fn query(&mut self, sql: &str) -> Result<Vec<TextRow>, BackendError> {
        self.send(&encode_query(sql)?).await?;
        self.read_rows(READY_STATUS_IDLE).await
    }

    /// Reads responses up to `ReadyForQuery`, which must report `expected_status`.
    ///
    /// # Errors
    /// [`BackendError::Server`] with the first error response.
    pub(super) async fn read_rows(
        &mut self,
        expected_status: u8,
    ) -> Result<Vec<TextRow>, BackendError> {
        let mut rows = Vec::new();
        let mut failure = None;
        loop {
            let message = self.next().await?;
            if let Some(status) = message.ready_status() {
                return match failure {
                    Some(failure) => Err(failure),
                    None if status == expected_status => Ok(rows),
                    None => Err(BackendError::Protocol),
                };
            }
            match message.type_byte() {
                MESSAGE_TYPE_BYTE_DATA_ROW => rows.push(decode_row(&message)?),
                MESSAGE_TYPE_BYTE_ERROR_RESPONSE => {
                    failure.get_or_insert(server_error(&message)?);
                }
                _ => {}
            }
        }
    }
}

/// Encodes a simple query.
pub(super) fn encode_query(sql: &str) -> Result<Bytes, BackendError> {
    let mut buffer = BytesMut::with_capacity(sql.len() + 6);
    Query::new(sql.to_owned()).encode(&mut buffer)?;
    Ok(buffer.freeze())
}

/// The decode context of an authenticated protocol 3.0 session.
pub(super) fn decode_context() -> DecodeContext {
    DecodeContext::new(ProtocolVersion::PROTOCOL3_0)
}

/// Decodes an `ErrorResponse`.
pub(super) fn server_error(message: &RawMessage) -> Result<BackendError, BackendError> {
    let mut bytes = BytesMut::from(message.bytes.as_ref());
    let response = ErrorResponse::decode(&mut bytes, &decode_context())?;
    let fields = response.map(|response| response.fields).unwrap_or_default();
    let field = |code: u8| {
        let found = fields.iter().find(|(name, _)| *name == code);
        found.map(|(_, text)| text.clone()).unwrap_or_default()
    };
    let error = ServerSnafu {
        sqlstate: field(b'C'),
        message: field(b'M'),
    };
    Ok(error.build())
}

fn decode_row(message: &RawMessage) -> Result<TextRow, BackendError> {
    let mut bytes = BytesMut::from(message.bytes.as_ref());
    let Some(row) = DataRow::decode(&mut bytes, &decode_context())? else {
        return Err(BackendError::Protocol);
    };
    let mut data = row.data;
    let mut columns = TextRow::new();
    for _ in 0..row.field_count {
        columns.push(take_column(&mut data)?);
    }
    Ok(columns)
}

fn take_column(data: &mut BytesMut) -> Result<Option<String>, BackendError> {
    let length = data.try_get_i32().map_err(|_| BackendError::Protocol)?;
    let Ok(length) = usize::try_from(length) else {
        return Ok(None);
    };
    if data.len() < length {
        return Err(BackendError::Protocol);
    }
    let text = data.split_to(length);
    Ok(Some(String::from_utf8_lossy(&text).into_owned()))
}
