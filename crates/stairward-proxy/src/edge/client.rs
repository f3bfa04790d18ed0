//! The caller's connection: a plain or TLS socket with its buffers.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::server::TlsStream;
use tokio_util::either::Either;

use super::frontend::{Frame, FrontendError, take_frame};

/// A plain or TLS socket. The TLS state is boxed, so that plain sessions stay small.
pub(super) type ClientSocket = Either<TcpStream, Box<TlsStream<TcpStream>>>;

/// Answers gathered before they are written, in bytes.
pub(super) const OUTPUT_BYTES: usize = 32 * 1024;
/// Room for the first bytes of a message: what an idle session holds, and enough for most queries.
const FIRST_READ_BYTES: usize = 512;
/// Room for more of a message.
const FURTHER_READ_BYTES: usize = 8 * 1024;
/// What may be read ahead while a batch runs, in bytes.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// How long a caller may take no bytes at all before it is cut off.
const STALLED_READER_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a closed connection is read on.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes dropped at once while a closed connection is read on.
const LINGER_READ_BYTES: usize = 1_024;
/// Longest start-up packet; PostgreSQL's own limit.
const MAXIMUM_STARTUP_BYTES: usize = 10_000;
/// Length and code.
const MINIMUM_STARTUP_BYTES: usize = 8;

/// Why a caller's connection can't go on.
#[derive(Debug, Snafu)]
pub(super) enum ClientError {
    /// The socket failed.
    #[snafu(display("the caller's socket failed"))]
    Socket { source: io::Error },
    /// The caller closed the connection.
    #[snafu(display("the caller closed the connection"))]
    Closed,
    /// The caller took no bytes for too long.
    #[snafu(display("the caller does not read its answers"))]
    Stalled,
    /// The caller broke the protocol.
    #[snafu(display("the caller broke the protocol: {source}"))]
    Protocol { source: FrontendError },
    /// A start-up packet has an impossible length.
    #[snafu(display("a start-up packet claims {length} bytes"))]
    StartupLength { length: usize },
}

/// A caller's connection. Its buffers hold nothing while the session is idle.
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

    /// Gives the bare socket back for a TLS handshake. Bytes that the caller sent ahead of the
    /// handshake could be taken for encrypted ones, so they are refused (CVE-2021-23214).
    pub(super) fn into_socket(self) -> Result<ClientSocket, ClientError> {
        ensure!(
            self.input.is_empty(),
            StartupLengthSnafu {
                length: self.input.len()
            }
        );
        Ok(self.socket)
    }

    /// The next start-up packet: its body, without the length. Safe to cancel.
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

    /// The next message. Safe to cancel.
    pub(super) async fn frame(&mut self, limit: usize) -> Result<Frame, ClientError> {
        loop {
            if let Some(frame) = take_frame(&mut self.input, limit).context(ProtocolSnafu)? {
                return Ok(frame);
            }
            if self.input.is_empty() {
                // Lets go of the space, so that an idle session holds none.
                self.input = BytesMut::new();
            }
            self.fill().await?;
        }
    }

    /// The next message, if all of it has been read already.
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

    /// Reads ahead, up to a bound, until the caller closes the connection. Never returns while it
    /// stays open. Safe to cancel.
    pub(super) async fn wait_closed(&mut self) {
        while self.input.len() < READ_AHEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Writes out what has gathered.
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

    /// Writes out what has gathered and ends the connection. What the caller still sends is read and
    /// dropped for a while: closing a socket with unread bytes would reset the connection, and the
    /// caller might lose the last answer.
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
