//! A client connection: a plain or TLS socket with its buffers.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::server::TlsStream;
use tokio_util::either::Either;

use super::frontend::{Frame, FrontendError, take_frame};

/// A plain or TLS socket. The TLS state is boxed to keep plain sessions small.
pub(super) type ClientSocket = Either<TcpStream, Box<TlsStream<TcpStream>>>;

/// Buffered response bytes at which the output is written to the socket.
pub(super) const OUTPUT_BYTES: usize = 32 * 1024;
/// Buffer space reserved for the start of a message. An idle session holds this much, and it is
/// enough for most queries.
const FIRST_READ_BYTES: usize = 512;
/// Buffer space reserved for the rest of a longer message.
const FURTHER_READ_BYTES: usize = 8 * 1024;
/// Maximum number of bytes read ahead while a batch runs.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time after which a client that reads nothing is disconnected.
const STALLED_READER_TIMEOUT: Duration = Duration::from_secs(60);
/// How long input is still read after the connection has been shut down for writing.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Size of the buffer for input that is discarded during the linger time.
const LINGER_READ_BYTES: usize = 1_024;
/// Maximum length of a startup packet; the same limit as PostgreSQL's.
const MAXIMUM_STARTUP_BYTES: usize = 10_000;
/// Length field and protocol code.
const MINIMUM_STARTUP_BYTES: usize = 8;

/// Why a client connection can't continue.
#[derive(Debug, Snafu)]
pub(super) enum ClientError {
    /// The socket failed.
    #[snafu(display("client socket error"))]
    Socket { source: io::Error },
    /// The client closed the connection.
    #[snafu(display("the client closed the connection"))]
    Closed,
    /// The client read nothing for [`STALLED_READER_TIMEOUT`].
    #[snafu(display("the client does not read its responses"))]
    Stalled,
    /// The client violated the protocol.
    #[snafu(display("protocol violation by the client: {source}"))]
    Protocol { source: FrontendError },
    /// The length of a startup packet is out of range.
    #[snafu(display("invalid startup packet length: {length}"))]
    StartupLength { length: usize },
}

/// A client connection. Its buffers are empty while the session is idle.
pub(super) struct Client {
    socket: ClientSocket,
    input: BytesMut,
    pub(super) output: BytesMut,
}

impl Client {
    pub(super) fn new(socket: ClientSocket) -> Self {
        Self {
            socket,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Returns the bare socket for a TLS handshake. Bytes that were sent before the handshake would
    /// be treated as if they had been encrypted, so they are refused (CVE-2021-23214).
    pub(super) fn into_socket(self) -> Result<ClientSocket, ClientError> {
        ensure!(
            self.input.is_empty(),
            StartupLengthSnafu {
                length: self.input.len()
            }
        );
        Ok(self.socket)
    }

    /// Reads the next startup packet, length field included. Cancel-safe.
    pub(super) async fn startup_packet(&mut self) -> Result<BytesMut, ClientError> {
        self.fill_to(4).await?;
        let length = (&self.input[..4]).get_u32() as usize;
        ensure!(
            (MINIMUM_STARTUP_BYTES..=MAXIMUM_STARTUP_BYTES).contains(&length),
            StartupLengthSnafu { length }
        );
        self.fill_to(length).await?;
        Ok(self.input.split_to(length))
    }

    async fn fill_to(&mut self, length: usize) -> Result<(), ClientError> {
        while self.input.len() < length {
            self.fill().await?;
        }
        Ok(())
    }

    /// Reads the next message. Cancel-safe.
    pub(super) async fn frame(&mut self, limit: usize) -> Result<Frame, ClientError> {
        loop {
            if let Some(frame) = take_frame(&mut self.input, limit).context(ProtocolSnafu)? {
                return Ok(frame);
            }
            if self.input.is_empty() {
                // Releases the buffer, so that an idle session holds no memory for it.
                self.input = BytesMut::new();
            }
            self.fill().await?;
        }
    }

    /// Returns the next message if it has been read completely.
    pub(super) fn buffered_frame(&mut self, limit: usize) -> Result<Option<Frame>, ClientError> {
        take_frame(&mut self.input, limit).context(ProtocolSnafu)
    }

    async fn fill(&mut self) -> Result<(), ClientError> {
        let room = if self.input.is_empty() {
            FIRST_READ_BYTES
        } else {
            FURTHER_READ_BYTES
        };
        self.input.reserve(room);
        let count = self
            .socket
            .read_buf(&mut self.input)
            .await
            .context(SocketSnafu)?;
        ensure!(count > 0, ClosedSnafu);
        Ok(())
    }

    /// Waits until the client closes the connection, buffering up to [`READ_AHEAD_BYTES`] of input
    /// meanwhile. Cancel-safe.
    pub(super) async fn wait_closed(&mut self) {
        while self.input.len() < READ_AHEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Writes all buffered output to the socket.
    pub(super) async fn flush(&mut self) -> Result<(), ClientError> {
        while !self.output.is_empty() {
            let written =
                tokio::time::timeout(STALLED_READER_TIMEOUT, self.socket.write(&self.output))
                    .await
                    .ok()
                    .context(StalledSnafu)?
                    .context(SocketSnafu)?;
            ensure!(written > 0, ClosedSnafu);
            self.output.advance(written);
        }
        self.output = BytesMut::new();
        self.socket.flush().await.context(SocketSnafu)
    }

    /// Writes all buffered output and closes the connection. Remaining input is read and discarded
    /// for [`LINGER_TIME`]: closing a socket with unread input resets the connection, and the
    /// client could lose the last response.
    pub(super) async fn close(mut self) {
        if self.flush().await.is_err() || self.socket.shutdown().await.is_err() {
            return;
        }
        let drain_input = async {
            let mut discarded = [0; LINGER_READ_BYTES];
            while matches!(self.socket.read(&mut discarded).await, Ok(count) if count > 0) {}
        };
        let _ = tokio::time::timeout(LINGER_TIME, drain_input).await;
    }
}
